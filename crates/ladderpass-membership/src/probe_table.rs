//! Probes in flight: those that this router sent for itself, and those that it relays for others.

use ladderpass_routing::Time;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Bounds what other routers can make this one store.
const MAX_RELAYED_PROBES: usize = 256;

/// Why a router is probed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProbePurpose {
    /// To detect its failure: a probe without an ack leads to a suspicion.
    FailureDetection,
    /// To find out whether a router that is gone or was never seen has come back: a missing ack changes nothing.
    ReturnDetection,
}

/// A probe that this router sent and that has no ack yet.
pub(crate) struct Probe {
    pub target: SocketAddr,
    pub purpose: ProbePurpose,
    pub sent_at: Time,
    /// When other routers are asked for an indirect probe.
    pub indirect_at: Time,
    /// When the probe has failed.
    pub deadline: Time,
    /// How many routers were asked for an indirect probe.
    pub relays: usize,
    /// How many of these answered with a nack.
    pub nacks: usize,
}

impl Probe {
    /// Is an indirect probe due, or has the probe failed?
    pub fn is_due(&self, now: Time) -> bool {
        let has_failed = self.deadline <= now;
        let indirect_is_due = self.relays == 0 && self.indirect_at <= now;
        has_failed || indirect_is_due
    }

    fn wake_at(&self) -> Time {
        match self.relays {
            0 => self.indirect_at.min(self.deadline),
            _ => self.deadline,
        }
    }

    /// How much a failed probe says against this router's own health: each relay without a nack counts, and a probe
    /// without relays as one.
    pub fn missed_nacks(&self) -> u32 {
        match self.relays {
            0 => 1,
            relays => relays.saturating_sub(self.nacks) as u32,
        }
    }
}

/// An indirect probe on behalf of another router.
pub(crate) struct RelayedProbe {
    pub requester: SocketAddr,
    /// The requester's sequence number of the probe.
    pub requester_sequence: u32,
    /// When a nack is sent to the requester, as there is no ack yet.
    pub nack_at: Time,
    pub deadline: Time,
}

/// All probes in flight, by sequence number.
pub(crate) struct ProbeTable {
    /// Probes that this router sent for itself.
    pub initiated: BTreeMap<u32, Probe>,
    /// Probes on behalf of other routers.
    pub relayed: BTreeMap<u32, RelayedProbe>,
    last_sequence: u32,
}

impl ProbeTable {
    pub fn new(last_sequence: u32) -> ProbeTable {
        ProbeTable { initiated: BTreeMap::new(), relayed: BTreeMap::new(), last_sequence }
    }

    pub fn next_sequence(&mut self) -> u32 {
        self.last_sequence = self.last_sequence.wrapping_add(1);
        self.last_sequence
    }

    /// Forgets all probes.
    pub fn clear(&mut self) {
        self.initiated.clear();
        self.relayed.clear();
    }

    pub fn is_probing(&self, target: SocketAddr) -> bool {
        self.initiated.values().any(|probe| probe.target == target)
    }

    /// Is this the target of the probe with that sequence number?
    pub fn is_target(&self, sequence: u32, router: SocketAddr) -> bool {
        self.initiated.get(&sequence).is_some_and(|probe| probe.target == router)
    }

    /// Probes of routers that are alive.
    pub fn failure_detection_count(&self) -> usize {
        self.initiated.values().filter(|probe| probe.purpose == ProbePurpose::FailureDetection).count()
    }

    pub fn can_relay(&self) -> bool {
        self.relayed.len() < MAX_RELAYED_PROBES
    }

    /// Sequence numbers of the probes that an indirect probe is due for, or that have failed.
    pub fn due_probes(&self, now: Time) -> Vec<u32> {
        let due = self.initiated.iter().filter(|(_, probe)| probe.is_due(now));
        due.map(|(&sequence, _)| sequence).collect()
    }

    /// Sequence numbers of the relayed probes that a nack is due for, or that have ended.
    pub fn due_relayed_probes(&self, now: Time) -> Vec<u32> {
        let due =
            self.relayed.iter().filter(|(_, relayed)| relayed.deadline <= now || relayed.nack_at <= now);
        due.map(|(&sequence, _)| sequence).collect()
    }

    /// When any of them is due next.
    pub fn wake_at(&self) -> Option<Time> {
        let initiated = self.initiated.values().map(Probe::wake_at);
        let relayed = self.relayed.values().map(|relayed| relayed.nack_at.min(relayed.deadline));
        initiated.chain(relayed).min()
    }
}
