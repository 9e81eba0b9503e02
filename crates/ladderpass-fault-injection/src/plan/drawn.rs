//! Plans with random rules, for combinations of faults that nobody would write by hand.

use super::{Action, Distribution, LinkShape, Plan, Protocol, Rule, Side, Trigger};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Limits on the number of times that a random rule acts. For each rule, one entry of this list is drawn.
const TIMES: [u64; 4] = [1, 1, 3, 20];
/// The number of the match from which on a random rule acts is drawn from 1 up to this bound, and is always lower than the
/// bound.
const MAX_NTH: u64 = 200;

impl Plan {
    /// Returns a plan with these links and `count` random rules. The same seed gives the same plan.
    pub fn drawn(seed: u64, count: usize, links: Vec<LinkShape>) -> Plan {
        let mut random = SmallRng::seed_from_u64(seed);
        let rules = (0..count).map(|index| random_rule(&mut random, index, &links)).collect();
        Plan { seed, links, rules, ..Plan::default() }
    }
}

fn random_rule(random: &mut SmallRng, index: usize, links: &[LinkShape]) -> Rule {
    let link = links.get(random.random_range(0..links.len().max(1)));
    let is_http = link.is_some_and(|link| link.protocol == Protocol::Http);
    let kinds: &[&str] = if is_http {
        &["Head", "Chunk"]
    } else {
        &["DataRow", "CommandComplete", "ReadyForQuery", "RowDescription"]
    };
    let (kind, from) = match random.random_range(0..4) {
        0 if !is_http => ("Query", Side::Client),
        _ => (kinds[random.random_range(0..kinds.len())], Side::Server),
    };
    let action = random_action(random);
    let nth = Some(random.random_range(1..MAX_NTH));
    let when = Trigger { from, message: Some(kind.to_owned()), nth, ..Trigger::default() };
    let times = TIMES[random.random_range(0..TIMES.len())];
    Rule { name: format!("drawn-{index}"), link: link.map(|link| link.name.clone()), when, action, times }
}

fn random_action(random: &mut SmallRng) -> Action {
    match random.random_range(0..14) {
        0 => Action::Delay { ms: random.random_range(1.0..300.0), distribution: Distribution::Exponential },
        1 => Action::Rate { bytes_per_s: random.random_range(200..20_000) },
        2 => Action::Slice { gap_ms: random.random_range(0.0..2.0) },
        3 => Action::Drop,
        4 => Action::Swallow,
        5 => Action::Silence,
        6 => Action::HalfClose { side: if random.random() { Side::Client } else { Side::Server } },
        7 => Action::Close,
        8 => Action::Reset,
        9 => Action::Garble { bytes: random.random_range(1..5) },
        10 => Action::FlipLength,
        11 => Action::Duplicate,
        12 => Action::Noise { bytes: random.random_range(1..40) },
        _ => Action::Truncate { keep: random.random_range(0..12) },
    }
}
