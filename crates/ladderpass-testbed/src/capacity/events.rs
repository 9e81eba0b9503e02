//! Events at the scale of a deployment, in a simulation: how long until all routers know, and the peak of what they send.

use super::control::{GROUPS, RATE, SETTLES};
use super::simulated_routers::{Counts, REGION_OF_ZONE, Shape, Simulation, ZONES, member_id};
use ladderpass_routing::{Span, Time};
use std::io;

/// What an event came to.
#[derive(Clone, Debug)]
pub struct Told {
    /// Name of the event.
    pub name: &'static str,
    /// Moments in seconds since its begin, and counts, by what they are.
    pub moments: Vec<(&'static str, f64)>,
    /// Datagrams and bytes a second of a router, on average, before the event.
    pub before: (f64, f64),
    /// The same in the half second in which they were the most.
    pub most: (f64, f64),
    /// Fraction of the statements that were refused since its begin.
    pub refused: f64,
    /// Bytes that discovery sent since its begin.
    pub discovery: u64,
}

/// Over which the peak is measured.
const SLICE: Span = Span::from_millis(500);
/// How often conditions are checked.
const STEP: Span = Span::from_millis(50);
/// Over which the state before an event is measured: several rounds of gossip.
const BASELINE: Span = Span::from_millis(2400);
/// How often a simulation that has not settled yet is run on, and for how long.
const SETTLE_STEPS: usize = 60;
const SETTLE_STEP: Span = Span::from_millis(500);
/// Routers that restart in a wave, of `REFERENCE_ROUTERS`.
const RESTARTED_ROUTERS: usize = 180;
const REFERENCE_ROUTERS: usize = 460;
const RESTART_WAVE_S: f64 = 10.0;
const FAILING_ZONE: usize = 1;
const RACKS_PER_ZONE: usize = 10;
const CUT_REGION: usize = 2;
/// How long the region is cut off; it stands for an hour.
const CUT_S: f64 = 60.0;

/// Sums over all routers.
#[derive(Clone, Copy)]
struct Sent {
    datagrams: u64,
    bytes: u64,
}

#[derive(Clone, Copy)]
struct Statements {
    sent: u64,
    refused: u64,
}

fn sent(simulation: &Simulation) -> Sent {
    let of = |counts: &Counts| Sent {
        datagrams: counts.gossip.datagrams + counts.membership.datagrams,
        bytes: counts.gossip.bytes + counts.membership.bytes,
    };
    simulation.counts.iter().map(of).fold(Sent { datagrams: 0, bytes: 0 }, |sum, one| Sent {
        datagrams: sum.datagrams + one.datagrams,
        bytes: sum.bytes + one.bytes,
    })
}

impl Sent {
    /// Datagrams and bytes since an earlier time, each times `factor`.
    fn rate_since(&self, earlier: Sent, factor: f64) -> (f64, f64) {
        let datagrams = (self.datagrams - earlier.datagrams) as f64 * factor;
        (datagrams, (self.bytes - earlier.bytes) as f64 * factor)
    }
}

fn statements(simulation: &Simulation) -> Statements {
    let refused = simulation.counts.iter().map(|counts| counts.errors + counts.unsent).sum();
    Statements { sent: simulation.counts.iter().map(|counts| counts.statements).sum(), refused }
}

/// Runs a simulation during an event, and measures it.
struct Observation<'a> {
    simulation: &'a mut Simulation,
    /// The event's begin.
    from: Time,
    before: (f64, f64),
    most: (f64, f64),
    slice_began: Time,
    sent_before_slice: Sent,
    statements_before: Statements,
}

impl Observation<'_> {
    fn begin(simulation: &mut Simulation) -> io::Result<Observation<'_>> {
        let sent_before = sent(simulation);
        simulation.run(BASELINE)?;
        let sent_now = sent(simulation);
        let factor = 1.0 / BASELINE.secs() / simulation.shape.routers as f64;
        let before = sent_now.rate_since(sent_before, factor);
        simulation.discovery = Default::default();
        let (from, statements_before) = (simulation.now, statements(simulation));
        Ok(Observation {
            before,
            most: before,
            sent_before_slice: sent_now,
            slice_began: from,
            from,
            statements_before,
            simulation,
        })
    }

    fn step(&mut self) -> io::Result<()> {
        self.simulation.run(STEP)?;
        if self.simulation.now - self.slice_began >= SLICE {
            let sent_now = sent(self.simulation);
            let factor =
                1.0 / (self.simulation.now - self.slice_began).secs() / self.simulation.shape.routers as f64;
            let rate = sent_now.rate_since(self.sent_before_slice, factor);
            self.most = (self.most.0.max(rate.0), self.most.1.max(rate.1));
            (self.sent_before_slice, self.slice_began) = (sent_now, self.simulation.now);
        }
        Ok(())
    }

    /// Seconds since the event's begin.
    fn elapsed_s(&self) -> f64 {
        (self.simulation.now - self.from).secs()
    }

    /// Runs until a condition holds. Returns the seconds since the event's begin, or infinity after `max_s`.
    fn run_until(&mut self, max_s: f64, holds: impl Fn(&Simulation) -> bool) -> io::Result<f64> {
        let end = self.simulation.now + Span::from_secs_f64(max_s);
        while !holds(self.simulation) {
            if self.simulation.now >= end {
                return Ok(f64::INFINITY);
            }
            self.step()?;
        }
        Ok(self.elapsed_s())
    }

    fn run_for(&mut self, secs: f64) -> io::Result<()> {
        let end = self.simulation.now + Span::from_secs_f64(secs);
        while self.simulation.now < end {
            self.step()?;
        }
        Ok(())
    }

    fn finish(self, name: &'static str, moments: Vec<(&'static str, f64)>) -> Told {
        let now = statements(self.simulation);
        let sent = (now.sent - self.statements_before.sent).max(1);
        let refused = (now.refused - self.statements_before.refused) as f64 / sent as f64;
        let discovery = self.simulation.discovery.bytes;
        Told { name, moments, before: self.before, most: self.most, refused, discovery }
    }
}

/// Does each running router believe as many routers to be alive as `count` says?
fn agree(simulation: &Simulation, count: impl Fn(usize) -> usize) -> bool {
    (0..simulation.shape.routers)
        .filter_map(|router| Some((router, simulation.reducer(router)?.fleet_view()?.0)))
        .all(|(router, view)| view == count(router))
}

/// Do all running routers know this member as its group's primary?
fn know_primary(simulation: &Simulation, member: usize) -> bool {
    let id = member_id(member);
    let knows = |router| {
        simulation.reducer(router).map(|reducer| reducer.known_position(&id).is_some_and(|known| known.1))
    };
    (0..simulation.shape.routers).filter_map(knows).all(|knows| knows)
}

/// Do all running routers have this generation of the endpoint list, or a later one?
fn have_generation(simulation: &Simulation, generation: u64) -> bool {
    let mut reducers = (0..simulation.shape.routers).filter_map(|router| simulation.reducer(router));
    reducers.all(|reducer| reducer.generation() >= generation)
}

/// A simulation whose routers have found each other.
fn settled(routers: usize, groups: usize, seed: u64) -> io::Result<Simulation> {
    let rate = RATE * groups as f64 / GROUPS as f64;
    let mut simulation = Simulation::start(Shape { rate, seed, ..Shape::of(routers, groups) })?;
    simulation.run(SETTLES)?;
    for _ in 0..SETTLE_STEPS {
        if agree(&simulation, |_| routers) {
            break;
        }
        simulation.run(SETTLE_STEP)?;
    }
    Ok(simulation)
}

/// Names of the events.
pub const NAMES: [&str; 7] = ["primary", "change", "change-late", "restarts", "rack", "zone", "region"];

/// Plays an event of [`NAMES`].
///
/// # Errors
/// If the simulation can't be started.
pub fn play(name: &'static str, routers: usize, groups: usize, seed: u64) -> io::Result<Told> {
    let mut simulation = settled(routers, groups, seed)?;
    let mut observation = Observation::begin(&mut simulation)?;
    let moments = match name {
        "primary" => failover(&mut observation, groups)?,
        "change" => list_change(&mut observation)?,
        "change-late" => list_change_without_discovery(&mut observation)?,
        "restarts" => restart_wave(&mut observation)?,
        "rack" => {
            silent_failure(&mut observation, |index, of_zone| index < (of_zone / RACKS_PER_ZONE).max(1))?
        }
        "zone" => silent_failure(&mut observation, |_, _| true)?,
        _ => region_cut(&mut observation)?,
    };
    Ok(observation.finish(name, moments))
}

type Moments = Vec<(&'static str, f64)>;

/// The primary of the first group ends; its first replica takes over a second later.
fn failover(observation: &mut Observation<'_>, groups: usize) -> io::Result<Moments> {
    let replica = groups;
    observation.simulation.members[0].primary = false;
    observation.simulation.end_member(0, false);
    observation.run_for(1.0)?;
    observation.simulation.members[replica].primary = true;
    let known = observation.run_until(20.0, |simulation| know_primary(simulation, replica))?;
    observation.run_for(2.0)?;
    Ok(vec![("the new one can be written to", 1.0), ("all routers know it", known)])
}

/// The endpoint list changes.
fn list_change(observation: &mut Observation<'_>) -> io::Result<Moments> {
    let generation = observation.simulation.change_endpoint(1, "DRAINING");
    let known = observation.run_until(20.0, |simulation| have_generation(simulation, generation))?;
    observation.run_for(1.0)?;
    Ok(vec![("in force at all", known)])
}

/// Discovery can't be reached from four seconds before the change until five seconds after it.
fn list_change_without_discovery(observation: &mut Observation<'_>) -> io::Result<Moments> {
    observation.simulation.discovery_up = false;
    observation.run_for(4.0)?;
    observation.from = observation.simulation.now;
    let generation = observation.simulation.change_endpoint(1, "DRAINING");
    observation.run_for(5.0)?;
    observation.simulation.discovery_up = true;
    let known = observation.run_until(30.0, |simulation| have_generation(simulation, generation))?;
    Ok(vec![("discovery is back", 5.0), ("in force at all", known)])
}

/// Routers are killed one after the other, and each starts again a second later.
fn restart_wave(observation: &mut Observation<'_>) -> io::Result<Moments> {
    let routers = observation.simulation.shape.routers;
    let count = (routers * RESTARTED_ROUTERS / REFERENCE_ROUTERS).max(1);
    for index in 0..count {
        let router = index * routers / count;
        observation.simulation.kill(router);
        observation.simulation.schedule_start(router, Span::from_millis(1000));
        let next_at_s = RESTART_WAVE_S * (index + 1) as f64 / count as f64;
        while observation.elapsed_s() + STEP.secs() <= next_at_s {
            observation.step()?;
        }
    }
    let last = observation.elapsed_s();
    let known = observation.run_until(60.0, |simulation| agree(simulation, |_| routers))?;
    Ok(vec![("the last is killed", last), ("all know of all", known)])
}

/// Machines of one zone fail without closing connections: those that `fails` names by their index among the zone's
/// routers or members, and the number of these.
fn silent_failure(
    observation: &mut Observation<'_>,
    fails: impl Fn(usize, usize) -> bool,
) -> io::Result<Moments> {
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
    let known = observation.run_until(60.0, |simulation| agree(simulation, |_| routers - failed_routers))?;
    observation.run_for(5.0)?;
    Ok(vec![
        ("routers gone", failed_routers as f64),
        ("members gone", failed_members as f64),
        ("all know which routers", known),
    ])
}

/// One region is cut off from the others, and reachable again after [`CUT_S`].
fn region_cut(observation: &mut Observation<'_>) -> io::Result<Moments> {
    let routers = observation.simulation.shape.routers;
    let is_cut_off = |router: usize| REGION_OF_ZONE[router % ZONES] == CUT_REGION;
    let cut_off = (0..routers).filter(|&router| is_cut_off(router)).count();
    observation.simulation.cut_regions = vec![(0, CUT_REGION), (1, CUT_REGION)];
    let on_own_side = |router: usize| if is_cut_off(router) { cut_off } else { routers - cut_off };
    let known = observation.run_until(60.0, |simulation| agree(simulation, on_own_side))?;
    observation.run_for(CUT_S - known.min(CUT_S - 1.0))?;
    observation.simulation.cut_regions.clear();
    let healed = observation.elapsed_s();
    let back = observation.run_until(120.0, |simulation| agree(simulation, |_| routers))?;
    Ok(vec![("each side knows its own", known), ("healed", healed), ("all know of all", back)])
}
