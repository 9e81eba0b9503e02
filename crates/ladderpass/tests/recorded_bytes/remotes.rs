//! Simulated members, discovery service and clients: what they send on their connections.

use crate::common::{
    WATCH_HEAD, cancel_key, chunk, empty_query_response, error_response, frame, frames, id_and_rest,
    instance, query, row, simulated_members, startup, startup_response, statement,
};
use crate::simulation::{MEMBERS, Remote, Scheduled, Simulation};
use ladderpass::reducer::{ConnectionId, Event};
use ladderpass_routing::Span;

impl Simulation {
    pub fn receive_from_router(&mut self, router: usize, id: ConnectionId) {
        let Some(Remote::Member { number, started, received }) = self.routers[router].remotes.get_mut(&id)
        else {
            return;
        };
        let number = *number;
        if !*started {
            let length = received.first_chunk().map_or(usize::MAX, |head| u32::from_be_bytes(*head) as usize);
            if received.len() < length {
                return;
            }
            received.drain(..length);
            *started = true;
            self.schedule_within(router, 2, Scheduled::Bytes(id, startup_response()));
            return;
        }
        let (queries, used) = frames(received);
        received.drain(..used);
        for (_, body) in queries {
            let text = String::from_utf8_lossy(&body[..body.len() - 1]).into_owned();
            self.answer_query(router, id, number, &text);
        }
    }

    fn answer_query(&mut self, router: usize, id: ConnectionId, number: usize, query: &str) {
        if query.is_empty() {
            // Answers must arrive in order. The answer to the query before the empty query takes at most 30 ms, so the
            // answer to the empty query is sent after 31 ms.
            return self.schedule(
                router,
                Span::from_millis(31),
                Scheduled::Bytes(id, empty_query_response()),
            );
        }
        let now_ms = self.now.nanos() as u64 / 1_000_000;
        let lag_ms = if number == 0 { 0 } else { u64::from(self.random_below(1200)) };
        let role = if number == 0 { "leader" } else { "follower" };
        let position = self.positions_ms[number].max(now_ms - lag_ms);
        self.positions_ms[number] = position;
        let answer = if query == "SHOW server_load" {
            let report =
                format!("x0={}.{:03},x1={}", position / 1000, position % 1000, u8::from(number == 0));
            row(report.as_bytes(), role, position)
        } else {
            match self.random_below(30) {
                0 => error_response("53300"),
                1 => error_response("25006"),
                2 => error_response("72000"),
                3 => error_response("XX000"),
                4 => return self.schedule_within(router, 20, Scheduled::Closed(id)),
                5 => return,
                6 => frame(b'D', b"\0\x02"),
                _ => row(id_and_rest(query).0.as_bytes(), role, position),
            }
        };
        self.schedule_within(router, 30, Scheduled::Bytes(id, answer));
    }

    /// Sends the next line of a watch: a change of one member, or, for the first line, the head of the response and the
    /// list of all members.
    pub fn send_watch_line(&mut self, router: usize, id: ConnectionId, first: bool) {
        self.generation += 1;
        let lifecycle = ["SERVING", "SERVING", "DRAINING", "DELETED"][self.random_below(4) as usize];
        let number = self.random_below(MEMBERS as u32) as usize;
        let changed = instance(number, &format!("127.0.0.1:{}", 7000 + number), lifecycle);
        let all: Vec<String> = simulated_members(MEMBERS)
            .iter()
            .enumerate()
            .map(|(n, address)| instance(n, address, "SERVING"))
            .collect();
        let entries = if first { all.join(",") } else { changed };
        let line =
            format!("{{\"generation\":{},\"reset\":{first},\"instances\":[{entries}]}}\n", self.generation);
        let chunk = chunk(line.as_bytes());
        let bytes = if first { [WATCH_HEAD, &chunk].concat() } else { chunk };
        self.schedule_within(router, 30, Scheduled::Bytes(id, bytes));
    }

    pub fn continue_watch(&mut self, router: usize, id: ConnectionId) {
        if self.routers[router].remotes.contains_key(&id) {
            let line = b"1\r\n\n\r\n".to_vec();
            self.schedule_within(router, 300, Scheduled::Bytes(id, line));
            if self.random_below(3) == 0 {
                self.send_watch_line(router, id, false);
            }
        }
    }

    pub fn accept(&mut self, router: usize) -> ConnectionId {
        let id = self.routers[router].reducer.next_id();
        self.clients += 1;
        let remote = Remote::Client { number: self.clients, received: Vec::new() };
        self.routers[router].remotes.insert(id, remote);
        self.handle(router, Event::Accepted(id));
        id
    }

    pub fn connect_client(&mut self, router: usize) {
        self.schedule_within(router, 60, Scheduled::ClientArrives);
        if !self.routers[router].reducer.accepts_clients() {
            return;
        }
        let id = self.accept(router);
        self.feed(router, id, &startup());
    }

    pub fn send_from_client(&mut self, router: usize, id: ConnectionId) {
        if !matches!(self.routers[router].remotes.get(&id), Some(Remote::Client { .. })) {
            return;
        }
        self.rpcs += 1;
        let rpc = format!("{:x}", 256 + self.rpcs);
        let method = if self.random_below(3) == 0 { "write" } else { "read" };
        let deadline_ms = u64::from(20 + self.random_below(700));
        let text = statement(&rpc, method, deadline_ms, "1");
        let bytes = match self.random_below(40) {
            0 => return self.schedule_within(router, 1, Scheduled::Closed(id)),
            1 => query("SELECT 1"),
            2 => query(&statement(&rpc, "unknown", deadline_ms, "1")),
            3 => query(&statement(&rpc, method, deadline_ms, "77")),
            4 => query(&text.replace("cluster=1", "cluster=1,retry=1")),
            5 => frame(b'P', b"\0\0\0\0"),
            6 => [query(&text), query(&statement(&format!("{rpc}f"), "read", deadline_ms, "1"))].concat(),
            _ => query(&text),
        };
        match self.random_below(60) {
            0 => self.schedule_within(router, 20, Scheduled::Closed(id)),
            1 => {
                if let Some(Remote::Client { received, .. }) = self.routers[router].remotes.get(&id) {
                    let (process, secret) = cancel_key(&frames(received).0);
                    self.schedule_within(router, 20, Scheduled::ClientCancels(process, secret));
                }
            }
            _ => {}
        }
        self.feed(router, id, &bytes);
    }
}
