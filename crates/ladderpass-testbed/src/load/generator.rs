//! State of a running load: its connections, the RPCs that wait to be sent, and the outcome so far.

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

/// How long after an RPC's deadline its answer still counts as in time: for its way back.
pub(super) const ANSWER_GRACE: Span = Span::from_millis(50);
const READ_BUFFER_BYTES: usize = 32 << 10;
/// A journal gets room for this many times the expected RPCs, and for no more than `JOURNAL_MAX_RESERVED`.
const JOURNAL_MARGIN: f64 = 1.2;
const JOURNAL_MAX_RESERVED: f64 = 5e6;

#[derive(Clone, Copy, PartialEq)]
pub(super) enum ClientKind {
    Normal,
    /// Always has `flood_depth` RPCs in flight.
    Flood,
    /// Sends and never reads.
    SlowReader,
}

/// An RPC that waits to be sent.
pub(super) struct QueuedRpc {
    pub due: Time,
    pub method: usize,
    /// When the client gives up.
    pub deadline: Time,
    /// How often it was sent before.
    pub retries: u32,
}

/// An RPC that waits for its answer.
pub(super) struct InFlightRpc {
    pub number: u64,
    pub method: usize,
    pub due: Time,
    /// When the client gives up.
    pub deadline: Time,
    /// How often it was sent before.
    pub retries: u32,
    /// Its client floods or reads slowly: it is not in the slices and the journal.
    pub background: bool,
    /// The client has given up, and it is counted as unanswered.
    pub abandoned: bool,
}

/// What has been read of the answer to the oldest RPC of a connection.
#[derive(Default)]
pub(super) struct PartialAnswer {
    /// A row came; within, the number of the RPC that its value was made for, if it can be read.
    pub row: Option<Option<u64>>,
    pub error_code: Option<String>,
    pub retry_after_ms: Option<u64>,
}

/// One connection of a client.
pub(super) struct ClientConnection {
    pub stream: TcpStream,
    pub kind: ClientKind,
    pub router: usize,
    /// When it moves to another router, once nothing is in flight.
    pub moves_at: Option<Time>,
    /// The router has welcomed it.
    pub ready: bool,
    /// Oldest first: answers come in this order.
    pub in_flight: VecDeque<InFlightRpc>,
    pub answer: PartialAnswer,
    pub input: Vec<u8>,
    pub output: Vec<u8>,
    /// Bytes of `output` that are written.
    pub written: usize,
    pub has_output: bool,
}

/// A lost connection that is opened again.
pub(super) struct Reconnect {
    /// Index of the connection.
    pub index: usize,
    pub kind: ClientKind,
}

/// Open arrivals: when the next RPC is due.
pub(super) struct NextArrival {
    /// Phases still to come, the next one last.
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
    pub clients: Vec<Option<ClientConnection>>,
    /// Connections that are opened again, by when and a number that makes the key unique.
    pub reconnects: BTreeMap<(Time, u64), Reconnect>,
    pub rng: SmallRng,
    pub method_shares: Vec<f64>,
    pub next_arrival: NextArrival,
    /// The number given last, to an RPC or a key of `reconnects` or `retries`.
    pub last_number: u64,
    /// The connection that was offered an RPC last.
    pub last_client: usize,
    pub queue: VecDeque<QueuedRpc>,
    /// Rejected RPCs that are sent again, by when and a number that makes the key unique.
    pub retries: BTreeMap<(Time, u64), QueuedRpc>,
    pub outcome: Outcome,
    pub began: Time,
    /// No RPC is due from then on.
    pub ends: Time,
    /// RPCs in flight, without those of flooding and slow connections.
    pub in_flight: usize,
    pub read_buffer: Vec<u8>,
}

impl<'a> LoadGenerator<'a> {
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

    /// Changes the counts of the slice and method of an RPC.
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

    /// The index of the slice in which an RPC was due.
    pub fn slice_index(&self, due: Time) -> usize {
        ((due - self.began).nanos() / SLICE.nanos()).max(0) as usize
    }

    /// The journal's entry of an RPC. Numbers rise in the order of sending.
    pub fn journal_entry(&mut self, number: u64) -> Option<&mut RpcRecord> {
        let index = self.outcome.journal.binary_search_by_key(&number, |entry| entry.number).ok()?;
        self.outcome.journal.get_mut(index)
    }
}

/// How many entries to reserve: a journal that grows by copying would hold the load up.
fn expected_journal_entries(plan: &Plan) -> usize {
    if !plan.journal {
        return 0;
    }
    let phases = plan.arrivals.phases().iter();
    let due: f64 = phases.map(|phase| phase.duration().secs() * phase.rate_per_second).sum();
    (due * JOURNAL_MARGIN).min(JOURNAL_MAX_RESERVED) as usize
}
