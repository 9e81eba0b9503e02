//! Tests of load that exceeds what the router can serve: which RPCs are shed, which are served in time, and how the
//! router recovers.

use crate::simulation::{
    CLIENT_TIMEOUT_SECS, ClientCounts, READ, Rate, Request, SERVE_SECS, Simulation, WRITE, at, mixed_request,
};
use ladderpass_overload::{Level, OverloadEvent};

/// The rate of RPCs that clients send: half of the server's capacity in normal operation, and three times that rate
/// from second 5 to second 35.
fn surge(now_secs: f64) -> f64 {
    let calm = 0.5 / SERVE_SECS;
    if (5.0..35.0).contains(&now_secs) { calm * 3.0 } else { calm }
}

#[test]
fn writes_are_served_in_time_while_the_load_triples_for_thirty_seconds() {
    let mut sim = Simulation::new(true, 200, 1);
    sim.run(40.0, surge, mixed_request);
    let writes = sim.sum(WRITE, 5, 35);
    assert!(f64::from(writes.served_in_time) > 0.99 * f64::from(writes.sent), "writes: {writes:?}");
    assert!(sim.wait_p999_secs(5.0, 35.0) < 0.050, "{}", sim.wait_p999_secs(5.0, 35.0));
    assert_eq!(sim.served_late, 0, "every RPC that is served is answered within its client's timeout");
    let reads = sim.sum(READ, 37, 40);
    assert_eq!(reads.sent, reads.served_in_time, "all reads are served again two seconds after the surge");
    let reads = sim.sum(READ, 5, 35).served_in_time;
    assert!(f64::from(reads) > 0.5 * 30.0 / SERVE_SECS, "reads served with the remaining capacity: {reads}");
    // Without the governor, RPCs wait in the queue for longer than the timeout of every client.
    let mut sim = Simulation::new(false, 200, 1);
    sim.run(40.0, surge, mixed_request);
    let writes = sim.sum(WRITE, 5, 35);
    assert!(f64::from(writes.served_in_time) < 0.3 * f64::from(writes.sent) && sim.served_late > 100_000);
}

#[test]
fn rpcs_of_a_flooding_client_are_shed_and_those_of_the_other_clients_are_served() {
    let mut sim = Simulation::new(true, 201, 2);
    // 200 clients together send 0.4 of the capacity, and one client sends twice the capacity.
    sim.run(
        10.0,
        |_| 2.4 / SERVE_SECS,
        |rng, _| {
            let is_flooding = rng.next_f64() < 2.0 / 2.4;
            let client = if is_flooding { 200 } else { (rng.next_f64() * 200.0) as usize };
            Request {
                sent_secs: 0.0,
                method: READ,
                client,
                is_client_retry: false,
                timeout_secs: CLIENT_TIMEOUT_SECS,
            }
        },
    );
    let mut other_clients = ClientCounts::default();
    for client in &sim.by_client[..200] {
        other_clients.served += client.served;
        other_clients.rejected += client.rejected;
    }
    assert!(
        f64::from(other_clients.rejected) < 0.02 * f64::from(other_clients.served),
        "the other clients: {other_clients:?}"
    );
    assert!(sim.by_client[200].rejected > sim.by_client[200].served, "{:?}", sim.by_client[200]);
}

#[test]
fn client_retries_and_rpcs_with_short_timeouts_are_shed_first() {
    let mut sim = Simulation::new(true, 200, 3);
    sim.run(
        10.0,
        |_| 1.6 / SERVE_SECS,
        |rng, _| {
            let is_client_retry = rng.next_f64() < 0.5;
            Request { is_client_retry, ..mixed_request(rng, 0.0) }
        },
    );
    let sent = sim.sum(READ, 1, 10).sent + sim.sum(WRITE, 1, 10).sent;
    assert!(
        f64::from(sim.first_attempts_rejected) < 0.02 * f64::from(sent),
        "{} of {sent}",
        sim.first_attempts_rejected
    );
    // The RPCs of client 1 time out after 50 ms, before a read could be answered. Under pressure none of these RPCs is
    // served.
    let mut sim = Simulation::new(true, 200, 4);
    sim.run(
        10.0,
        |_| 1.6 / SERVE_SECS,
        |rng, _| {
            let has_short_timeout = rng.next_f64() < 0.5;
            let timeout_secs = if has_short_timeout { 0.05 } else { CLIENT_TIMEOUT_SECS };
            Request { client: usize::from(has_short_timeout), timeout_secs, ..mixed_request(rng, 0.0) }
        },
    );
    let (short_timeout, long_timeout) = (sim.by_client[1], sim.by_client[0]);
    assert!(
        short_timeout.rejected > 10 * long_timeout.rejected,
        "short timeout {short_timeout:?}, long timeout {long_timeout:?}"
    );
}

#[test]
fn writes_beyond_the_capacity_are_shed_and_the_rest_is_served_in_time() {
    let mut sim = Simulation::new(true, 200, 5);
    sim.run(10.0, |_| 3.0 / SERVE_SECS, |rng, _| Request { method: WRITE, ..mixed_request(rng, 0.0) });
    let writes = sim.sum(WRITE, 1, 10);
    // RPCs arrive at three times the capacity, and rejecting an RPC costs a tenth of serving one, so (1 - 3 / 10) / (1
    // - 1 / 10) of the server's time is left for serving.
    assert!(f64::from(writes.served_in_time) > 0.6 * 9.0 / SERVE_SECS, "{writes:?}");
    assert!(writes.rejected > writes.served_in_time && sim.served_late == 0);
    assert!(sim.wait_p999_secs(1.0, 10.0) < 0.06, "{}", sim.wait_p999_secs(1.0, 10.0));
}

#[test]
fn few_of_the_rpcs_that_arrive_during_a_stall_of_800_ms_are_shed() {
    let mut sim = Simulation::new(true, 200, 6);
    sim.run(2.0, |_| 0.5 / SERVE_SECS, mixed_request);
    // While the process does not run, RPCs queue up. The governor is notified when the process resumes.
    let resumed_secs = sim.now_secs + 0.8;
    let mut sent_secs = sim.now_secs;
    while sent_secs < resumed_secs {
        let request = Request { sent_secs, ..mixed_request(&mut sim.rng, 0.0) };
        sim.enqueue(request);
        sent_secs += SERVE_SECS * 2.0;
    }
    sim.now_secs = resumed_secs;
    sim.governor.as_mut().expect("the simulation has a governor").record_stall(at(resumed_secs));
    sim.run(5.0, |_| 0.5 / SERVE_SECS, mixed_request);
    assert_eq!(sim.served_late, 0, "every RPC that is served is answered within its client's timeout");
    let writes = sim.sum(WRITE, 2, 4);
    assert!(f64::from(writes.served_in_time) > 0.97 * f64::from(writes.sent), "writes: {writes:?}");
    let reads = sim.sum(READ, 5, 7);
    assert_eq!(reads.sent, reads.served_in_time, "all reads are served again two seconds after the stall");
}

#[test]
fn the_level_changes_rarely_under_a_steady_overload() {
    let rates: [(u64, Rate); 4] = [
        (8, |_| 1.1 / SERVE_SECS),
        (9, |_| 1.5 / SERVE_SECS),
        (10, |_| 2.0 / SERVE_SECS),
        (11, |_| 3.0 / SERVE_SECS),
    ];
    for (seed, rate) in rates {
        let mut sim = Simulation::new(true, 200, seed);
        sim.run(20.0, rate, mixed_request);
        let load = rate(0.0) * SERVE_SECS;
        assert!(sim.events.len() <= 20, "load {load}: {} level changes in 20 s", sim.events.len());
        let Some(OverloadEvent::LevelChanged { after, .. }) = sim.events.first() else {
            panic!("load {load}: the level never changed")
        };
        assert_ne!(*after, Level::Calm);
    }
}

#[test]
fn retry_after_grows_with_the_load_and_is_spread_out() {
    let mean_retry_after_secs = |rate: Rate| {
        let mut sim = Simulation::new(true, 200, 12);
        sim.run(6.0, rate, mixed_request);
        let all = &sim.retry_after_secs[sim.retry_after_secs.len() / 2..];
        let min = all.iter().copied().fold(f64::MAX, f64::min);
        let max = all.iter().copied().fold(0.0f64, f64::max);
        assert!(
            all.iter().all(|&secs| secs > 0.0 && secs <= 0.5),
            "a retry-after is not within the deployment's limit"
        );
        assert!(max > 1.5 * min, "retry-after from {min} to {max} s");
        all.iter().sum::<f64>() / all.len() as f64
    };
    let light = mean_retry_after_secs(|_| 1.2 / SERVE_SECS);
    let heavy = mean_retry_after_secs(|_| 4.0 / SERVE_SECS);
    assert!(heavy > 1.2 * light, "mean retry-after: {light} s under light load, {heavy} s under heavy load");
}
