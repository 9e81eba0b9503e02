//! Simulated discovery, which sends the endpoint list on each watch, and then its changes and heartbeats.

use super::settings::list_entry;
use super::simulation::{ConnectionKey, Simulation, SimulationEvent};
use ladderpass_routing::Span;

const HEARTBEAT_INTERVAL: Span = Span::from_millis(2000);
/// A heartbeat: an HTTP chunk with an empty line.
const HEARTBEAT: &[u8] = b"1\r\n\n\r\n";

impl Simulation {
    /// Changes the lifecycle of a member's entry in the endpoint list, and sends the change on all watches at
    /// `watch_events_per_second`, if discovery is up. Returns the new generation of the list.
    pub fn change_endpoint(&mut self, member: usize, lifecycle: &str) -> u64 {
        self.generation += 1;
        let entry = list_entry(&self.shape, member, self.members[member].primary, lifecycle);
        let line =
            format!("{{\"generation\":{},\"reset\":false,\"instances\":[{entry}]}}\n", self.generation);
        match self.entries.get_mut(member) {
            Some(previous) => *previous = entry,
            None => self.entries.push(entry),
        }
        if !self.discovery_up {
            return self.generation;
        }
        let mut sent = 0.0;
        for router in 0..self.routers.len() {
            for watch in self.open_watches(router) {
                sent += 1.0;
                let at =
                    self.now + self.shape.latency + Span::from_secs_f64(sent / self.watch_events_per_second);
                let bytes = http_chunk(&line);
                self.discovery.add(bytes.len());
                self.schedule(at, SimulationEvent::Bytes(watch, bytes));
            }
        }
        self.generation
    }

    /// Sends the complete list on a new watch, if discovery is up.
    pub(super) fn begin_watch(&mut self, watch: ConnectionKey) {
        if !self.discovery_up {
            return;
        }
        let list = format!(
            "{{\"generation\":{},\"reset\":true,\"instances\":[{}]}}\n",
            self.generation,
            self.entries.join(",")
        );
        let mut response = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
        response.extend(http_chunk(&list));
        self.counts[watch.router].list_bytes += response.len() as u64;
        self.discovery.add(response.len());
        let at = self.round_trip_at();
        self.schedule(at, SimulationEvent::Bytes(watch, response));
        self.schedule(at + HEARTBEAT_INTERVAL, SimulationEvent::WatchHeartbeat(watch));
    }

    /// Sends a heartbeat on a watch, if discovery is up, and schedules the next heartbeat.
    pub(super) fn send_watch_heartbeat(&mut self, watch: ConnectionKey) {
        if self.discovery_up {
            self.discovery.add(HEARTBEAT.len());
            self.deliver(watch.router, watch.id, HEARTBEAT);
        }
        self.schedule(self.now + HEARTBEAT_INTERVAL, SimulationEvent::WatchHeartbeat(watch));
    }
}

fn http_chunk(line: &str) -> Vec<u8> {
    format!("{:x}\r\n{line}\r\n", line.len()).into_bytes()
}
