//! A discovery service that can be reached but is crowded: it works through polls in turn, and turns a poll away that has
//! waited for too long.

use crate::common::SIMULATION_START;
use crate::scenario::{Ending, Mode, NEW_PORT, OLD_PORT};
use crate::simulation::{Simulation, TurnedAway, ms};
use ladderpass::reducer::ConnectionId;
use ladderpass_routing::{Span, Time};
use std::collections::VecDeque;

/// Discovery turns a poll away that has waited for this long.
const MAX_WAIT_MS: i64 = 1000;
/// How often the simulated discovery looks at its queue.
const STEP_MS: i64 = 5;
/// The number of routers that poll one discovery service.
const FLEET: usize = 300;
/// The number of polls that the discovery service of a fleet can answer per second.
const ANSWERS_PER_S: i64 = 80;
/// A router polls once to begin with, and once more for each time that it is turned away: the last of the fleet is
/// answered some 4 s after the first poll, and each poll waits for up to 1 s.
const MAX_POLLS_PER_ROUTER: f64 = 4.0;

/// How a router loses its watch.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Loss {
    /// The watch stays open, but discovery sends nothing on it any more.
    Silence,
    /// Discovery closes the watch.
    Close,
    /// SIGHUP moves discovery to a new address.
    Move,
}

impl Loss {
    /// The longest allowed time, in milliseconds, until the router has read a change that was made right after the loss:
    /// the change counts as told 6 s after the silence or the close, or 4 s after SIGHUP. Of the 0.5 s of a drain's
    /// grace, 0.1 s are left to the router's CPU.
    fn max_delay_ms(self) -> i64 {
        let told_after_ms = if self == Loss::Move { 4000 } else { 6000 };
        told_after_ms + 400
    }
}

/// A router whose watch is lost at the time that is returned, when discovery has a change.
fn router_without_watch(loss: Loss, mode: Mode, seed: u64) -> (Simulation, Time) {
    let lost_at = SIMULATION_START + ms(5000);
    let port = if loss == Loss::Move { NEW_PORT } else { OLD_PORT };
    let mut router = Simulation::new(mode, seed, Ending::Refused, (port, lost_at, lost_at));
    router.run_until(lost_at);
    router.holds_polls = true;
    match loss {
        Loss::Silence => router.take_discovery_down(true),
        Loss::Close => router.take_discovery_down(false),
        Loss::Move => router.reload_with_new_address(mode, seed),
    }
    (router, lost_at)
}

/// Turns away the first `turned_away` polls, each after `wait`, answers the next at once, and returns after how many
/// milliseconds the router has read the change.
fn delay_ms(loss: Loss, mode: Mode, seed: u64, how: TurnedAway, turned_away: usize, wait: Span) -> i64 {
    let (mut router, lost_at) = router_without_watch(loss, mode, seed);
    let mut answered = 0;
    while router.read_at.is_none() && router.now < lost_at + ms(30_000) {
        router.run_until(router.now + ms(STEP_MS));
        let Some(&poll) = router.held_polls.get(answered) else { continue };
        answered += 1;
        if answered > turned_away {
            router.answer_poll(poll);
        } else {
            router.run_until(router.now + wait);
            router.turn_away(poll, how);
        }
    }
    router.read_at.map_or(99_999, |at| (at - lost_at).nanos() / 1_000_000)
}

/// Guards against reads at draining members while discovery is crowded: polls that were turned away after a wait were
/// each followed by a backoff, although the router had to know by then what it had missed.
#[test]
fn a_change_is_read_in_time_although_a_crowded_discovery_turns_polls_away() {
    let mut late = Vec::new();
    for loss in [Loss::Silence, Loss::Close, Loss::Move] {
        for how in [TurnedAway::ErrorStatus, TurnedAway::Reset] {
            for mode in [Mode::Polled(10_000), Mode::Polled(60_000), Mode::Pushed(60_000)] {
                for (turned_away, wait_ms) in
                    [(1, 1900), (1, 1400), (2, MAX_WAIT_MS), (3, MAX_WAIT_MS), (3, 600), (3, 0)]
                {
                    // Discovery may be down if it closes a watch and ends polls at once. It may then be polled after
                    // longer pauses.
                    if loss == Loss::Close && wait_ms == 0 {
                        continue;
                    }
                    let delays = (1..=20)
                        .map(|seed| (delay_ms(loss, mode, seed, how, turned_away, ms(wait_ms)), seed));
                    let (worst, seed) = delays.max().expect("there is at least one seed");
                    if worst > loss.max_delay_ms() {
                        late.push(format!(
                            "{loss:?}, {mode:?}, {turned_away} polls end with {how:?} after {wait_ms} ms: {worst} ms with seed {seed}"
                        ));
                    }
                }
            }
        }
    }
    assert!(late.is_empty(), "{} cases are late:\n{}", late.len(), late.join("\n"));
}

/// What becomes of a fleet whose routers all lose their watches at once.
#[derive(Debug)]
struct FleetOutcome {
    /// The longest time until a router has read the change, in milliseconds.
    worst_delay_ms: i64,
    polls_per_router: f64,
    /// The largest number of polls within 100 ms.
    most_polls_at_once: usize,
}

/// All routers of a fleet lose their watches at once, and discovery answers `answers_per_s` polls a second, in turn.
fn play_fleet(loss: Loss, routers: usize, answers_per_s: i64) -> FleetOutcome {
    let with_seed = |seed| router_without_watch(loss, Mode::Polled(10_000), seed);
    let (mut fleet, lost_at): (Vec<Simulation>, Vec<Time>) = (1..=routers as u64).map(with_seed).unzip();
    let lost_at = lost_at[0];
    let mut queue: VecDeque<(Time, usize, ConnectionId)> = VecDeque::new();
    let mut seen = vec![0; fleet.len()];
    let mut polls_in_100_ms = vec![0; 120];
    let interval = ms(1000) * (1.0 / answers_per_s as f64);
    let (mut now, mut next_answer_at) = (lost_at, lost_at);
    while now < lost_at + ms(12_000) && fleet.iter().any(|router| router.read_at.is_none()) {
        now = now + ms(STEP_MS);
        for (index, router) in fleet.iter_mut().enumerate() {
            router.run_until(now);
            for &poll in &router.held_polls[seen[index]..] {
                queue.push_back((now, index, poll));
                polls_in_100_ms[((now - lost_at).nanos() / 100_000_000) as usize] += 1;
            }
            seen[index] = router.held_polls.len();
        }
        while let Some(&(made_at, index, poll)) = queue.front()
            && now - made_at >= ms(MAX_WAIT_MS)
        {
            fleet[index].turn_away(poll, TurnedAway::ErrorStatus);
            queue.pop_front();
        }
        while next_answer_at <= now
            && let Some((_, index, poll)) = queue.pop_front()
        {
            if fleet[index].is_open(poll) {
                fleet[index].answer_poll(poll);
                next_answer_at = next_answer_at.max(now - ms(STEP_MS)) + interval;
            }
        }
    }
    let delay_ms =
        |router: &Simulation| router.read_at.map_or(99_999, |at| (at - lost_at).nanos() / 1_000_000);
    FleetOutcome {
        worst_delay_ms: fleet.iter().map(delay_ms).max().expect("there are routers"),
        polls_per_router: seen.iter().sum::<usize>() as f64 / fleet.len() as f64,
        most_polls_at_once: polls_in_100_ms.into_iter().max().expect("there are counts"),
    }
}

/// Guards against a fleet that overloads the one discovery service which all its routers poll: 300 routers lose their
/// watches at once, and discovery needs some 4 s to answer them all, although it turns away what has waited for 1 s.
#[test]
fn a_fleet_that_loses_its_watches_at_once_has_the_change_in_time_from_a_crowded_discovery() {
    for loss in [Loss::Silence, Loss::Close] {
        let outcome = play_fleet(loss, FLEET, ANSWERS_PER_S);
        println!("{loss:?}: {outcome:?}");
        assert!(outcome.worst_delay_ms <= loss.max_delay_ms(), "{loss:?}: {outcome:?}");
        assert!(outcome.polls_per_router <= MAX_POLLS_PER_ROUTER, "{loss:?}: {outcome:?}");
        assert!(outcome.most_polls_at_once <= FLEET / 5, "{loss:?}: {outcome:?}");
    }
}
