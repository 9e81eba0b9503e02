//! Probes in flight: those that this router initiated, and those that it relays for other routers.

use ladderpass_routing::Time;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Maximum number of relayed probes, which limits the memory that other routers can make this router use.
const MAX_RELAYED_PROBES: usize = 256;

/// The reason why a router is probed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProbePurpose {
    /// The probe is to detect a failure. A missing ack leads to a suspicion.
    FailureDetection,
    /// The probe is to find out whether a router that is dead or was never seen is running now. A missing ack changes
    /// nothing.
    ReturnDetection,
}

/// A probe that this router initiated and that has no ack yet.
pub(crate) struct Probe {
    pub target: SocketAddr,
    pub purpose: ProbePurpose,
    pub sent_at: Time,
    /// When other routers are asked for indirect probes.
    pub indirect_at: Time,
    /// When the probe fails unless an ack has arrived.
    pub deadline: Time,
    /// How many routers were asked for indirect probes.
    pub relays: usize,
    /// How many of the relays answered with a nack.
    pub nacks: usize,
}

impl Probe {
    /// Whether indirect probes are due or the probe has failed.
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

    /// The number of steps by which this failed probe worsens this router's health score. Each relay that sent
    /// no nack counts as one step. A probe for which no relay was asked counts as one step.
    pub fn missed_nacks(&self) -> u32 {
        match self.relays {
            0 => 1,
            relays => relays.saturating_sub(self.nacks) as u32,
        }
    }
}

/// An indirect probe that this router sends on behalf of another router.
pub(crate) struct RelayedProbe {
    pub requester: SocketAddr,
    /// The requester's sequence number of the probe.
    pub requester_sequence: u32,
    /// When a nack is sent to the requester unless an ack has arrived.
    pub nack_at: Time,
    pub deadline: Time,
}

/// All probes in flight, by sequence number.
pub(crate) struct ProbeTable {
    /// Probes that this router initiated.
    pub initiated: BTreeMap<u32, Probe>,
    /// Indirect probes that this router sends on behalf of other routers.
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

    /// Discards all probes in flight.
    pub fn clear(&mut self) {
        self.initiated.clear();
        self.relayed.clear();
    }

    pub fn is_probing(&self, target: SocketAddr) -> bool {
        self.initiated.values().any(|probe| probe.target == target)
    }

    /// Whether the router is the target of the initiated probe with this sequence number.
    pub fn is_target(&self, sequence: u32, router: SocketAddr) -> bool {
        self.initiated.get(&sequence).is_some_and(|probe| probe.target == router)
    }

    /// The number of failure detection probes in flight.
    pub fn failure_detection_count(&self) -> usize {
        self.initiated.values().filter(|probe| probe.purpose == ProbePurpose::FailureDetection).count()
    }

    pub fn can_relay(&self) -> bool {
        self.relayed.len() < MAX_RELAYED_PROBES
    }

    /// Sequence numbers of the initiated probes that have failed or for which indirect probes are due.
    pub fn due_probes(&self, now: Time) -> Vec<u32> {
        let due = self.initiated.iter().filter(|(_, probe)| probe.is_due(now));
        due.map(|(&sequence, _)| sequence).collect()
    }

    /// Sequence numbers of the relayed probes that have ended or for which a nack is due.
    pub fn due_relayed_probes(&self, now: Time) -> Vec<u32> {
        let due =
            self.relayed.iter().filter(|(_, relayed)| relayed.deadline <= now || relayed.nack_at <= now);
        due.map(|(&sequence, _)| sequence).collect()
    }

    /// The earliest time at which an initiated or a relayed probe is due.
    pub fn wake_at(&self) -> Option<Time> {
        let initiated = self.initiated.values().map(Probe::wake_at);
        let relayed = self.relayed.values().map(|relayed| relayed.nack_at.min(relayed.deadline));
        initiated.chain(relayed).min()
    }
}
