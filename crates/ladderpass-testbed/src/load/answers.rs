//! Answers of a router: parses them from the PostgreSQL protocol, checks them, and counts them.

use super::generator::{ANSWER_GRACE, InFlightRpc, LoadGenerator, PartialAnswer, QueuedRpc};
use super::outcome::RpcAnswer;
use ladderpass_emulator::{now, proto};
use ladderpass_invariants::Answer;
use ladderpass_routing::{Span, Time};

/// SQLSTATEs of a rejection: too_many_connections and cannot_connect_now.
const REJECTION_CODES: [&str; 2] = ["53300", "57P03"];
/// Once this many faults are recorded, further malformed rows are not recorded.
const MAX_MALFORMED_ROWS: usize = 20;
/// Number of bytes of a DataRow body before the value of its only column. These bytes hold the number of columns and
/// the length of that value.
const ROW_HEADER_BYTES: usize = 6;

impl LoadGenerator<'_> {
    /// Handles the complete messages that a connection has received.
    pub fn handle_input(&mut self, index: usize) {
        let now = now();
        let mut parsed = 0;
        loop {
            let Some(client) = self.clients[index].as_mut() else { return };
            let Some((kind, body, length)) =
                proto::parse_frame(client.input.get(parsed..).unwrap_or_default())
            else {
                break;
            };
            parsed += length;
            match kind {
                b'D' => {
                    if !is_row_well_formed(body) && self.outcome.faults.len() < MAX_MALFORMED_ROWS {
                        self.outcome.faults.push("a row whose column is not as long as it says".into());
                    }
                    client.answer.row = Some(row_rpc_number(body));
                }
                b'E' => {
                    client.answer.error_code = proto::error_field(body, b'C').map(str::to_owned);
                    client.answer.retry_after_ms =
                        proto::error_field(body, b'D').and_then(|text| text.parse().ok());
                }
                b'Z' if !client.ready => client.ready = true,
                b'Z' => {
                    let answer = std::mem::take(&mut client.answer);
                    match client.in_flight.pop_front() {
                        Some(rpc) => self.record_answer(now, rpc, answer),
                        None => self.outcome.faults.push("an answer that nobody waits for".into()),
                    }
                }
                _ => {}
            }
        }
        if let Some(client) = self.clients[index].as_mut() {
            client.input.drain(..parsed);
        }
    }

    /// Records the complete answer to an RPC, in the journal and in the counts.
    fn record_answer(&mut self, now: Time, rpc: InFlightRpc, answer: PartialAnswer) {
        if !rpc.background {
            self.in_flight -= 1;
        }
        self.check_answer(&rpc, &answer);
        let kind = answer.kind();
        if let Some(entry) = self.journal_entry(rpc.number) {
            entry.answered = Some(RpcAnswer { at: now, answer: kind, made_for: answer.row.flatten() });
        }
        if rpc.background {
            let flood = &mut self.outcome.flood;
            match kind {
                Answer::Ok => flood.ok += 1,
                Answer::Rejected => flood.rejected += 1,
                _ => flood.aborted += 1,
            }
            return;
        }
        if rpc.abandoned {
            return;
        }
        if now > rpc.deadline + ANSWER_GRACE {
            return self.count(rpc.due, rpc.method, |counts| counts.late += 1);
        }
        match kind {
            Answer::Ok => self.record_ok(now, &rpc),
            Answer::Rejected => self.record_rejection(now, &rpc, answer.retry_after_ms.unwrap_or(0)),
            _ => self.count(rpc.due, rpc.method, |counts| counts.aborted += 1),
        }
    }

    /// Records a fault for an answer that the protocol does not allow, and for a value that was made for another RPC. For RPCs
    /// in the journal, the history checker finds the values of another RPC, so only values whose RPC can't be read are recorded
    /// here. Background RPCs (those of flooding clients and slow readers) are not in the journal, so all their wrong values are
    /// recorded here.
    fn check_answer(&mut self, rpc: &InFlightRpc, answer: &PartialAnswer) {
        let number = rpc.number;
        if answer.row.is_none() && answer.error_code.is_none() {
            self.outcome.faults.push(format!("RPC {number:x}: an answer with neither a row nor an error"));
        }
        let is_unreadable = answer.row == Some(None);
        let is_background_of_another = rpc.background && answer.row != Some(Some(number));
        if answer.kind() == Answer::Ok && (is_unreadable || is_background_of_another) {
            self.outcome.faults.push(format!("RPC {number:x}: served the value of {:x?}", answer.row));
        }
    }

    /// Counts an ok answer and its latency, and the utility of the answer if it came by the soft deadline.
    fn record_ok(&mut self, now: Time, rpc: &InFlightRpc) {
        let method = &self.scenario.methods[rpc.method];
        let is_good = now <= rpc.due + Span::from_secs_f64(method.soft_deadline_ms / 1e3);
        self.count(rpc.due, rpc.method, |counts| {
            counts.ok += 1;
            counts.good += u64::from(is_good);
        });
        let slice = self.slice_index(rpc.due);
        if let Some(slice) = self.outcome.slices.get_mut(slice).filter(|_| is_good) {
            slice.utility += method.utility;
        }
        self.outcome.ok_us[rpc.method].saturating_record(latency_us(now, rpc));
    }

    /// Schedules a retry of a rejected RPC after its Retry-After, or counts the RPC as rejected if its client has no
    /// retry or no time left.
    fn record_rejection(&mut self, now: Time, rpc: &InFlightRpc, retry_after_ms: u64) {
        self.outcome.rejected_us.saturating_record(latency_us(now, rpc));
        self.outcome.retry_after_ms.saturating_record(retry_after_ms.max(1));
        let retry_at = now + Span::from_millis(retry_after_ms as i64);
        if rpc.retries < self.plan.max_retries && retry_at < rpc.deadline {
            self.last_number += 1;
            let retry = QueuedRpc {
                due: rpc.due,
                method: rpc.method,
                deadline: rpc.deadline,
                retries: rpc.retries + 1,
            };
            self.retries.insert((retry_at, self.last_number), retry);
        } else {
            self.count(rpc.due, rpc.method, |counts| counts.rejected += 1);
        }
    }
}

impl PartialAnswer {
    /// Returns the kind of a complete answer.
    fn kind(&self) -> Answer {
        match self.error_code.as_deref() {
            None if self.row.is_some() => Answer::Ok,
            Some(code) if REJECTION_CODES.contains(&code) => Answer::Rejected,
            _ => Answer::Failed,
        }
    }
}

/// Returns the time since an RPC was due, in microseconds. The result is at least 1, the smallest value of the
/// histograms.
fn latency_us(now: Time, rpc: &InFlightRpc) -> u64 {
    ((now - rpc.due).nanos() / 1000).max(1) as u64
}

/// Returns whether the length of a DataRow's only column matches the length of the row.
fn is_row_well_formed(body: &[u8]) -> bool {
    let length =
        body.get(2..6).and_then(|four| four.first_chunk::<4>()).map(|four| u32::from_be_bytes(*four));
    length.is_some_and(|length| length as usize + ROW_HEADER_BYTES == body.len())
}

/// Returns the number of the RPC that a row's value was made for, or `None` if it can't be read. The emulator's
/// values begin with `SEED-NUMBER.` in hex.
fn row_rpc_number(body: &[u8]) -> Option<u64> {
    let value = body.get(ROW_HEADER_BYTES..).unwrap_or_default();
    let id = value.split(|&byte| byte == b'.').next()?;
    let id = std::str::from_utf8(id).ok()?;
    u64::from_str_radix(id.split_once('-')?.1, 16).ok()
}
