//! Tests of restarted routers, replayed datagrams and late refutations.

use crate::simulation::{Process, STEP, Simulation, address, ms};
use ladderpass_membership::Settings;
use std::net::SocketAddr;

#[test]
fn a_router_restarted_with_its_clock_set_back_replaces_the_dead_one() {
    let mut sim = Simulation::converged(11, 6);
    let before = sim.routers[0].membership.peers(sim.now).find(|peer| peer.address == address(4));
    sim.routers[4].process = Process::Ended;
    sim.run(ms(5000));
    sim.start_clock_offset_ms = -60_000;
    sim.restart(4);
    sim.run_until_converged(ms(3000));
    let after = sim.routers[0].membership.peers(sim.now).find(|peer| peer.address == address(4));
    let (before, after) =
        (before.expect("router 4 was alive before"), after.expect("router 4 is alive after its restart"));
    assert!(
        after.started_ms > before.started_ms && after.alive_since > before.alive_since,
        "{before:?} {after:?}"
    );
}

#[test]
fn replayed_datagrams_and_datagrams_of_unknown_senders_do_not_change_the_view() {
    let mut sim = Simulation::new(13, Settings::default());
    (0..4).for_each(|_| sim.join());
    // The datagrams of router 3 are captured. After the death of router 3 they are replayed from that router's own
    // address, from an unknown address and from the address of another router.
    let captured = sim.run_and_capture(address(3), 400);
    sim.run_until_converged(ms(3000));
    sim.kill(&[3], ms(8000));
    let now = sim.now;
    let digest = sim.routers[0].membership.view().digest;
    for (to, bytes) in &captured {
        let index = sim.index_of[to];
        sim.routers[index].membership.on_datagram(now, address(3), bytes);
    }
    let unknown_sender: SocketAddr = "192.0.2.9:7400".parse().expect("valid address");
    let before = sim.routers[0].membership.counts().dropped;
    for (_, bytes) in &captured {
        sim.routers[0].membership.on_datagram(now, unknown_sender, bytes);
        sim.routers[0].membership.on_datagram(now, address(1), bytes);
    }
    assert_eq!(sim.routers[0].membership.counts().dropped - before, 2 * captured.len() as u64);
    assert!(sim.routers[0].membership.take_outgoing().iter().all(|(to, _)| *to != unknown_sender));
    sim.run(ms(1000));
    assert!(captured.len() > 20);
    assert_eq!(sim.routers[0].membership.view().digest, digest);
}

/// A router whose datagrams are late is suspected, refutes the suspicion and is confirmed dead. Its refutations arrive
/// only after the confirmed death.
#[test]
fn a_late_refutation_does_not_revive_a_dead_router() {
    let mut sim = Simulation::converged(16, 6);
    // All datagrams from router 4 are captured, and none of them arrives.
    sim.is_cut = Box::new(|from, _| from == 4);
    let mut captured: Vec<(SocketAddr, Vec<u8>)> = Vec::new();
    for _ in 0..200 {
        sim.run(STEP);
        captured.append(&mut sim.routers[4].lost);
    }
    sim.kill(&[4], ms(8000));
    let digest = sim.routers[0].membership.view().digest;
    for (to, bytes) in &captured {
        let index = sim.index_of[to];
        let now = sim.now;
        sim.routers[index].membership.on_datagram(now, address(4), bytes);
        sim.transmit(index);
    }
    assert!(captured.len() > 10);
    assert_eq!(sim.routers[0].membership.view().digest, digest);
    sim.run(ms(1000));
    assert!(sim.running().into_iter().all(|index| sim.routers[index].membership.view().digest == digest));
    // A router restarted at the same address joins as usual.
    sim.is_cut = Box::new(|_, _| false);
    sim.restart(4);
    sim.run_until_converged(ms(3000));
}
