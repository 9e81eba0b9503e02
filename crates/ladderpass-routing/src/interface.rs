//! The types at the door of the decision module. Nothing here decides.

use crate::reasons::Exceptions;
use crate::time::{Span, Time};

/// A member of a group, by the small index that the front gave its id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MemberId(pub u32);

/// Handle of an RPC that was taken. What happens to it later is a call on this handle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Rpc {
    pub(crate) slot: u32,
    pub(crate) turn: u32,
}

/// How recent the data behind an answer must be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Level {
    Any,
    /// Not older than this when the call-out is sent.
    Bounded(Span),
    /// All that the session has written.
    Session,
    /// All that was committed before the RPC arrived.
    Fresh,
    /// Taken by the primary alone.
    Write,
}

impl Level {
    /// Is it for the primary of its group, and no other member?
    pub fn primary_only(self) -> bool {
        matches!(self, Level::Fresh | Level::Write)
    }

    pub fn bound(self) -> Option<Span> {
        match self {
            Level::Bounded(bound) => Some(bound),
            _ => None,
        }
    }
}

/// What running an RPC twice would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Idempotent,
    /// Repeats are known and dropped for `window` after the first send that may have run;
    /// `anywhere`: by every member of every group, else by the members of its own group.
    Tokened {
        anywhere: bool,
        window: Span,
    },
    NonIdempotent,
}

/// One row a method.
#[derive(Clone, Debug)]
pub struct Method {
    pub level: Level,
    pub effect: Effect,
    pub soft_deadline: Span,
    pub utility: f64,
    /// Share of the utility that an answer after the soft deadline still earns.
    pub late: f64,
}

/// How the list names the primary of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoleInList {
    Late,
    Start,
    Off,
}

/// What a router is handed at start.
#[derive(Clone, Debug)]
pub struct Deployment {
    pub methods: Vec<Method>,
    pub role_in_list: RoleInList,
    /// Session reads say themselves how old the session's last write is.
    pub carried: bool,
    /// The list comes only when it is asked for.
    pub must_ask: Option<Span>,
    pub probes: bool,
    /// A probe's answer tells a position and the role, not life alone.
    pub probes_tell: bool,
    /// How many there are of this one's kind, and which of them this is.
    pub routers: u32,
    pub me: u32,
    /// Routers may tell each other what they were told.
    pub peers: bool,
    pub callouts_cap: u32,
    pub longest_come_back: Span,
    /// Least time between two batches of events.
    pub tick: Span,
    pub cold_from: f64,
    pub warm_within: Span,
    pub overload_for: Span,
    /// A cold member bears this multiple of its present capacity for that time.
    pub tip_multiple: f64,
    /// Only an entry that says `Fading` binds; a member that left the list may still be called.
    pub soft_removal: bool,
}

impl Deployment {
    /// A probe by one router saves the others theirs.
    pub fn shares_probes(&self) -> bool {
        self.peers && self.probes_tell
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    On,
    Fading,
    Off,
}

/// A member as the list tells it.
#[derive(Clone, Copy, Debug)]
pub struct Entry {
    pub member: MemberId,
    pub group: u32,
    pub primary: bool,
    pub standing: Standing,
    pub born: Option<Time>,
    /// Kind of machine, by the small index that the front gave it.
    pub kind: u32,
    /// RPCs that it works on at once without slowing them, where the list tells.
    pub size: Option<f64>,
    /// Its zone, likewise; zero is the router's own.
    pub zone: u32,
    /// A number by which all routers know it.
    pub mark: u32,
}

#[derive(Clone, Copy, Debug)]
pub enum ListNews<'a> {
    /// The whole list as this router last held it, before its start or before it asks another; it may be stale.
    Remembered(&'a [Entry]),
    Whole(&'a [Entry]),
    Changes(&'a [Entry]),
    /// Changes from the list of before, while another is being asked for: they don't stand for its answer.
    Meanwhile(&'a [Entry]),
    /// A call for the list failed, or the subscription broke. `silent`: nobody said so; what it misses counts as told soon.
    Failed {
        silent: bool,
    },
}

/// How many ranks there are.
pub const RANKS: usize = 256;

/// The front's own state, when it is pressed for what its process has.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Strain {
    /// From 0, calm, to 1.
    pub pressure: f64,
    /// What ranks below this is refused; the fraction is the part of that rank which is.
    pub floor: f64,
    /// What an RPC of this method costs the front, in seconds.
    pub cost: f64,
    /// Its connection takes far more than a fair share.
    pub floods: bool,
    /// How long what has come waits for the front.
    pub delay: Span,
}

#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    pub method: u32,
    pub group: u32,
    /// When the client gives this try up.
    pub due: Time,
    /// The client said that this is a repeat.
    pub resent: bool,
    pub session: Option<u32>,
    /// Age of the session's last write, where it is carried.
    pub last_write: Option<Span>,
    /// None: the front does not watch itself.
    pub strain: Option<Strain>,
    /// What all routers together refuse; None: they don't tell each other.
    pub fleet: Option<Strain>,
    /// Drawn for its session by all routers alike, from 0 to 1: the smaller, the sooner it is refused.
    pub lot: Option<f64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Primary,
    Replica,
}

/// How a call-out or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    Ok,
    /// Answered with an error; it may have had an effect.
    Failed,
    /// Turned away unseen: full, or fading.
    Overloaded,
    TimedOut,
    /// No connection could be made; it never ran.
    Unreachable,
    Broken,
    Withdrawn,
    /// Never sent.
    Void,
    /// Turned away without effect: not the primary, or too far behind.
    Absent,
    /// Never sent: its connection was up too late for the decision to hold. It tells nothing of the member, and is no
    /// attempt.
    Expired,
}

impl Ended {
    /// How many ways to end there are.
    pub const COUNT: usize = Ended::Expired as usize + 1;

    /// It proves that the RPC never ran.
    pub fn never_ran(self) -> bool {
        use Ended::{Absent, Expired, Overloaded, Unreachable, Void};
        matches!(self, Void | Unreachable | Overloaded | Absent | Expired)
    }
}

#[derive(Clone, Copy, Debug)]
pub struct Outcome {
    pub member: MemberId,
    pub ended: Ended,
    pub took: Span,
    /// The RPC has its final answer, by this outcome or before it.
    pub complete: bool,
    /// A further call-out of this RPC is more than all routers may spend.
    pub unpaid: bool,
    pub role: Option<Role>,
    /// A proven position of the member; for a write that went through, its commit.
    pub position: Option<Time>,
}

/// What a member says of itself when probed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    pub position: Option<Time>,
    pub primary: Option<bool>,
    /// RPCs that it holds.
    pub holds: Option<f64>,
}

/// What one router passes on to the others: what a member told it, or that it is out of its reach.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Word {
    Replica,
    Primary,
    Lost,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct News {
    pub member: MemberId,
    pub word: Word,
    /// A position of a replica; when a primary was shown to be one, or a member was lost.
    pub at: Time,
    /// Its teller is in the zone of the router that hears it.
    pub near: bool,
    /// Its answer time over the usual one, as its teller met it; zero: not known.
    pub stretch: f64,
    /// RPCs that it holds, by its report.
    pub holds: Option<f64>,
}

impl News {
    pub fn of(member: MemberId, word: Word, at: Time) -> News {
        News { member, word, at, near: true, stretch: 0.0, holds: None }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send it to this member; None: no limit but the client's own.
    CallOut { member: MemberId, limit: Option<Span> },
    /// Keep it; `Router::tend` will decide, or the outcome of the call-out that is out.
    Hold,
    /// Final: a further try is harmless, after this long.
    PushBack { come_back: Span },
    /// Final: failed, and nothing is said of its effect.
    Abort,
    /// It has its final answer already.
    Done,
}

/// What `Router::tend` asks of the front.
#[derive(Debug, Default)]
pub struct Upkeep {
    pub decisions: Vec<(Rpc, Decision)>,
    pub probes: Vec<MemberId>,
    /// For all other routers of this one's kind.
    pub tell: Vec<News>,
    /// Ask for the list, and to be told of its changes.
    pub ask_list: bool,
    pub notes: Vec<String>,
    /// What did not go by the ordinary path, and why.
    pub exceptions: Exceptions,
    /// Members that are known no more: an index among these may be given to another.
    pub forgotten: Vec<MemberId>,
    pub wake: Option<Time>,
}

/// What a router sees of a member by itself: answer time over the usual one, and RPCs in flight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Seen {
    pub member: MemberId,
    pub mark: u32,
    pub group: u32,
    pub stretch: f64,
    pub in_flight: f64,
    /// Of what it ended lately, the part that it refused or failed.
    pub refused: f64,
}

impl crate::decide::Router {
    /// How many routers there are by now, and which of them this is.
    pub fn among(&mut self, me: u32, routers: u32) {
        (self.deployment.me, self.deployment.routers) = (me, routers);
    }

    /// Is it on the list to be served by?
    pub fn serves(&self, member: MemberId) -> bool {
        self.fleet.knows(member) && self.fleet.member(member.0 as usize).standing == Standing::On
    }

    /// The newest position that is proven of a member, and whether its group is led by it, for who looks on.
    pub fn knows_of(&self, member: MemberId) -> Option<(Time, bool)> {
        let known = self.fleet.knows(member).then(|| self.fleet.member(member.0 as usize))?;
        let primary = self.fleet.groups.get(known.group)?.primary;
        Some((known.position, primary == Some(member.0 as usize)))
    }

    /// What this router sees of each member, for what all reckon together.
    pub fn seen(&self, now: Time) -> impl Iterator<Item = Seen> {
        self.fleet.members.iter().flatten().filter(|member| member.standing == Standing::On).map(
            move |member| {
                let (failed, answered) = (member.failures.last(now, 2).0, member.stretch.last(now, 2).0);
                Seen {
                    member: member.id,
                    mark: member.mark,
                    group: member.group as u32,
                    stretch: self.stretch(now, member, 2),
                    in_flight: self.in_flight(now, member),
                    refused: failed / (failed + answered).max(1.0),
                }
            },
        )
    }

    /// This router's part of what all may have in flight at a member. It stands for the part of reads that routers with
    /// little traffic take from a crowded member, each by itself: both together would leave the member idle.
    pub fn room_is(&mut self, member: MemberId, limit: f64) {
        if self.fleet.knows(member) {
            let member = self.fleet.member_mut(member.0 as usize);
            (member.limit, member.part) = (limit, 1.0);
        }
    }
}
