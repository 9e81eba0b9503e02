//! Actions of clients, members and the discovery service in a random run.

use crate::common::{
    chunk, empty_query_response, error_response, frame, id_and_rest, instance, query, row, startup,
    startup_response, statement,
};
use crate::simulation::{Client, Simulation};
use ladderpass::reducer::{ConnectionId, Event};
use ladderpass_overload::ResourceSample;
use ladderpass_routing::Span;

impl Simulation {
    /// Makes one step of a random run: one random action of a client, a member or discovery, or a pause. After the
    /// action the router does what is due.
    pub fn step(&mut self) {
        match self.next_choice(12) {
            0 | 1 if self.clients.len() < 12 && !self.exited => self.connect_client(),
            2..=4 => {
                let Some(id) = self.choose_client() else { return };
                self.send_statement(id);
            }
            5 => {
                let Some(id) = self.choose_client() else { return };
                if self.cancel_or_disconnect(id) {
                    return;
                }
                self.send_noise(id);
            }
            6..=8 => self.act_as_member(),
            9 => self.act_as_discovery(),
            _ => {
                for _ in 0..[0, 1, 5, 20][self.next_choice(4)] {
                    self.advance(Span::from_millis(4));
                }
            }
        }
        if self.is_overloaded && self.next_choice(3) == 0 {
            self.report_load();
        }
        self.advance(Span::ZERO);
        let in_flight = self.reducer.attempts_in_flight();
        assert_eq!(
            in_flight.rpcs, in_flight.connections,
            "RPCs with an attempt in flight, and member connections that carry one"
        );
    }

    fn choose_client(&mut self) -> Option<ConnectionId> {
        self.choose_from(self.clients.keys().copied().collect())
    }

    fn connect_client(&mut self) {
        let id = self.reducer.next_id();
        self.clients.insert(id, Client::default());
        self.apply(Event::Accepted(id));
        self.feed(id, &startup());
    }

    fn send_statement(&mut self, id: ConnectionId) {
        let method = if self.next_choice(3) == 0 { "write" } else { "read" };
        let wait_ms = 60 + self.next_choice(200) as u64 * 4;
        let rpc = format!("{:x}", self.statements.len() + 256);
        let text = statement(&rpc, method, wait_ms, "1");
        self.expect_statement(&text, method == "write");
        let deadline = self.now + Span::from_millis(wait_ms as i64);
        self.clients.get_mut(&id).expect("the client is connected").deadlines.push(deadline);
        self.clients.get_mut(&id).expect("the client is connected").rpc_ids.push(rpc);
        self.feed(id, &query(&text));
    }

    /// Sends a cancel request for this client, at times with a wrong key, or closes the client's connection. Returns
    /// false if it does neither.
    fn cancel_or_disconnect(&mut self, id: ConnectionId) -> bool {
        let action = self.next_choice(4);
        if action == 0 && self.clients[&id].received.contains(&b'K') {
            let (process, secret) = self.cancel_key_of(id);
            self.send_cancel_request((process, secret ^ u32::from(self.choices.len().is_multiple_of(3))));
            return true;
        }
        if action < 2 {
            self.clients.remove(&id);
            self.apply(Event::Closed(id));
            return true;
        }
        false
    }

    fn send_noise(&mut self, id: ConnectionId) {
        self.clients.get_mut(&id).expect("the client is connected").broke_protocol = true;
        let noise: Vec<u8> = (0..self.next_choice(30)).map(|_| self.next_choice(256) as u8).collect();
        self.feed(id, &noise);
    }

    /// Reports random resource usage to the router, whose memory may then count as short. At times also reports that a
    /// client's socket is full.
    fn report_load(&mut self) {
        let resident = self.next_choice(3) * (90 << 20);
        let wall = Span::from_millis(50);
        self.apply(Event::ResourcesSampled(ResourceSample {
            wall,
            resident_bytes: resident,
            ..ResourceSample::default()
        }));
        let busy = Span::from_millis(self.next_choice(40) as i64);
        let waiting = self.next_choice(200);
        self.apply(Event::IterationEnded(busy, waiting));
        if let Some(id) = self.choose_client()
            && !self.reducer.outgoing(id).is_empty()
        {
            self.apply(Event::WriteBlocked(id));
        }
    }

    /// Acts as a member: establishes or ends a connection from the router, or answers the query on the connection,
    /// correctly or not.
    fn act_as_member(&mut self) {
        let Some(id) = self.choose_from(self.member_connections.keys().copied().collect()) else { return };
        let (action, position) = (self.next_choice(16), self.now.nanos() as u64 / 1_000_000);
        let member = self.member_connections.get_mut(&id).expect("the member connection is open");
        if action == 0 {
            self.member_connections.remove(&id);
            return self.apply(Event::Closed(id));
        }
        if !member.is_established {
            member.is_established = action != 1;
            return self.apply(if action == 1 { Event::ConnectDenied(id) } else { Event::Connected(id) });
        }
        if !member.startup_done {
            member.startup_done = true;
            member.received.clear();
            return self.feed(id, &startup_response());
        }
        let Some(query_text) = member.query.take() else {
            if std::mem::take(&mut member.sync_query_queued) {
                self.feed(id, &empty_query_response());
            } else if action == 1 {
                self.feed(id, &row(b"early", "leader", position));
            }
            return;
        };
        let rpc = id_and_rest(&query_text).0;
        let valid_answer = row(rpc.as_bytes(), ["leader", "follower"][action % 2], position);
        let answer = match action {
            1 => error_response("53300"),
            2 => error_response("25006"),
            3 => error_response("XX000"),
            // Malformed answers: a row of two columns, half an answer, a value of 3 GB, an unknown command tag.
            4 => frame(b'D', b"\0\x02"),
            5 => valid_answer[..20].to_vec(),
            6 => [&valid_answer[..37], b"D\xbb\0\0\0\0\x01\xb9\0\0\0v"].concat(),
            7 => {
                [&valid_answer[..37], &frame(b'D', b"\0\x01\0\0\0\x01v"), &frame(b'C', b"FETCH 9\0")].concat()
            }
            _ if query_text == "SHOW server_load" => {
                let report = format!("x0={}.5,x1={}", position / 1000, action % 2);
                row(report.as_bytes(), "follower", position)
            }
            // Good answers followed by a second copy or by noise, and one with a position an hour ahead, which no
            // member can have.
            8 => [&valid_answer[..], &valid_answer].concat(),
            9 => [&valid_answer[..], b"\x07noise"].concat(),
            10 => row(rpc.as_bytes(), "follower", position + 3_600_000),
            _ => valid_answer,
        };
        if matches!(action, 1 | 2)
            && let Some(statement) = self.statements.get_mut(&rpc)
        {
            statement.may_have_run = false;
        }
        self.feed(id, &answer);
    }

    /// Acts as discovery: opens or ends a watch of the endpoint list, or sends a line on the watch, which may be
    /// invalid. At times the router gets no descriptor for the watch instead.
    fn act_as_discovery(&mut self) {
        let Some((id, is_open)) = self.watches.first().copied() else { return };
        if !is_open {
            return if self.next_choice(4) == 1 {
                self.apply(Event::ConnectDenied(id))
            } else {
                self.open_watch(id)
            };
        }
        self.generation += 1;
        let (n, action) = (self.next_choice(4), self.next_choice(7));
        let lifecycle = ["SERVING", "SERVING", "DRAINING", "DELETED"][self.next_choice(4)];
        let entry = instance(n, &format!("127.0.0.1:{}", 7000 + n + 10 * (action % 2)), lifecycle);
        let generation = if action == 3 { 0 } else { self.generation };
        let line =
            format!("{{\"generation\":{generation},\"reset\":{},\"instances\":[{entry}]}}\n", action == 4);
        match action {
            5 => self.feed(id, b"zz\r\n"),
            6 => {
                self.watches.clear();
                self.apply(Event::Closed(id));
            }
            _ => self.feed(id, &[&chunk(line.as_bytes())[..], b"1\r\n\n\r\n"].concat()),
        }
    }
}
