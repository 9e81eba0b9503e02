//! Runs a drill: starts the emulator, the fault tools and the routers, runs the load and the fault events, and checks
//! the history.
//!
//! The emulator, the fault tools and all processes end with the drill, also if it fails. The routers' logs are used
//! only for their views of each other and for panics. All other results come from what clients, members and fault
//! tools observed.

mod events;
mod interrupt;
mod record;
mod start;
mod testbed;
mod view;

pub use interrupt::interrupted;
pub use record::{DrillRecord, RouterTraffic};
pub use start::Programs;
pub use view::{RouterChange, RouterView, parse_view};

use super::Drill;
use crate::load::{self, LoadBalancer, Outcome, Phase, Plan};
use crate::run::open_plan;
use ladderpass_routing::Span;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use testbed::DrillTestbed;

/// Wait after the load, in which the routers log their last views.
const LOG_FLUSH_WAIT: Duration = Duration::from_millis(50);

/// Runs a drill and returns its record.
///
/// # Errors
/// If the drill is not valid, a program is missing, a process can't be started, or ctrl-C interrupts the drill.
pub fn play(drill: &Drill, programs: Programs<'_>, seed: u64) -> io::Result<DrillRecord> {
    play_with(drill, programs, seed, |_| {})
}

/// Runs a drill and returns its record. `on_progress` is called with the seconds since the start of the load.
///
/// # Errors
/// In the cases of [`play`].
pub fn play_with(
    drill: &Drill,
    programs: Programs<'_>,
    seed: u64,
    on_progress: impl FnMut(f64) + Send,
) -> io::Result<DrillRecord> {
    drill.check().map_err(io::Error::other)?;
    let mut testbed = DrillTestbed::start(drill, programs, seed)?;
    let settled = testbed.wait_until_settled()?;
    std::thread::sleep(Duration::from_secs_f64(drill.idle_s));
    let sent_before = testbed.datagrams_sent();
    testbed.record_cpu_before_load();
    let outcomes = run_loads_and_events(&mut testbed, on_progress)?;
    std::thread::sleep(LOG_FLUSH_WAIT);
    let sent = sent_before.into_iter().zip(testbed.datagrams_sent());
    let sent = sent.map(|(before, after)| RouterTraffic { before, after }).collect();
    let record = testbed.finish(outcomes.through_routers, settled, sent);
    Ok(DrillRecord { direct_outcome: outcomes.direct, ..record })
}

/// Outcomes of the loads of a drill.
struct LoadOutcomes {
    through_routers: Outcome,
    /// Outcome of the load of clients that connect directly to the members, if the drill has any.
    direct: Option<Outcome>,
}

/// Runs the load through the routers, the direct load if there is one, and the fault events at the same time.
fn run_loads_and_events(
    testbed: &mut DrillTestbed<'_>,
    on_progress: impl FnMut(f64) + Send,
) -> io::Result<LoadOutcomes> {
    let (drill, seed) = (testbed.drill, testbed.seed);
    let scenario = &drill.scenario;
    let stop = Arc::new(AtomicBool::new(false));
    let plan = &load_plan(drill, seed, &stop);
    let balancer = &LoadBalancer {
        routers: testbed.client_links.addresses.clone(),
        weights: drill.weights(),
        roaming: drill.roaming,
        mean_stay: Span::from_secs_f64(drill.mean_stay_s),
        down_detection: Span::from_millis(drill.down_detection_ms as i64),
        down: testbed.down.clone(),
    };
    let direct_plan = &direct_load_plan(drill, seed, &stop);
    let members = &testbed.emulator.addresses;
    let direct_balancer = &LoadBalancer { routers: members.clone(), ..LoadBalancer::single(members[0]) };
    let (outcome, direct, events) = std::thread::scope(|scope| {
        let direct = (drill.direct_rpcs_per_second > 0.0).then(|| {
            scope.spawn(move || load::run_with_balancer(scenario, direct_balancer, direct_plan, |_| {}))
        });
        let load = scope.spawn(move || load::run_with_balancer(scenario, balancer, plan, on_progress));
        let events = testbed.run_events(&load, &stop);
        stop.fetch_or(events.is_err(), Ordering::Relaxed);
        let outcome =
            load.join().unwrap_or_else(|_| Err(io::Error::other("the thread of the load panicked")));
        let direct = direct.and_then(|direct| direct.join().ok());
        (outcome, direct, events)
    });
    events?;
    Ok(LoadOutcomes { through_routers: outcome?, direct: direct.transpose()? })
}

/// Returns the load through the routers.
fn load_plan(drill: &Drill, seed: u64, stop: &Arc<AtomicBool>) -> Plan {
    Plan {
        connections: drill.clients,
        pipeline: 1,
        deadline: Span::from_millis(i64::from(drill.deadline_ms)),
        max_retries: drill.max_retries,
        journal: true,
        stop: Some(stop.clone()),
        ..open_plan(seed, &drill.phases)
    }
}

/// Returns the load of clients that connect directly to the members.
fn direct_load_plan(drill: &Drill, seed: u64, stop: &Arc<AtomicBool>) -> Plan {
    Plan {
        connections: drill.clients * 2,
        pipeline: 1,
        deadline: Span::from_millis(i64::from(drill.deadline_ms)),
        stop: Some(stop.clone()),
        ..open_plan(!seed, &[Phase { seconds: drill.secs(), rate_per_second: drill.direct_rpcs_per_second }])
    }
}
