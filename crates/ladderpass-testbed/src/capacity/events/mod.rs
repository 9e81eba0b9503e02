//! Simulated events at the scale of a deployment: how long it takes until all routers know of an event, and the peak of
//! their traffic.

mod observation;
mod outcome;

pub use outcome::{EventOutcome, Moment};

use super::control::{GROUPS, SETTLE_TIME, STATEMENT_RATE};
use super::simulated_routers::{REGION_OF_ZONE, Shape, Simulation, ZONES, member_id};
use ladderpass_routing::Span;
use observation::{Observation, STEP};
use std::io;

/// Maximum number of steps of [`SETTLE_STEP`] for which a simulation runs until its routers have found each other.
const MAX_SETTLE_STEPS: usize = 60;
const SETTLE_STEP: Span = Span::from_millis(500);
/// Number of routers that restart in a wave, if there are [`REFERENCE_ROUTERS`]. The number is scaled to the routers of
/// a simulation.
const RESTARTED_ROUTERS: usize = 180;
const REFERENCE_ROUTERS: usize = 460;
const RESTART_WAVE_S: f64 = 10.0;
const FAILING_ZONE: usize = 1;
const RACKS_PER_ZONE: usize = 10;
const CUT_REGION: usize = 2;
/// How long a region is cut off from the others, in seconds. The simulation uses a minute in place of an hour.
const CUT_S: f64 = 60.0;
/// Time from the end of a primary until a replica is promoted, in seconds.
const PROMOTION_S: f64 = 1.0;
/// How long discovery is down before a change of the endpoint list and after the change, in seconds.
const DOWN_BEFORE_CHANGE_S: f64 = 4.0;
const DOWN_AFTER_CHANGE_S: f64 = 5.0;
/// Time from the kill of a router until it starts again.
const RESTART_DELAY: Span = Span::from_millis(1000);
/// Longest times for which a simulation waits until the condition of an event holds, in seconds.
const MAX_LIST_CHANGE_S: f64 = 20.0;
const MAX_LIST_CHANGE_WITHOUT_DISCOVERY_S: f64 = 30.0;
const MAX_FAILOVER_S: f64 = 20.0;
const MAX_MEMBERSHIP_S: f64 = 60.0;
const MAX_HEALING_S: f64 = 120.0;

/// Returns whether each running router believes `count(router)` routers to be alive.
fn all_believe_alive(simulation: &Simulation, count: impl Fn(usize) -> usize) -> bool {
    (0..simulation.shape.routers)
        .filter_map(|router| Some((router, simulation.reducer(router)?.fleet_view()?.0)))
        .all(|(router, view)| view == count(router))
}

/// Returns whether all running routers know this member as the primary of its group.
fn all_know_primary(simulation: &Simulation, member: usize) -> bool {
    let id = member_id(member);
    let knows = |router| {
        simulation
            .reducer(router)
            .map(|reducer| reducer.known_position(&id).is_some_and(|known| known.is_primary))
    };
    (0..simulation.shape.routers).filter_map(knows).all(|knows| knows)
}

/// Returns whether all running routers have this generation of the endpoint list, or a later one.
fn all_have_generation(simulation: &Simulation, generation: u64) -> bool {
    let mut reducers = (0..simulation.shape.routers).filter_map(|router| simulation.reducer(router));
    reducers.all(|reducer| reducer.generation() >= generation)
}

/// Starts a simulation and runs it until its routers have found each other, for 36 s at most.
fn start_settled(routers: usize, groups: usize, seed: u64) -> io::Result<Simulation> {
    let rate = STATEMENT_RATE * groups as f64 / GROUPS as f64;
    let mut simulation = Simulation::start(Shape { rate, seed, ..Shape::of(routers, groups) })?;
    simulation.run(SETTLE_TIME)?;
    for _ in 0..MAX_SETTLE_STEPS {
        if all_believe_alive(&simulation, |_| routers) {
            break;
        }
        simulation.run(SETTLE_STEP)?;
    }
    Ok(simulation)
}

/// Names of the events that [`simulate_event`] simulates.
pub const NAMES: [&str; 7] = ["primary", "change", "change-late", "restarts", "rack", "zone", "region"];

/// Simulates an event by its name in [`NAMES`].
///
/// # Errors
/// If the simulation, or a router that restarts in it, can't be started.
pub fn simulate_event(
    name: &'static str,
    routers: usize,
    groups: usize,
    seed: u64,
) -> io::Result<EventOutcome> {
    let mut simulation = start_settled(routers, groups, seed)?;
    let mut observation = Observation::begin(&mut simulation)?;
    let moments = match name {
        "primary" => failover(&mut observation, groups)?,
        "change" => list_change(&mut observation)?,
        "change-late" => list_change_without_discovery(&mut observation)?,
        "restarts" => restart_wave(&mut observation)?,
        "rack" => {
            silent_failure(&mut observation, |index, zone_size| index < (zone_size / RACKS_PER_ZONE).max(1))?
        }
        "zone" => silent_failure(&mut observation, |_, _| true)?,
        _ => region_cut(&mut observation)?,
    };
    Ok(observation.finish(name, moments))
}

fn moment(label: &'static str, value: f64) -> Moment {
    Moment { label, value }
}

/// The primary of the first group ends, and its first replica is promoted after [`PROMOTION_S`].
fn failover(observation: &mut Observation<'_>, groups: usize) -> io::Result<Vec<Moment>> {
    let replica = groups;
    observation.simulation.members[0].primary = false;
    observation.simulation.end_member(0, false);
    observation.run_for(PROMOTION_S)?;
    observation.simulation.members[replica].primary = true;
    let known_at_s =
        observation.run_until(MAX_FAILOVER_S, |simulation| all_know_primary(simulation, replica))?;
    observation.run_for(2.0)?;
    Ok(vec![moment("the new one can be written to", PROMOTION_S), moment("all routers know it", known_at_s)])
}

/// The endpoint list changes while discovery is up.
fn list_change(observation: &mut Observation<'_>) -> io::Result<Vec<Moment>> {
    let generation = observation.simulation.change_endpoint(1, "DRAINING");
    let known_at_s =
        observation.run_until(MAX_LIST_CHANGE_S, |simulation| all_have_generation(simulation, generation))?;
    observation.run_for(1.0)?;
    Ok(vec![moment("in force at all", known_at_s)])
}

/// The endpoint list changes while discovery is down. Discovery is down from four seconds before the change until five
/// seconds after the change.
fn list_change_without_discovery(observation: &mut Observation<'_>) -> io::Result<Vec<Moment>> {
    observation.simulation.discovery_up = false;
    observation.run_for(DOWN_BEFORE_CHANGE_S)?;
    observation.started_at = observation.simulation.now;
    let generation = observation.simulation.change_endpoint(1, "DRAINING");
    observation.run_for(DOWN_AFTER_CHANGE_S)?;
    observation.simulation.discovery_up = true;
    let known_at_s = observation.run_until(MAX_LIST_CHANGE_WITHOUT_DISCOVERY_S, |simulation| {
        all_have_generation(simulation, generation)
    })?;
    Ok(vec![moment("discovery is back", DOWN_AFTER_CHANGE_S), moment("in force at all", known_at_s)])
}

/// Routers are killed one after the other, evenly over [`RESTART_WAVE_S`], and each starts again after [`RESTART_DELAY`].
fn restart_wave(observation: &mut Observation<'_>) -> io::Result<Vec<Moment>> {
    let routers = observation.simulation.shape.routers;
    let count = (routers * RESTARTED_ROUTERS / REFERENCE_ROUTERS).max(1);
    for index in 0..count {
        let router = index * routers / count;
        observation.simulation.kill(router);
        observation.simulation.schedule_start(router, RESTART_DELAY);
        let next_at_s = RESTART_WAVE_S * (index + 1) as f64 / count as f64;
        while observation.elapsed_s() + STEP.secs() <= next_at_s {
            observation.step()?;
        }
    }
    let last_kill_s = observation.elapsed_s();
    let known_at_s =
        observation.run_until(MAX_MEMBERSHIP_S, |simulation| all_believe_alive(simulation, |_| routers))?;
    Ok(vec![moment("the last is killed", last_kill_s), moment("all know of all", known_at_s)])
}

/// Machines of one zone fail without closing connections. `fails` selects the machines by their index among the zone's
/// routers or members, and by the number of the zone's routers or members.
fn silent_failure(
    observation: &mut Observation<'_>,
    fails: impl Fn(usize, usize) -> bool,
) -> io::Result<Vec<Moment>> {
    let (routers, members) = (observation.simulation.shape.routers, observation.simulation.shape.members);
    let (mut failed_routers, mut failed_members) = (0, 0);
    for router in (0..routers).filter(|router| router % ZONES == FAILING_ZONE) {
        if fails(failed_routers, routers / ZONES) {
            observation.simulation.kill(router);
            failed_routers += 1;
        }
    }
    for member in 0..members {
        let is_in_zone = observation.simulation.zone_of_member(member) == FAILING_ZONE;
        if is_in_zone && fails(failed_members, members / ZONES) {
            observation.simulation.end_member(member, true);
            failed_members += 1;
        }
    }
    let known_at_s = observation.run_until(MAX_MEMBERSHIP_S, |simulation| {
        all_believe_alive(simulation, |_| routers - failed_routers)
    })?;
    observation.run_for(5.0)?;
    Ok(vec![
        moment("routers gone", failed_routers as f64),
        moment("members gone", failed_members as f64),
        moment("all know which routers", known_at_s),
    ])
}

/// One region is cut off from the others, and is reachable again after about [`CUT_S`].
fn region_cut(observation: &mut Observation<'_>) -> io::Result<Vec<Moment>> {
    let routers = observation.simulation.shape.routers;
    let is_cut_off = |router: usize| REGION_OF_ZONE[router % ZONES] == CUT_REGION;
    let cut_off = (0..routers).filter(|&router| is_cut_off(router)).count();
    observation.simulation.cut_regions = vec![(0, CUT_REGION), (1, CUT_REGION)];
    let expected_alive = |router: usize| if is_cut_off(router) { cut_off } else { routers - cut_off };
    let known_at_s = observation
        .run_until(MAX_MEMBERSHIP_S, |simulation| all_believe_alive(simulation, expected_alive))?;
    observation.run_for(CUT_S - known_at_s.min(CUT_S - 1.0))?;
    observation.simulation.cut_regions.clear();
    let healed_at_s = observation.elapsed_s();
    let rejoined_at_s =
        observation.run_until(MAX_HEALING_S, |simulation| all_believe_alive(simulation, |_| routers))?;
    Ok(vec![
        moment("each side knows its own", known_at_s),
        moment("healed", healed_at_s),
        moment("all know of all", rejoined_at_s),
    ])
}
