//! Checks the output of a simulated router against two rules. By rule 1 each statement has one answer in time, and by
//! rule 2 no statement that may have run is sent again.

use crate::common::{frames, id_and_rest};
use crate::simulation::Simulation;
use ladderpass::reducer::{ConnectionId, Event};
use ladderpass_routing::Span;

impl Simulation {
    /// Delivers all bytes that the router has written on a connection, and checks these bytes.
    pub fn write(&mut self, id: ConnectionId) {
        while !self.reducer.outgoing(id).is_empty() {
            let bytes = self.reducer.outgoing(id).to_vec();
            if let Some(client) = self.clients.get_mut(&id) {
                client.received.extend_from_slice(&bytes);
                let (frames_received, _) = frames(&client.received);
                // The answer to the startup message ends with ReadyForQuery too, and a fatal error ends without
                // ReadyForQuery.
                let is_end_of_answer =
                    |(kind, body): &&(u8, Vec<u8>)| *kind == b'Z' || body.starts_with(b"SFATAL");
                let answer_count = frames_received.iter().filter(is_end_of_answer).count().saturating_sub(1);
                assert!(
                    client.broke_protocol || answer_count <= client.deadlines.len(),
                    "rule 1: more answers than statements"
                );
                for (nth, answer) in
                    frames_received.split_inclusive(|(kind, _)| *kind == b'Z').skip(1).enumerate()
                {
                    let value = answer.iter().find(|(kind, _)| *kind == b'D').map(|(_, body)| &body[6..]);
                    let rpc_id = client.rpc_ids.get(nth).map(String::as_bytes);
                    let is_own_value =
                        client.broke_protocol || value.is_none() || rpc_id.is_none() || value == rpc_id;
                    assert!(is_own_value, "rule 1: the answer is for another RPC");
                }
                // The deadline of a pipelined statement runs from when the statement was sent, but the statement is
                // answered only after the statement before it. So the answer may come up to 10 ms after the previous
                // answer, even past the statement's own deadline.
                let pipelined_until = client.answered_at.map_or(self.now, |at| at + Span::from_millis(10));
                for (nth, deadline) in
                    client.deadlines.iter().enumerate().take(answer_count).skip(client.answers)
                {
                    let is_pipelined =
                        nth > client.answers || self.now <= pipelined_until && client.answered_at.is_some();
                    let in_time = self.now <= *deadline || is_pipelined;
                    assert!(
                        client.broke_protocol || in_time,
                        "rule 1: an answer after the client's deadline"
                    );
                }
                if answer_count > client.answers {
                    client.answered_at = Some(self.now);
                }
                client.answers = answer_count;
            } else if let Some(member) = self.member_connections.get_mut(&id) {
                member.received.extend_from_slice(&bytes);
                if member.startup_done {
                    let (frames_received, used) = frames(&member.received);
                    member.received.drain(..used);
                    frames_received.into_iter().for_each(|(kind, body)| self.check_query(id, kind, &body));
                }
            }
            self.apply(Event::Written(id, bytes.len()));
        }
    }

    /// Checks a complete query that has reached a member, and records it as in flight.
    fn check_query(&mut self, id: ConnectionId, kind: u8, body: &[u8]) {
        let text = String::from_utf8(body[..body.len() - 1].to_vec()).expect("UTF-8 text");
        let (rpc, rest) = id_and_rest(&text);
        assert_eq!(kind, b'Q');
        if text != "SHOW server_load" && !text.is_empty() {
            let statement = self.statements.get_mut(&rpc).expect("a client sent it");
            assert_eq!(statement.text, rest, "the statement is forwarded unchanged but for the value of d");
            assert!(
                !(statement.runs_once && statement.may_have_run),
                "rule 2: sent again, though it may have run"
            );
            statement.may_have_run = true;
            let in_flight = self
                .member_connections
                .values()
                .filter(|member| member.query.as_ref() == Some(&text))
                .count();
            assert_eq!(in_flight, 0, "rule 2: sent while another attempt is in flight");
        }
        let member = self.member_connections.get_mut(&id).expect("the member connection is open");
        if text.is_empty() {
            assert!(member.query.is_some() && !member.sync_query_queued, "an empty query follows a query");
            member.sync_query_queued = true;
            return;
        }
        assert!(
            member.query.is_none() && !member.sync_query_queued,
            "two queries in flight on one connection"
        );
        member.query = Some(text);
    }
}
