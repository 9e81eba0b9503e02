//! Direct and indirect probes of SWIM.
//!
//! A probe begins with a ping. If no ack arrives within [`crate::Settings::ack_timeout`], other routers
//! (relays) are asked to ping the same target (ping-req). If no ack arrives before the round is over, the
//! target is suspected. Both timeouts grow with the local health score. A relay that receives no ack sends a
//! nack to the prober, which shows that the prober's own link works (Lifeguard).

use crate::dissemination::Draft;
use crate::membership::Membership;
use crate::message::{Kind, Message};
use crate::probe_table::{Probe, ProbePurpose, RelayedProbe};
use crate::router_state::StateUpdate;
use ladderpass_routing::Time;
use std::net::SocketAddr;

/// Maximum number of failure detection probes in flight. More than one is sent in a round when acks are missing.
const MAX_CONCURRENT_PROBES: usize = 4;
/// How long a relay waits for the ack of a relayed probe, in rounds.
const RELAY_TIMEOUT_ROUNDS: f64 = 2.0;
/// How long a relay waits before it sends a nack, as a share of the time that the requester waits for an answer.
const NACK_SHARE_OF_WAIT: f64 = 0.5;
/// Number of absent routers (dead, or listed and never seen) that are probed in a round in which absent routers are
/// probed.
const ABSENT_PROBES: usize = 1;
/// Absent routers are probed once in this many rounds.
const ROUNDS_BETWEEN_ABSENT_PROBES: u64 = 2;
/// Number of absent routers that are probed in each round by a router that knows no other live router.
const ABSENT_PROBES_WHEN_ALONE: usize = 3;

impl Membership {
    /// Probes the next live router. Each router is probed once before any router is probed again.
    pub(crate) fn probe_next_router(&mut self, now: Time) {
        if let Some(target) = self.next_probe_target() {
            self.send_probe(now, target, ProbePurpose::FailureDetection);
        }
    }

    /// Probes absent routers (dead, or listed and never seen) to find out whether they have returned.
    pub(crate) fn probe_absent_routers(&mut self, now: Time) {
        let is_alone = self.routers.cluster_size() == 1;
        if !is_alone && !self.round.is_multiple_of(ROUNDS_BETWEEN_ABSENT_PROBES) {
            return;
        }
        let absent = self.absent_routers();
        let count = if is_alone { ABSENT_PROBES_WHEN_ALONE } else { ABSENT_PROBES };
        for _ in 0..count {
            let Some(target) = self.pick_random(&absent) else { return };
            self.probe_for_return(now, target);
        }
    }

    /// Probes a router that is dead or was never seen, unless a probe of it is already in flight.
    pub(crate) fn probe_for_return(&mut self, now: Time, target: SocketAddr) {
        if !self.is_leaving && !self.probes.is_probing(target) {
            self.send_probe(now, target, ProbePurpose::ReturnDetection);
        }
    }

    fn send_probe(&mut self, now: Time, target: SocketAddr, purpose: ProbePurpose) {
        let sequence = self.probes.next_sequence();
        let timeout_multiplier = self.health.timeout_multiplier();
        let probe = Probe {
            target,
            purpose,
            sent_at: now,
            indirect_at: now + self.settings.ack_timeout * timeout_multiplier,
            deadline: now + self.settings.probe_interval * timeout_multiplier,
            relays: 0,
            nacks: 0,
        };
        self.probes.initiated.insert(sequence, probe);
        self.send(target, Draft::new(Kind::Ping, sequence));
    }

    /// Answers a ping with an ack. If the sender's view differs from this router's view, this router's view is
    /// sent too.
    pub(crate) fn on_ping(&mut self, from: SocketAddr, sequence: u32, view_differs: bool) {
        let ack = Draft { fill_with_view: view_differs, ..Draft::new(Kind::Ack, sequence) };
        self.send(from, ack);
        if view_differs {
            self.send_view(from);
        }
    }

    /// Ends the probe that an ack answers. If this router relayed the probe, the requester is notified.
    pub(crate) fn on_ack(&mut self, now: Time, from: SocketAddr, message: &Message, view_differs: bool) {
        if let Some(relayed) = self.probes.relayed.remove(&message.sequence) {
            self.record_acknowledgement(now);
            let answer =
                Draft::new(Kind::IndirectAck, relayed.requester_sequence).with_update(message.sender_state);
            return self.send(relayed.requester, answer);
        }
        if !self.probes.is_target(message.sequence, from) {
            return;
        }
        let Some(probe) = self.probes.initiated.remove(&message.sequence) else { return };
        self.record_acknowledgement(now);
        if probe.purpose == ProbePurpose::FailureDetection {
            self.health.improve();
        }
        self.routers.record_ack(now, from);
        if view_differs {
            self.send_view(from);
        }
    }

    /// Pings the target on behalf of another router.
    pub(crate) fn on_ping_request(
        &mut self,
        now: Time,
        requester: SocketAddr,
        requester_sequence: u32,
        target: Option<StateUpdate>,
    ) {
        let Some(target) = target.map(|update| update.router) else { return };
        if target == self.local || !self.may_participate(target) || !self.probes.can_relay() {
            return;
        }
        let sequence = self.probes.next_sequence();
        // The requester waits until its round is over, and the nack must arrive before the end of that round.
        let requester_wait = self.settings.probe_interval - self.settings.ack_timeout;
        let nack_at = now + requester_wait * NACK_SHARE_OF_WAIT;
        let deadline = now + self.settings.probe_interval * RELAY_TIMEOUT_ROUNDS;
        let relayed = RelayedProbe { requester, requester_sequence, nack_at, deadline };
        self.probes.relayed.insert(sequence, relayed);
        self.send(target, Draft::new(Kind::Ping, sequence));
    }

    /// Ends a probe whose target has answered a relay.
    pub(crate) fn on_indirect_ack(&mut self, now: Time, sequence: u32, target: Option<StateUpdate>) {
        self.record_acknowledgement(now);
        let Some(target) = target.filter(|update| self.probes.is_target(sequence, update.router)) else {
            return;
        };
        self.probes.initiated.remove(&sequence);
        self.apply_update(now, &target);
        self.health.improve();
    }

    /// Counts a nack. Like this router, the relay has received no ack from the target, but the nack shows that
    /// this router's own link works.
    pub(crate) fn on_nack(&mut self, now: Time, sequence: u32) {
        self.record_acknowledgement(now);
        if let Some(probe) = self.probes.initiated.get_mut(&sequence) {
            probe.nacks = (probe.nacks + 1).min(probe.relays);
        }
    }

    /// Records that another router has received a datagram of this router. If this router was isolated until
    /// now, the suspected routers get their full time to refute once more, since their refutations could not
    /// arrive.
    fn record_acknowledgement(&mut self, now: Time) {
        if self.health.is_isolated(now) {
            self.routers.restart_suspicions(now);
        }
        self.health.record_acknowledgement(now);
    }

    /// Sends the nacks that are due, and ends the relayed probes whose time has passed without an ack.
    pub(crate) fn advance_relayed_probes(&mut self, now: Time) {
        for sequence in self.probes.due_relayed_probes(now) {
            let Some(relayed) = self.probes.relayed.get_mut(&sequence) else { continue };
            if relayed.deadline <= now {
                self.probes.relayed.remove(&sequence);
                continue;
            }
            // Only one nack is sent for each relayed probe.
            relayed.nack_at = relayed.deadline;
            let (requester, requester_sequence) = (relayed.requester, relayed.requester_sequence);
            let nack = Draft::new(Kind::Nack, requester_sequence).with_update(self.local_state());
            self.send(requester, nack);
        }
    }

    /// Requests the indirect probes that are due, and suspects the targets of failed probes.
    pub(crate) fn advance_probes(&mut self, now: Time) {
        for sequence in self.probes.due_probes(now) {
            let Some(probe) = self.probes.initiated.get(&sequence) else { continue };
            if probe.deadline <= now {
                self.fail_probe(now, sequence);
            } else {
                let (target, purpose) = (probe.target, probe.purpose);
                self.request_indirect_probes(now, sequence, target, purpose);
            }
        }
    }

    fn fail_probe(&mut self, now: Time, sequence: u32) {
        let Some(probe) = self.probes.initiated.remove(&sequence) else { return };
        if probe.purpose == ProbePurpose::ReturnDetection {
            return;
        }
        // If not even the relays have answered (with a nack), this router may be the one that is cut off.
        self.health.degrade(probe.missed_nacks());
        self.suspect(now, probe.target, probe.sent_at);
    }

    fn request_indirect_probes(
        &mut self,
        now: Time,
        sequence: u32,
        target: SocketAddr,
        purpose: ProbePurpose,
    ) {
        let relays = match purpose {
            ProbePurpose::ReturnDetection => Vec::new(),
            ProbePurpose::FailureDetection => {
                self.select_responsive_peers(now, self.settings.indirect_probes, target)
            }
        };
        if let Some(probe) = self.probes.initiated.get_mut(&sequence) {
            probe.indirect_at = probe.deadline;
            probe.relays = relays.len();
        }
        let target_state: Vec<StateUpdate> = self.routers.state_update(target).into_iter().collect();
        for relay in relays {
            let request = Draft { updates: target_state.clone(), ..Draft::new(Kind::PingRequest, sequence) };
            self.send(relay, request);
        }
        // If one ack is missing, others may be missing too, so the next router is probed before the next round.
        if purpose == ProbePurpose::FailureDetection
            && self.probes.failure_detection_count() < MAX_CONCURRENT_PROBES
        {
            self.probe_next_router(now);
        }
    }
}
