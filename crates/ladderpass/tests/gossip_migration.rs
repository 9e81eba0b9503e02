//! The migration to gossip: routers without gossip and routers with it, in front of the same members.
//! `ladderpass-invariants` checks what ran, and neither kind of router may starve the other.

mod one_at_a_time;

use ladderpass_emulator::{RunningEmulator, Scenario};
use ladderpass_routing::Time;
use ladderpass_testbed::drill::Drill;
use ladderpass_testbed::drill::play::{DrillRecord, Programs, play};
use ladderpass_testbed::load::{self, Counts, Phase, Plan};
use ladderpass_testbed::router::{Router, Start};
use ladderpass_testbed::run::open_plan;
use one_at_a_time::wait_for_turn;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::path::Path;

/// A kind of router (with gossip or without) is starved if it has less than this share of the other kind's good
/// answers.
const MIN_SHARE_OF_OTHER: f64 = 0.5;

/// `count` loopback addresses that were free a moment ago.
fn free_addresses(count: usize) -> Vec<SocketAddr> {
    let sockets: Vec<UdpSocket> = (0..count)
        .map(|_| UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free loopback port"))
        .collect();
    sockets.iter().map(|socket| socket.local_addr().expect("the socket is bound")).collect()
}

/// A drill of four routers, whose clients send `rate` RPCs per second to each. The routers in `quiet` have no gossip.
/// Further clients send `greedy` RPCs per second directly to the members.
fn drill(quiet: &[&str], rate: f64, greedy: f64) -> Drill {
    let mut scenario = Scenario { cores: 2, ..Scenario::default() };
    scenario.methods.iter_mut().for_each(|method| method.work_ms = 20.0);
    Drill {
        phases: vec![Phase { seconds: 3.0, rate_per_second: rate * 4.0 }],
        // The router closes a connection that is idle for two seconds, and the load might choose that connection for an
        // RPC at that moment. So the clients open no more connections than are in use all the time.
        clients: if rate < 100.0 { (rate * 4.0 / 3.0) as usize } else { 1200 },
        connection_skew: 1.0,
        roaming: 0.0,
        deadline_ms: 2000,
        grace_ms: 500,
        operator: "members: {zone: a, sizes: true}".into(),
        quiet: quiet.iter().map(|name| (*name).to_owned()).collect(),
        direct_rpcs_per_second: greedy,
        scenario,
        ..Drill::default()
    }
}

fn play_drill(drill: &Drill) -> DrillRecord {
    let router = Path::new(env!("CARGO_BIN_EXE_ladderpass"));
    let programs = Programs { router, faulty: None, earlier: None };
    let played = play(drill, programs, 1).unwrap_or_else(|fault| panic!("{fault}"));
    assert_eq!(played.router_failures, Vec::<String>::new());
    assert_eq!(played.outcome.faults, Vec::<String>::new());
    played
}

fn assert_no_violations(played: &DrillRecord) {
    let violations: Vec<String> = played.violations.iter().map(ToString::to_string).collect();
    assert_eq!(violations, Vec::<String>::new());
}

const WITHOUT_GOSSIP: [&str; 2] = ["r0", "r1"];

/// The counts of the routers without gossip, and those of the routers with gossip.
fn counts_by_kind(drill: &Drill, played: &DrillRecord) -> [Counts; 2] {
    [played.counts_of(drill, &[0, 1]), played.counts_of(drill, &[2, 3])]
}

fn is_starved(one: &Counts, other: &Counts) -> bool {
    let (fewer, more) = (one.good.min(other.good) as f64, one.good.max(other.good) as f64);
    more == 0.0 || fewer / more < MIN_SHARE_OF_OTHER
}

/// A kind of router is harmed if less than this share of its RPCs is answered well although the members have the capacity
/// for all of them.
const MIN_GOOD_SHARE: f64 = 0.9;

fn is_harmed(counts: &Counts) -> bool {
    (counts.good as f64) < MIN_GOOD_SHARE * counts.due as f64
}

#[test]
fn routers_with_and_without_gossip_serve_the_same_members_and_break_no_invariant() {
    let _turn = wait_for_turn();
    let drill = drill(&WITHOUT_GOSSIP, 25.0, 0.0);
    let played = play_drill(&drill);
    assert_no_violations(&played);
    for total in counts_by_kind(&drill, &played) {
        assert!(total.good * 10 >= total.due * 8, "{total:?}");
    }
}

/// The load in this test is twice the capacity of the members.
#[test]
fn under_overload_neither_kind_of_router_starves_the_other() {
    let _turn = wait_for_turn();
    let drill = drill(&WITHOUT_GOSSIP, 150.0, 0.0);
    let played = play_drill(&drill);
    assert_no_violations(&played);
    let [without_gossip, with_gossip] = counts_by_kind(&drill, &played);
    assert!(
        !is_starved(&without_gossip, &with_gossip),
        "without gossip {without_gossip:?}, with gossip {with_gossip:?}"
    );
}

/// The same load is sent through routers of both kinds, with and without gossip, first alone, and then beside clients
/// that send to the members without any limit. `is_harmed` tells the two runs apart, so it would notice greedy routers
/// of one kind that harm those of the other kind.
#[test]
fn the_check_tells_greedy_clients_from_routers_of_the_other_kind() {
    let _turn = wait_for_turn();
    let normal_drill = drill(&WITHOUT_GOSSIP, 60.0, 0.0);
    let normal_counts = counts_by_kind(&normal_drill, &play_drill(&normal_drill));
    let greedy_drill = drill(&WITHOUT_GOSSIP, 60.0, 2400.0);
    let greedy_counts = counts_by_kind(&greedy_drill, &play_drill(&greedy_drill));
    for kind in [0, 1] {
        assert!(
            !is_harmed(&normal_counts[kind]),
            "a kind is harmed beside the other kind: {normal_counts:?}"
        );
        assert!(
            is_harmed(&greedy_counts[kind]),
            "a kind is not harmed beside greedy clients: {greedy_counts:?}"
        );
    }
}

/// The test plays the second of two routers with gossip. The test receives what the router has observed of members, and
/// then sends the router invalid messages, from the address of the second router and from an unknown one. The router
/// still serves all RPCs.
#[test]
fn a_router_with_gossip_publishes_what_it_observed_of_members_and_ignores_noise() {
    let _turn = wait_for_turn();
    let scenario = Scenario::default();
    let emulator =
        RunningEmulator::start(scenario.clone(), 3, Ipv4Addr::LOCALHOST).expect("the members start");
    let test_socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free loopback port");
    test_socket.set_read_timeout(Some(std::time::Duration::from_secs(10))).expect("the read timeout is set");
    let (router_peer, test_peer) =
        (free_addresses(1)[0], test_socket.local_addr().expect("the socket is bound"));
    let mut start = Start::new(Path::new(env!("CARGO_BIN_EXE_ladderpass")));
    start.operator =
        Some(format!("peers: {{me: 0, all: ['{router_peer}', '{test_peer}']}}\nmembers: {{zone: a}}"));
    let router = Router::start_with_upstreams(&scenario, &emulator.addresses, emulator.discovery, &start, 3)
        .expect("the router starts");
    let plan = Plan {
        connections: 20,
        pipeline: 1,
        ..open_plan(3, &[Phase { seconds: 1.0, rate_per_second: 50.0 }])
    };
    load::run(&scenario, router.address, &plan, |_| {}).expect("the load runs");
    let mut buffer = [0; 512];
    let (count, from) = loop {
        // Besides the gossip message that this test waits for, the router sends messages of the membership protocol,
        // which are skipped.
        let (count, from) = test_socket.recv_from(&mut buffer).expect("the router publishes within 10 s");
        if buffer[0] != ladderpass_membership::FIRST_BYTE {
            break (count, from);
        }
    };
    assert_eq!(from, router_peer);
    let text = std::str::from_utf8(&buffer[..count]).expect("the message is text");
    let now = ladderpass_emulator::loopback::now() - Time::default();
    let updates =
        ladderpass_config::gossip::GossipMessage::decode(text, now).expect("a valid gossip message").updates;
    assert!(
        !updates.is_empty() && updates.iter().all(|update| (now - update.at).secs() < 20.0),
        "{updates:?}"
    );
    // Invalid messages, from the address of the second router and from an unknown sender, change nothing.
    let stranger = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free loopback port");
    for socket in [&test_socket, &stranger] {
        for noise in [&b""[..], b"\xff\xfe", b"AAAAAAAAAAAAAAAAAAAAAAA", &[b'B'; 512]] {
            socket.send_to(noise, router_peer).expect("the datagram is sent");
        }
    }
    let plan = Plan { seed: 4, ..plan };
    let after = load::run(&scenario, router.address, &plan, |_| {}).expect("the load runs");
    assert_eq!(after.total().ok, after.total().due, "{:?}", after.total());
    router.stop();
    emulator.stop();
}
