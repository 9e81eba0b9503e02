//! The move: routers of the old shape, which tell each other nothing, and of the new one, before the same members. The
//! rules are judged by `ladderpass-invariants` over what ran, and neither kind may starve the other.

use ladderpass_emulator::{Running, Scenario};
use ladderpass_routing::Time;
use ladderpass_testbed::drill::Drill;
use ladderpass_testbed::drill::play::{DrillRecord, Programs, play};
use ladderpass_testbed::load::{self, Counts, Plan};
use ladderpass_testbed::router::{Router, Start};
use ladderpass_testbed::run::open;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::path::Path;
use std::sync::{Mutex, MutexGuard};

static ALONE: Mutex<()> = Mutex::new(());

fn alone() -> MutexGuard<'static, ()> {
    ALONE.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// A part of the good answers below which a kind is starved by the other.
const FAIR: f64 = 0.5;

/// Addresses that nobody had a moment ago.
fn free(count: usize) -> Vec<SocketAddr> {
    let sockets: Vec<UdpSocket> =
        (0..count).map(|_| UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).expect("loopback")).collect();
    sockets.iter().map(|socket| socket.local_addr().expect("bound")).collect()
}

/// Four routers, `quiet` of them of the old shape, with so many RPCs a second each; and clients that go straight to the
/// members, if any.
fn drill(quiet: &[&str], rate: f64, greedy: f64) -> Drill {
    let mut scenario = Scenario { cores: 2, ..Scenario::default() };
    scenario.methods.iter_mut().for_each(|method| method.work_ms = 20.0);
    Drill {
        phases: vec![(3.0, rate * 4.0)],
        // No more connections than are kept in use: one that rests for two seconds is closed by the router, and may be
        // chosen for an RPC at that moment.
        clients: if rate < 100.0 { (rate * 4.0 / 3.0) as usize } else { 1200 },
        uneven: 1.0,
        roaming: 0.0,
        deadline_ms: 2000,
        grace_ms: 500,
        operator: "members: {zone: a, sizes: true}".into(),
        quiet: quiet.iter().map(|name| (*name).to_owned()).collect(),
        greedy,
        scenario,
        ..Drill::default()
    }
}

fn played(drill: &Drill) -> DrillRecord {
    let router = Path::new(env!("CARGO_BIN_EXE_ladderpass"));
    let programs = Programs { router, faulty: None, earlier: None };
    let played = play(drill, programs, 1).unwrap_or_else(|fault| panic!("{fault}"));
    assert_eq!(played.fallen, Vec::<String>::new());
    assert_eq!(played.outcome.faults, Vec::<String>::new());
    played
}

fn assert_kept(played: &DrillRecord) {
    let told: Vec<String> = played.violations.iter().map(ToString::to_string).collect();
    assert_eq!(told, Vec::<String>::new());
}

const OLD: [&str; 2] = ["r0", "r1"];

fn both(drill: &Drill, played: &DrillRecord) -> [Counts; 2] {
    [played.of(drill, &[0, 1]), played.of(drill, &[2, 3])]
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

#[test]
fn both_shapes_before_the_same_members_keep_the_rules_and_serve_all() {
    let _alone = alone();
    let drill = drill(&OLD, 25.0, 0.0);
    let played = played(&drill);
    assert_kept(&played);
    for total in both(&drill, &played) {
        assert!(total.good * 10 >= total.due * 8, "{total:?}");
    }
}

/// At twice what the members can do.
#[test]
fn in_overload_neither_shape_starves_the_other() {
    let _alone = alone();
    let drill = drill(&OLD, 150.0, 0.0);
    let played = played(&drill);
    assert_kept(&played);
    let [old, new] = both(&drill, &played);
    assert!(!starved(&old, &new), "old {old:?}, new {new:?}");
}

/// The same clients, before routers of both kinds, and beside clients that keep no limit: the judge tells them apart, so
/// that it would tell a kind made greedy too.
#[test]
fn a_greedy_kind_is_found_to_starve_the_others() {
    let _alone = alone();
    let calm = drill(&OLD, 60.0, 0.0);
    let beside_the_other = both(&calm, &played(&calm));
    let rude = drill(&OLD, 60.0, 2400.0);
    let beside_a_greedy = both(&rude, &played(&rude));
    for kind in [0, 1] {
        assert!(!harmed(&beside_the_other[kind]), "beside the other shape {beside_the_other:?}");
        assert!(harmed(&beside_a_greedy[kind]), "beside a greedy kind {beside_a_greedy:?}");
    }
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
        if room[0] != ladderpass_membership::FIRST_BYTE {
            break (count, from);
        }
    };
    assert_eq!(from, own);
    let text = std::str::from_utf8(&room[..count]).expect("letters");
    let now = ladderpass_emulator::loopback::now() - Time::default();
    let (_, updates) = ladderpass_config::gossip::read(text, now).expect("a message");
    let updates: Vec<_> = updates.collect();
    assert!(
        !updates.is_empty() && updates.iter().all(|update| (now - update.at).secs() < 20.0),
        "{updates:?}"
    );
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
