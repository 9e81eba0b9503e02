//! The move: routers of the old shape, which tell each other nothing, and of the new one, before the same members. The
//! rules are judged by `ladderpass-rules` over what ran, and neither kind may starve the other.

use ladderpass_core::{Span, Time};
use ladderpass_fleet::{Running, Scenario, Truth};
use ladderpass_lab::bed::open;
use ladderpass_lab::load::{self, Counts, Outcome, Plan};
use ladderpass_lab::router::{Router, Start};
use ladderpass_rules::{Event, Grace, What, check};
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::path::Path;
use std::sync::{Mutex, MutexGuard};

static ALONE: Mutex<()> = Mutex::new(());

fn alone() -> MutexGuard<'static, ()> {
    ALONE.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

#[derive(Clone, Copy, PartialEq)]
enum Kind {
    Old,
    New,
    /// Clients straight at the members: a router that keeps no limit.
    Greedy,
}

/// A part of the good answers below which a kind is starved by the other.
const FAIR: f64 = 0.5;

struct Played {
    scenario: Scenario,
    outcomes: Vec<(Kind, u64, Outcome)>,
    truth: Truth,
    log: Vec<String>,
}

/// Addresses that nobody had a moment ago.
fn free(count: usize) -> Vec<SocketAddr> {
    let sockets: Vec<UdpSocket> =
        (0..count).map(|_| UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).expect("loopback")).collect();
    sockets.iter().map(|socket| socket.local_addr().expect("bound")).collect()
}

/// Two routers of each kind, each with a load of its own.
fn play(kinds: [Kind; 2], rate: f64) -> Played {
    let mut scenario = Scenario { cores: 2, ..Scenario::default() };
    scenario.methods.iter_mut().for_each(|method| method.work_ms = 20.0);
    let fleet = Running::start(scenario.clone(), 1, Ipv4Addr::LOCALHOST).expect("fleet");
    let peers = free(2);
    let all = peers.iter().map(|peer| format!("'{peer}'")).collect::<Vec<_>>().join(", ");
    let mut routers = Vec::new();
    let mut targets = Vec::new();
    for (nth, kind) in kinds.into_iter().flat_map(|kind| [kind, kind]).enumerate() {
        let mut start = Start::new(Path::new(env!("CARGO_BIN_EXE_ladderpass")));
        if kind == Kind::New {
            let me = nth % 2;
            let text = format!("peers: {{me: {me}, all: [{all}]}}\nmembers: {{zone: a, sizes: true}}");
            start.operator = Some(text);
        }
        let seed = 100 + nth as u64;
        if kind == Kind::Greedy {
            targets.push((kind, seed, fleet.addresses[nth % 2]));
        } else {
            let router = Router::start_before(&scenario, &fleet.addresses, fleet.discovery, &start, seed)
                .unwrap_or_else(|fault| panic!("{fault}"));
            targets.push((kind, seed, router.address));
            routers.push(router);
        }
    }
    let outcomes = std::thread::scope(|scope| {
        let runs: Vec<_> = targets
            .iter()
            .map(|&(kind, seed, address)| {
                let greedy = if kind == Kind::Greedy { 20.0 } else { 1.0 };
                // One RPC a connection: what waits behind another there is not taken yet.
                // No more of them than it keeps in use: one that rests for two seconds is closed by the router, and may be
                // chosen for an RPC at that moment.
                let connections =
                    if rate < 100.0 && kind != Kind::Greedy { (rate / 3.0) as usize } else { 300 };
                let deadline = Span::from_millis(2000);
                let load = open(seed, &[(3.0, rate * greedy)]);
                let plan = Plan { connections, pipeline: 1, deadline, ..load };
                let scenario = &scenario;
                scope.spawn(move || (kind, seed, load::run(scenario, address, &plan, |_| {}).expect("load")))
            })
            .collect();
        runs.into_iter().map(|run| run.join().expect("no load panics")).collect()
    });
    let log = routers.into_iter().flat_map(Router::stop).collect();
    Played { scenario, outcomes, truth: fleet.stop(), log }
}

/// What ran, as the checkers read it. An RPC's number is its place among the ids.
fn history(scenario: &Scenario, truth: &Truth) -> Vec<Event> {
    let mut ids: Vec<&str> = truth.ran.iter().map(|ran| &*ran.id).collect();
    ids.sort_unstable();
    ids.dedup();
    let mut taken = std::collections::HashSet::new();
    let mut ran: Vec<_> = truth.ran.iter().collect();
    ran.sort_by_key(|ran| ran.at);
    let mut events = Vec::new();
    for ran in ran {
        let rpc = ids.binary_search(&&*ran.id).expect("collected from these") as u64;
        let member = ran.member;
        let bound = scenario.methods[ran.method as usize].max_age_ms;
        let bound = bound.map(|ms| Span::from_secs_f64(ms / 1e3));
        let due = ran.at + Span::from_millis(2000);
        let mut see = |what| events.push(Event { at: ran.at, what });
        see(What::Reached { member, position: ran.position });
        if taken.insert(rpc) {
            see(What::Taken { rpc, due, once: ran.writes, bound });
        }
        see(What::CalledOut { rpc, member });
        see(What::Ran { rpc, member });
        see(What::CallOutOver { rpc, member });
    }
    // Whether all were answered is the loads' own account.
    events
}

/// Rule 1 is judged by the loads' account; the others by the checkers.
fn broken(scenario: &Scenario, truth: &Truth) -> Vec<String> {
    let found = check(&history(scenario, truth), Grace::default());
    found.iter().filter(|violation| violation.rule != 1).map(ToString::to_string).collect()
}

fn counts(played: &Played, kind: Kind) -> Counts {
    let mut total = Counts::default();
    played.outcomes.iter().filter(|(of, ..)| *of == kind).for_each(|(.., o)| total.add(&o.total()));
    total
}

fn starved(one: &Counts, other: &Counts) -> bool {
    let (least, most) = (one.good.min(other.good) as f64, one.good.max(other.good) as f64);
    most == 0.0 || least / most < FAIR
}

/// Less than this part was served well of what the members had room for.
const HARMED: f64 = 0.9;

fn harmed(counts: &Counts) -> bool {
    (counts.good as f64) < HARMED * counts.due as f64
}

fn assert_kept(played: &Played) {
    assert_eq!(broken(&played.scenario, &played.truth), Vec::<String>::new());
    for (_, seed, outcome) in &played.outcomes {
        let total = outcome.total();
        assert_eq!(outcome.faults, Vec::<String>::new());
        assert_eq!((total.unanswered, total.late), (0, 0), "{total:?}");
        let ids: std::collections::HashSet<&str> = played.truth.writes().collect();
        let id = |number: &u64| format!("{seed:x}-{number:x}");
        assert!(outcome.ok_writes.iter().all(|write| ids.contains(&*id(write))), "ok, and never ran");
        assert!(!outcome.pushed_writes.iter().any(|write| ids.contains(&*id(write))), "pushed back, and ran");
    }
}

#[test]
fn both_shapes_before_the_same_members_keep_the_rules_and_serve_all() {
    let _alone = alone();
    let played = play([Kind::Old, Kind::New], 25.0);
    assert_kept(&played);
    for kind in [Kind::Old, Kind::New] {
        let total = counts(&played, kind);
        assert!(total.good * 10 >= total.due * 8, "{total:?}");
    }
    assert!(!played.log.iter().any(|line| line.contains("panicked")), "{:?}", played.log);
}

/// At twice what the members can do.
#[test]
fn in_overload_neither_shape_starves_the_other() {
    let _alone = alone();
    let played = play([Kind::Old, Kind::New], 150.0);
    assert_kept(&played);
    let (old, new) = (counts(&played, Kind::Old), counts(&played, Kind::New));

    assert!(!starved(&old, &new), "old {old:?}, new {new:?}");
}

/// The same clients, before routers of their own kind alone, and beside one that keeps no limit: the judge tells them
/// apart, so that it would tell a kind made greedy too.
#[test]
fn a_greedy_kind_is_found_to_starve_the_other() {
    let _alone = alone();
    for kind in [Kind::Old, Kind::New] {
        let other = if kind == Kind::Old { Kind::New } else { Kind::Old };
        let beside_the_other = counts(&play([kind, other], 60.0), kind);
        let beside_a_greedy = counts(&play([kind, Kind::Greedy], 60.0), kind);
        assert!(!harmed(&beside_the_other), "beside the other shape {beside_the_other:?}");
        assert!(harmed(&beside_a_greedy), "beside a greedy kind {beside_a_greedy:?}");
    }
}

/// The judge sees a second effect and a stale read in an otherwise good history.
#[test]
fn a_broken_rule_in_the_history_is_found() {
    let _alone = alone();
    let mut played = play([Kind::Old, Kind::New], 25.0);
    assert_eq!(broken(&played.scenario, &played.truth), Vec::<String>::new());
    let last = played.truth.ran.iter().map(|ran| ran.at).max().unwrap_or(Time::default());
    let write = played.truth.ran.iter().find(|ran| ran.writes).expect("writes ran").clone();
    played.truth.ran.push(ladderpass_fleet::truth::Ran { at: last, ..write });
    assert!(broken(&played.scenario, &played.truth).iter().any(|text| text.starts_with("rule 2")));
    played.truth.ran.pop();
    let read = played.truth.ran.iter().find(|ran| !ran.writes && ran.member > 0).expect("reads ran").clone();
    let (at, position) = (last + Span::from_millis(9000), last - Span::from_millis(9000));
    let stale = ladderpass_fleet::truth::Ran { at, position, id: "stale".into(), member: 77, ..read };
    played.truth.ran.push(stale);
    let found = broken(&played.scenario, &played.truth);
    assert!(found.iter().any(|text| text.starts_with("rule 5")), "{found:?}");
}

/// One of the two others is this test: it hears what the router was told, and strangers are not heard.
#[test]
fn a_router_of_the_new_shape_tells_the_others_what_members_told_it() {
    let _alone = alone();
    let scenario = Scenario::default();
    let fleet = Running::start(scenario.clone(), 3, Ipv4Addr::LOCALHOST).expect("fleet");
    let other = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).expect("loopback");
    other.set_read_timeout(Some(std::time::Duration::from_secs(10))).expect("a time-out");
    let (own, others) = (free(1)[0], other.local_addr().expect("bound"));
    let mut start = Start::new(Path::new(env!("CARGO_BIN_EXE_ladderpass")));
    start.operator = Some(format!("peers: {{me: 0, all: ['{own}', '{others}']}}\nmembers: {{zone: a}}"));
    let router =
        Router::start_before(&scenario, &fleet.addresses, fleet.discovery, &start, 3).expect("router");
    let plan = Plan { connections: 20, pipeline: 1, ..open(3, &[(1.0, 50.0)]) };
    load::run(&scenario, router.address, &plan, |_| {}).expect("load");
    let mut room = [0; 512];
    let (count, from) = loop {
        // It also asks whether a router of its own kind is there.
        let (count, from) = other.recv_from(&mut room).expect("it tells within seconds");
        if room[0] != ladderpass_membership::FIRST {
            break (count, from);
        }
    };
    assert_eq!(from, own);
    let text = std::str::from_utf8(&room[..count]).expect("letters");
    let now = ladderpass_fleet::loopback::now() - Time::default();
    let (_, words) = ladderpass_deployment::whisper::read(text, now).expect("a message");
    let words: Vec<_> = words.collect();
    assert!(!words.is_empty() && words.iter().all(|(.., at, _, _)| (now - *at).secs() < 20.0), "{words:?}");
    // Noise, from the other router and from a stranger, changes nothing.
    let stranger = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).expect("loopback");
    for socket in [&other, &stranger] {
        for noise in [&b""[..], b"\xff\xfe", b"AAAAAAAAAAAAAAAAAAAAAAA", &[b'B'; 512]] {
            socket.send_to(noise, own).expect("sent");
        }
    }
    let plan = Plan { seed: 4, ..plan };
    let after = load::run(&scenario, router.address, &plan, |_| {}).expect("load");
    assert_eq!(after.total().ok, after.total().due, "{:?}", after.total());
    router.stop();
    fleet.stop();
}
