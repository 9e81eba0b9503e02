//! State of a running load: its connections, the RPCs that wait to be sent, and the outcome so far.

use super::closed_connections::ClosedConnection;
use super::load_balancer::LoadBalancer;
use super::outcome::{Counts, Outcome, RpcRecord, SLICE, Slice, histogram};
use super::plan::{Phase, Plan};
use ladderpass_emulator::{Scenario, now};
use ladderpass_routing::{Span, Time};
use mio::Poll;
use mio::net::TcpStream;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::collections::{BTreeMap, VecDeque};
use std::io;

/// An answer counts as in time if it arrives within this time after its RPC's deadline. This grace covers the answer's
/// transmission.
pub(super) const ANSWER_GRACE: Span = Span::from_millis(50);
const READ_BUFFER_BYTES: usize = 32 << 10;
/// Number of reserved journal entries per expected RPC.
const JOURNAL_MARGIN: f64 = 1.2;
/// Maximum number of reserved journal entries.
const JOURNAL_MAX_RESERVED: f64 = 5e6;

/// How the client of a connection behaves.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum ClientKind {
    /// Sends the RPCs of the plan's arrivals.
    Normal,
    /// Keeps `flood_depth` RPCs in flight.
    Flood,
    /// Sends RPCs and never reads answers.
    SlowReader,
}

/// An RPC that waits to be sent.
pub(super) struct QueuedRpc {
    pub due: Time,
    pub method: usize,
    /// When the client gives up on the RPC.
    pub deadline: Time,
    /// How often the RPC was sent before.
    pub retries: u32,
}

/// An RPC that waits for its answer.
pub(super) struct InFlightRpc {
    pub number: u64,
    pub method: usize,
    pub due: Time,
    /// When the client gives up on the RPC.
    pub deadline: Time,
    /// How often the RPC was sent before.
    pub retries: u32,
    /// Whether a flooding client or a slow reader sent the RPC. Such RPCs are in neither the slices nor the journal.
    pub background: bool,
    /// Whether the client has given up and the RPC is counted as unanswered.
    pub abandoned: bool,
}

/// The part read so far of the answer to a connection's oldest RPC.
#[derive(Default)]
pub(super) struct PartialAnswer {
    /// Set once a row was received. The inner value is the number of the RPC that the row's value was made for, if that
    /// number can be read.
    pub row: Option<Option<u64>>,
    pub error_code: Option<String>,
    pub retry_after_ms: Option<u64>,
}

/// One connection of a client.
pub(super) struct ClientConnection {
    pub stream: TcpStream,
    pub kind: ClientKind,
    pub router: usize,
    /// When the client reconnects to a router that the load balancer draws, as soon as no RPC is in flight. The time is
    /// `None` for clients that do not roam.
    pub moves_at: Option<Time>,
    /// Whether the router has completed the startup, so that the connection accepts RPCs.
    pub ready: bool,
    /// RPCs in flight, with the oldest first. The router answers in this order.
    pub in_flight: VecDeque<InFlightRpc>,
    pub answer: PartialAnswer,
    pub input: Vec<u8>,
    pub output: Vec<u8>,
    /// Number of bytes of `output` that have been written.
    pub written: usize,
    /// Whether the client should try to write the rest of `output`.
    pub has_output: bool,
}

/// A lost connection that will be reopened.
pub(super) struct Reconnect {
    /// Index of the lost connection.
    pub index: usize,
    pub kind: ClientKind,
}

/// State of open arrivals: the current phase, and when the next RPC is due.
pub(super) struct NextArrival {
    /// Phases that have not begun, in reverse order, so that the next phase can be popped.
    pub phases: Vec<Phase>,
    pub phase_ends: Time,
    pub rate_per_second: f64,
    pub next_due: Time,
}

/// A running load.
pub(super) struct LoadGenerator<'a> {
    pub scenario: &'a Scenario,
    pub plan: &'a Plan,
    pub balancer: &'a LoadBalancer,
    pub poll: Poll,
    /// Connections, by index. An entry is `None` while its connection is lost.
    pub clients: Vec<Option<ClientConnection>>,
    /// Connections that routers have closed while RPCs were unanswered.
    pub closed_connections: Vec<ClosedConnection>,
    /// Connections to reopen, by the time of reopening and a number that makes the key unique.
    pub reconnects: BTreeMap<(Time, u64), Reconnect>,
    pub rng: SmallRng,
    pub method_shares: Vec<f64>,
    pub next_arrival: NextArrival,
    /// The last assigned number. RPCs and keys of `reconnects` and `retries` share one sequence.
    pub last_number: u64,
    /// Index of the connection that was considered last for an RPC.
    pub last_client: usize,
    /// RPCs that are due and wait for a free connection.
    pub queue: VecDeque<QueuedRpc>,
    /// Rejected RPCs to retry, by the time of the retry and a number that makes the key unique.
    pub retries: BTreeMap<(Time, u64), QueuedRpc>,
    pub outcome: Outcome,
    /// Start of the load, from which the slices count.
    pub began: Time,
    /// End of the load, from which on no RPC is due.
    pub ends: Time,
    /// Number of RPCs in flight, without those of flooding clients and slow readers.
    pub in_flight: usize,
    pub read_buffer: Vec<u8>,
}

impl<'a> LoadGenerator<'a> {
    /// Creates the state of a load without opening its connections.
    pub fn new(
        scenario: &'a Scenario,
        balancer: &'a LoadBalancer,
        plan: &'a Plan,
    ) -> io::Result<LoadGenerator<'a>> {
        let began = now();
        let duration = plan.arrivals.duration();
        let phases: Vec<Phase> = plan.arrivals.phases().iter().rev().copied().collect();
        let outcome = Outcome {
            slices: Vec::new(),
            ok_us: vec![histogram(); scenario.methods.len()],
            rejected_us: histogram(),
            retry_after_ms: histogram(),
            flood: Counts::default(),
            faults: Vec::new(),
            began,
            duration,
            max_send_delay: Span::ZERO,
            journal: Vec::with_capacity(expected_journal_entries(plan)),
        };
        Ok(LoadGenerator {
            scenario,
            plan,
            balancer,
            poll: Poll::new()?,
            clients: Vec::new(),
            closed_connections: Vec::new(),
            reconnects: BTreeMap::new(),
            rng: SmallRng::seed_from_u64(plan.seed),
            method_shares: scenario.methods.iter().map(|method| method.share).collect(),
            next_arrival: NextArrival { phases, phase_ends: began, rate_per_second: 0.0, next_due: began },
            last_number: 0,
            last_client: 0,
            queue: VecDeque::new(),
            retries: BTreeMap::new(),
            outcome,
            began,
            ends: began + duration,
            in_flight: 0,
            read_buffer: vec![0; READ_BUFFER_BYTES],
        })
    }

    /// Applies a change to the counts of an RPC's slice and method. `due` determines the slice.
    pub fn count(&mut self, due: Time, method: usize, change: impl Fn(&mut Counts)) {
        let slice = self.slice_index(due);
        let methods = self.scenario.methods.len();
        let slices = &mut self.outcome.slices;
        while slices.len() <= slice {
            let at_s = slices.len() as f64 * SLICE.secs();
            slices.push(Slice { at_s, counts: vec![Counts::default(); methods], utility: 0.0 });
        }
        if let Some(counts) = slices[slice].counts.get_mut(method) {
            change(counts);
        }
    }

    /// Returns the index of the slice in which an RPC was due.
    pub fn slice_index(&self, due: Time) -> usize {
        ((due - self.began).nanos() / SLICE.nanos()).max(0) as usize
    }

    /// Returns the journal entry of an RPC, found by binary search, since numbers increase in the order of sending.
    pub fn journal_entry(&mut self, number: u64) -> Option<&mut RpcRecord> {
        let index = self.outcome.journal.binary_search_by_key(&number, |entry| entry.number).ok()?;
        self.outcome.journal.get_mut(index)
    }
}

/// Returns how many journal entries are reserved, because copying a growing journal would delay the load. For closed arrivals,
/// the number of RPCs is not known in advance, and no entries are reserved.
fn expected_journal_entries(plan: &Plan) -> usize {
    if !plan.journal {
        return 0;
    }
    let phases = plan.arrivals.phases().iter();
    let due: f64 = phases.map(|phase| phase.duration().secs() * phase.rate_per_second).sum();
    (due * JOURNAL_MARGIN).min(JOURNAL_MAX_RESERVED) as usize
}
