//! Withdrawals from this router's part of the retry budget that all routers share, and the step that recomputes this
//! part.

use crate::faulty::Faulty;
use crate::metrics::GroupMetrics;
use crate::quota::FleetRates;
use crate::rates::{RetryRates, WeightedRates};
use ladderpass_routing::{Span, Time};
use std::collections::BTreeMap;

/// Length of a step, after which the quotas are recomputed. Reports between routers are made in steps of the same
/// length.
const STEP: Span = Span::from_millis(250);
/// After a stall of the router, the quota of at most this many steps is added to the balance.
const MAX_STEPS_REFILLED: f64 = 2.0;
/// The largest balance is the number of retries that the quota adds to the balance in this many seconds.
const MAX_BALANCE_SECS: f64 = 0.5;
/// The largest balance is never less than this number of retries, so that a router can also spend a small quota.
const MIN_MAX_BALANCE: f64 = 1.0;
/// The share of the largest balance that is reserved for RPCs of at least the mean priority (see
/// `GroupBudget::mean_priority`). The first retry of the largest balance is not part of it.
const RESERVED_SHARE: f64 = 0.5;
/// The balance of a new group, in retries.
const INITIAL_BALANCE: f64 = 1.0;
/// Weight of one RPC in the moving average of the priorities of RPCs that request a retry.
const PRIORITY_WEIGHT: f64 = 0.1;

/// This router's part of the retry budget of a group.
#[derive(Clone, Debug)]
struct GroupBudget {
    /// This router's counts of first attempts and retries in the current step.
    counts: RetryRates,
    rates: RetryRates,
    /// Number of retries that may be withdrawn from the budget now.
    balance: f64,
    /// Retries a second that are added to the balance, up to the largest balance.
    quota: f64,
    /// Moving average of the priorities of RPCs that requested a retry.
    mean_priority: f64,
    metrics: GroupMetrics,
}

impl GroupBudget {
    fn new(group: u32) -> GroupBudget {
        GroupBudget {
            counts: RetryRates::default(),
            rates: RetryRates::default(),
            balance: INITIAL_BALANCE,
            quota: 0.0,
            mean_priority: 0.0,
            metrics: GroupMetrics { group, ..GroupMetrics::default() },
        }
    }

    /// The largest balance, in retries.
    fn max_balance(&self) -> f64 {
        (self.quota * MAX_BALANCE_SECS).max(MIN_MAX_BALANCE)
    }

    /// The balance that must be left for an RPC of this priority to be granted a retry.
    fn required_balance(&self, priority: f64) -> f64 {
        if priority >= self.mean_priority {
            1.0
        } else {
            1.0 + (self.max_balance() - MIN_MAX_BALANCE) * RESERVED_SHARE
        }
    }

    /// Recomputes this router's quota from the rates of all routers, and adds `secs` seconds of the quota to the
    /// balance.
    fn rebalance(&mut self, secs: f64, fleet: &FleetRates, never_lowers_quota: bool) {
        let ratio = fleet.ratio();
        let own_quota = fleet.own_quota(ratio);
        self.quota = if never_lowers_quota {
            own_quota.max(self.quota)
        } else if fleet.has_enough_reports() {
            own_quota
        } else {
            // With too few reports from other routers, the new quota exceeds neither the previous quota nor the ratio
            // (retries per first attempt) times the rate of this router's own first attempts.
            self.quota.min(ratio * fleet.own.first_attempts)
        };
        self.balance = (self.balance + self.quota * secs).min(self.max_balance());
        self.metrics.fleet = fleet.total;
        self.metrics.ratio = ratio;
        self.metrics.quota = self.quota;
        self.metrics.balance = self.balance;
    }
}

/// This router's part of the retry budgets of all groups.
pub struct RetryBudget {
    groups: BTreeMap<u32, GroupBudget>,
    last_step_at: Time,
    faulty: Faulty,
}

impl RetryBudget {
    /// Starts without groups. A group is added when its first RPC is recorded.
    pub fn start(now: Time, faulty: Faulty) -> RetryBudget {
        RetryBudget { groups: BTreeMap::new(), last_step_at: now, faulty }
    }

    fn group_mut(&mut self, group: u32) -> &mut GroupBudget {
        self.groups.entry(group).or_insert_with(|| GroupBudget::new(group))
    }

    /// Records the first attempt of an RPC.
    pub fn record_first_attempt(&mut self, group: u32) {
        self.group_mut(group).counts.first_attempts += 1.0;
    }

    /// Requests a retry for an RPC of this priority. Returns true if the budget grants it.
    pub fn try_withdraw(&mut self, group: u32, priority: u32) -> bool {
        let always_grants = self.faulty == Faulty::GrantsEveryRetry;
        let budget = self.group_mut(group);
        budget.counts.retries_wanted += 1.0;
        let priority = f64::from(priority);
        let required = budget.required_balance(priority);
        budget.mean_priority += (priority - budget.mean_priority) * PRIORITY_WEIGHT;
        if always_grants {
            budget.counts.retries_granted += 1.0;
            return true;
        }
        if budget.balance < required {
            budget.metrics.denied += 1;
            return false;
        }
        budget.balance -= 1.0;
        budget.counts.retries_granted += 1.0;
        true
    }

    /// Puts back into the balance a retry that was granted and not made.
    pub fn refund(&mut self, group: u32) {
        if self.faulty == Faulty::NeverRefunds {
            return;
        }
        let budget = self.group_mut(group);
        budget.balance = (budget.balance + 1.0).min(budget.max_balance());
        budget.counts.retries_granted = (budget.counts.retries_granted - 1.0).max(0.0);
    }

    /// Records that a retry succeeded.
    pub fn record_success(&mut self, group: u32) {
        self.group_mut(group).counts.retries_succeeded += 1.0;
    }

    /// The rates of first attempts and retries that this router reports of a group.
    pub fn own_rates(&self, group: u32) -> RetryRates {
        self.groups.get(&group).map_or(RetryRates::default(), |budget| budget.rates)
    }

    /// Ends a step and recomputes all quotas. `peer_rates` returns the rates that other routers reported of a group,
    /// and `alive_peers` is the number of other routers that are alive.
    pub fn rebalance<I>(&mut self, now: Time, alive_peers: usize, peer_rates: impl Fn(u32) -> I)
    where
        I: Iterator<Item = WeightedRates>,
    {
        let secs = (now - self.last_step_at).secs().clamp(0.0, STEP.secs() * MAX_STEPS_REFILLED);
        self.last_step_at = now;
        let never_lowers_quota = self.faulty == Faulty::NeverRefunds;
        for (&group, budget) in &mut self.groups {
            let counts = std::mem::take(&mut budget.counts);
            budget.rates = budget.rates.smoothed(counts, secs);
            let fleet = FleetRates::sum(budget.rates, peer_rates(group), alive_peers);
            budget.rebalance(secs, &fleet, never_lowers_quota);
        }
    }

    /// The metrics of each group for the log, as of the last step.
    pub fn metrics(&self) -> impl Iterator<Item = GroupMetrics> {
        self.groups.values().map(|budget| budget.metrics)
    }
}
