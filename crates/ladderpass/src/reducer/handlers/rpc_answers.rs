//! Writes the final answer of each RPC, which is a member's forwarded answer or an error.

use crate::buffer::Buffer;
use crate::faulty::Faulty;
use crate::pg;
use crate::reducer::Reducer;
use crate::reducer::connection_id::ConnectionId;
use crate::reducer::event::Effect;
use crate::reducer::state::client::ClientPhase;
use crate::reducer::state::connections::Remote;
use crate::reducer::state::rpc_table::RpcDescription;
use crate::reducer::state::stats::Count;
use ladderpass_routing::{Decision, RpcId, Span, Time};

/// Returns the time after which a client may retry, in milliseconds, or `None` if the time is less than one
/// millisecond.
pub(super) fn retry_after_ms(retry_after: Span) -> Option<i64> {
    Some(retry_after.nanos() / 1_000_000).filter(|&ms| ms > 0)
}

/// Returns the length in bytes of the message at the front of a buffer, even if the message has not arrived completely,
/// or zero if there is no message.
pub(super) fn front_message_length(input: &mut Buffer) -> usize {
    pg::parse_frame_header(input.make_contiguous()).ok().flatten().map_or(0, |header| header.length)
}

impl Reducer {
    /// Forwards the answer at the front of a member's connection to the client that waits for it.
    pub(super) fn forward_answer(&mut self, now: Time, id: ConnectionId, rpc: RpcId) {
        let Some(entry) = self.rpcs.get_mut(rpc) else { return };
        let Some(client) = entry.take_client() else { return };
        let RpcDescription { method, group, .. } = *entry.description();
        let time_with_members = entry.time_with_members(now);
        let [Some(from), Some(to)] = self.connections.pair_mut(id, client) else { return };
        let Remote::Client(state) = &mut to.remote else { return };
        if state.phase() != ClientPhase::InRpc(rpc) {
            return;
        }
        state.add_time_with_members(time_with_members);
        let initial_bytes = self.limits.buffer_initial_bytes;
        push_result(
            from.input.make_contiguous(),
            &mut to.output,
            self.limits.member_buffer_bytes,
            initial_bytes,
        );
        if self.faulty.is(Faulty::AnswersTwice) {
            let answer: Vec<u8> = to.output.make_contiguous().to_vec();
            to.output.append(&answer, initial_bytes, usize::MAX);
        }
        if let Some(peers) = &mut self.peers {
            peers.record_served(group);
        }
        self.overload.record_served(now, method, || to.output.len() + front_message_length(&mut to.input));
        self.effects.push(Effect::Write(client));
        self.update_buffer_bytes(client);
        self.finish_statement(client);
    }

    /// Writes the final answer of an RPC that is not served. `Decision::AlreadyAnswered` stands for an RPC that its
    /// client has cancelled and that had no effect.
    pub(super) fn answer_unserved(&mut self, now: Time, rpc: RpcId, decision: Decision) {
        let Some(entry) = self.rpcs.get_mut(rpc) else { return };
        let client = entry.take_client();
        let (group, is_cancelled) = (entry.description().group, entry.is_cancelled());
        if let (true, Some(peers)) = (entry.take_retry_withdrawn(), &mut self.peers) {
            peers.refund_retry(group);
        }
        let time_with_members = entry.time_with_members(now);
        if matches!(decision, Decision::Reject { .. }) && !is_cancelled {
            entry.reject();
        }
        if entry.connection().is_none() {
            self.rpcs.remove(now, rpc, &self.limits);
        }
        let Some(client) = client else { return };
        if let Some(state) = self.connections.client_mut(client) {
            state.add_time_with_members(time_with_members);
        }
        self.overload.record_unserved();
        let answer = self.unserved_answer(group, is_cancelled, decision);
        self.write(client, &answer);
        self.finish_statement(client);
    }

    fn unserved_answer(&mut self, group: u32, is_cancelled: bool, decision: Decision) -> Vec<u8> {
        let mut answer = Vec::new();
        match decision {
            // The RPC was cancelled and had no effect. The code below answers RPCs that may have had an effect with an
            // error that says so, whether they are cancelled or not.
            Decision::Reject { .. } | Decision::AlreadyAnswered if is_cancelled => {
                self.stats.count(Count::Cancelled);
                pg::put_recoverable_error(&mut answer, "57014", "cancelled at the client's request", None);
            }
            Decision::Reject { retry_after } => {
                self.stats.count(Count::Rejected);
                if let Some(peers) = &mut self.peers {
                    peers.record_unplaced(group);
                }
                // "Pushed back" in this text means rejected. Clients may depend on the text.
                let text = "pushed back: a further try is harmless";
                pg::put_recoverable_error(&mut answer, "53300", text, retry_after_ms(retry_after));
            }
            _ => {
                self.stats.count(Count::Failed);
                // "Aborted" in this text means failed. Clients may depend on the text.
                pg::put_recoverable_error(&mut answer, "58000", "aborted: it may have had an effect", None);
            }
        }
        answer
    }

    /// Removes an answered statement from its client's input. What the client sent behind the statement is read in the
    /// next iteration.
    fn finish_statement(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(id) else { return };
        if let Remote::Client(client) = &mut connection.remote {
            client.finish_rpc();
        }
        let length = front_message_length(&mut connection.input);
        self.consume_input(id, length);
        self.connections.set_deadline(id, None);
        self.clients.defer(id);
    }
}

/// Appends the result in a member's answer, and a ReadyForQuery message, to a client's `output`. Other messages in the
/// member's answer are left out.
fn push_result(mut answer: &[u8], output: &mut Buffer, max_bytes: usize, initial_bytes: usize) {
    while let Ok(Some(pg::Frame { kind, length, .. })) = pg::parse_frame(answer, max_bytes) {
        let (message, rest) = answer.split_at(length);
        if matches!(kind, b'T' | b'D' | b'C') {
            output.append(message, initial_bytes, usize::MAX);
        }
        answer = rest;
        if kind == b'Z' {
            break;
        }
    }
    output.append(pg::READY, initial_bytes, usize::MAX);
}
