//! What all routers may spend on further call-outs, and this one's part of it. Pure: counts and others' words come in,
//! a yes or a no for each further call-out goes out.
//!
//! It owns these invariants: what all pay stays within a part of their first call-outs, up to the age of words and one
//! saved unit a router; that part is large while further call-outs help and near nothing while they don't; what one
//! doesn't need the others get; one that hears too few keeps its part, never more. It must never decide what becomes of
//! an RPC whose further call-out is not paid for.

use ladderpass_routing::{Span, Time};
use std::collections::BTreeMap;

/// How often it reckons: with the words that it stands on.
const EVERY: Span = Span::from_millis(250);
/// Of first call-outs, while further ones help, and while they don't: the least still finds out when that is over.
const MOST: f64 = 0.5;
const LEAST: f64 = 0.02;
/// What is believed of further call-outs weighs like so many a second that were made.
const PRIOR: f64 = 4.0;
/// Each first call-out counts like so much need: a router that never needed any has some at once.
const RESERVE: f64 = 0.05;
/// What is saved up: so much of a second's part, but one at the least, so that small parts can be spent at all.
const SAVED: f64 = 0.5;
const SAVED_LEAST: f64 = 1.0;
/// The part of what is saved that stays for RPCs of more than the usual worth.
const KEPT: f64 = 0.5;
/// How much the usual worth follows one RPC.
const FOLLOWS: f64 = 0.1;
/// With words of so many others, or of half of them, the sum is known.
const ENOUGH: f64 = 8.0;
/// Counts are kept over about so many reckonings.
const BLEND: f64 = 0.4;

/// Deliberate faults, for the proof that tells them apart.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Faulty {
    #[default]
    Nowhere,
    SpendsWithoutAsking,
    NeverRefunds,
}

/// What one router tells of a group: call-outs a second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RetryRates {
    pub first_attempts: f64,
    /// Further ones that were wanted, that were paid for, and that were answered well.
    pub retries_wanted: f64,
    pub retries_granted: f64,
    pub retries_succeeded: f64,
}

impl RetryRates {
    pub fn rates(self) -> [f64; 4] {
        [self.first_attempts, self.retries_wanted, self.retries_granted, self.retries_succeeded]
    }

    pub fn from_rates([first, wanted, paid, helped]: [f64; 4]) -> RetryRates {
        RetryRates {
            first_attempts: first,
            retries_wanted: wanted,
            retries_granted: paid,
            retries_succeeded: helped,
        }
    }

    fn add(&mut self, other: RetryRates, weight: f64) {
        self.first_attempts += other.first_attempts * weight;
        self.retries_wanted += other.retries_wanted * weight;
        self.retries_granted += other.retries_granted * weight;
        self.retries_succeeded += other.retries_succeeded * weight;
    }
}

/// What the log shows of a group.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct GroupMetrics {
    pub group: u32,
    /// Of all routers, a second.
    pub fleet: RetryRates,
    /// What all may pay, of first call-outs; this router's part a second, and what it has saved.
    pub ratio: f64,
    pub quota: f64,
    pub balance: f64,
    /// Wanted here and not paid for, since the start.
    pub denied: u64,
}

#[derive(Clone, Debug)]
struct GroupBudget {
    now: RetryRates,
    last: RetryRates,
    saved: f64,
    part: f64,
    /// Middle rank of what asked for a further call-out.
    usual: f64,
    figures: GroupMetrics,
}

pub struct RetryBudget {
    groups: BTreeMap<u32, GroupBudget>,
    reckoned: Time,
    faulty: Faulty,
}

impl GroupBudget {
    fn most(&self) -> f64 {
        (self.part * SAVED).max(SAVED_LEAST)
    }
}

impl RetryBudget {
    pub fn start(now: Time, faulty: Faulty) -> RetryBudget {
        RetryBudget { groups: BTreeMap::new(), reckoned: now, faulty }
    }

    fn purse(&mut self, group: u32) -> &mut GroupBudget {
        self.groups.entry(group).or_insert_with(|| GroupBudget {
            now: RetryRates::default(),
            last: RetryRates::default(),
            saved: 1.0,
            part: 0.0,
            usual: 0.0,
            figures: GroupMetrics { group, ..GroupMetrics::default() },
        })
    }

    /// A first call-out goes.
    pub fn record_first_attempt(&mut self, group: u32) {
        self.purse(group).now.first_attempts += 1.0;
    }

    /// An RPC of a rank could use a further call-out: is it paid for?
    pub fn try_withdraw(&mut self, group: u32, rank: u32) -> bool {
        let faulty = self.faulty;
        let purse = self.purse(group);
        purse.now.retries_wanted += 1.0;
        let rank = f64::from(rank);
        // What is left of little goes to what is worth more than the usual.
        let needed = if rank >= purse.usual { 1.0 } else { 1.0 + (purse.most() - SAVED_LEAST) * KEPT };
        purse.usual += (rank - purse.usual) * FOLLOWS;
        if faulty == Faulty::SpendsWithoutAsking {
            purse.now.retries_granted += 1.0;
            return true;
        }
        if purse.saved < needed {
            purse.figures.denied += 1;
            return false;
        }
        purse.saved -= 1.0;
        purse.now.retries_granted += 1.0;
        true
    }

    /// It was paid for and is not made.
    pub fn refund(&mut self, group: u32) {
        if self.faulty == Faulty::NeverRefunds {
            return;
        }
        let purse = self.purse(group);
        purse.saved = (purse.saved + 1.0).min(purse.most());
        purse.now.retries_granted = (purse.now.retries_granted - 1.0).max(0.0);
    }

    /// A further call-out was answered well.
    pub fn record_success(&mut self, group: u32) {
        self.purse(group).now.retries_succeeded += 1.0;
    }

    /// What this router tells of a group.
    pub fn own_rates(&self, group: u32) -> RetryRates {
        self.groups.get(&group).map_or(RetryRates::default(), |purse| purse.last)
    }

    /// What `heard` gives of a group is what others told of it, each with what it counts for by its age; `others` are
    /// alive.
    pub fn rebalance<I>(&mut self, now: Time, others: usize, heard: impl Fn(u32) -> I)
    where
        I: Iterator<Item = (RetryRates, f64)>,
    {
        // Guards against a hoard: one that stalled earns nothing for that time.
        let secs = (now - self.reckoned).secs().clamp(0.0, EVERY.secs() * 2.0);
        self.reckoned = now;
        let keeps = self.faulty == Faulty::NeverRefunds;
        for (&group, purse) in &mut self.groups {
            let counted = std::mem::take(&mut purse.now);
            let rate = |old: f64, count: f64| old + (count / secs.max(0.05) - old) * BLEND;
            let (last, [first, wanted, paid, helped]) = (purse.last, counted.rates());
            purse.last = RetryRates {
                first_attempts: rate(last.first_attempts, first),
                retries_wanted: rate(last.retries_wanted, wanted),
                retries_granted: rate(last.retries_granted, paid),
                retries_succeeded: rate(last.retries_succeeded, helped),
            };
            let own = purse.last;
            let (mut all, mut weights) = (own, 0.0);
            for (told, weight) in heard(group) {
                all.add(told, weight);
                weights += weight;
            }
            let others = others as f64;
            // The few that were heard stand for all.
            let scale = if weights > 0.0 { (others + 1.0).max(weights + 1.0) / (weights + 1.0) } else { 1.0 };
            // How well further ones do; where none was made lately, how well first ones do.
            let well = (1.0 - all.retries_wanted / (all.first_attempts + all.retries_granted).max(1e-9))
                .clamp(0.0, 1.0);
            let helps = ((all.retries_succeeded + PRIOR * well)
                / (all.retries_granted.max(all.retries_succeeded) + PRIOR))
                .min(1.0);
            let ratio = LEAST + (MOST - LEAST) * helps * helps;
            let budget = ratio * all.first_attempts * scale;
            let need = |told: RetryRates| told.retries_wanted + RESERVE * told.first_attempts;
            let part = budget * need(own) / (need(all) * scale).max(1e-9);
            let knows = weights >= (others * 0.5).min(ENOUGH);
            purse.part = match (knows, keeps) {
                (_, true) => part.max(purse.part),
                (true, _) => part,
                // Alone it takes no more than it had, nor than the same part of what it sees itself.
                (false, _) => purse.part.min(ratio * own.first_attempts),
            };
            purse.saved = (purse.saved + purse.part * secs).min(purse.most());
            let refused = purse.figures.denied;
            purse.figures = GroupMetrics {
                group,
                fleet: all,
                ratio,
                quota: purse.part,
                balance: purse.saved,
                denied: refused,
            };
        }
    }

    pub fn metrics(&self) -> impl Iterator<Item = GroupMetrics> {
        self.groups.values().map(|purse| purse.figures)
    }
}
