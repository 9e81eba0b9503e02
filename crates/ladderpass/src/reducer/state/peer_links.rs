//! The links to the other routers: membership, gossip on members, shared admission control and the shared retry budget.
//!
//! `ladderpass-membership` decides which routers are alive and which may send gossip. The routing core decides how
//! gossip is weighted.

use crate::launch::Launch;
use crate::reducer::log_target;
use crate::reducer::peer_log;
use ladderpass_admission::{AdmissionController, GroupMetrics, GroupThreshold, admission_draw};
use ladderpass_membership::{Change, LocalRouter, Membership, Settings, View, router_hash};
use ladderpass_retry_budget::RetryBudget;
use ladderpass_routing::{Arrival, MemberLoad, OverloadState, Router, Span, Time};
use std::collections::HashMap;
use std::net::SocketAddr;

/// Time after the start in which the routers listed in the operator's file count as alive, because a router that has
/// just started has not found the others yet.
const SETTLING_TIME: Span = Span::from_millis(2000);
/// Cost of each RPC in shared admission control, in seconds. The cost is the same for all RPCs, so that priorities
/// follow from utility alone.
const UNIT_COST_SECS: f64 = 1e-4;
/// Maximum size of the admission reports in a membership datagram, in bytes.
const PIGGYBACK_BYTES: usize = 150;

/// State of the links to other routers.
pub(in crate::reducer) struct PeerLinks {
    membership: Membership,
    view: View,
    membership_wake_at: Time,
    settled_at: Time,
    /// Number of routers in the operator's file, including this one.
    listed_routers: usize,
    outgoing: Vec<(SocketAddr, Vec<u8>)>,
    /// For each group index of this router, the number by which all routers identify the group.
    group_numbers: Vec<u32>,
    /// Shared admission control. `None` means that each router sheds load on its own.
    admission: Option<AdmissionController>,
    /// The retry budget that all routers share. `None` means that no shared budget limits retries.
    retry_budget: Option<RetryBudget>,
    /// Number of RPCs that shared admission control has rejected at this router since the start of the process.
    rejected: u64,
    metrics_logged_at: Time,
    metrics_interval: Span,
}

/// The decision of shared admission control on an arrival.
#[derive(Clone, Copy, Debug, Default)]
pub(in crate::reducer) struct AdmissionVerdict {
    pub(in crate::reducer) is_rejected: bool,
    pub(in crate::reducer) priority: u32,
}

impl PeerLinks {
    /// Returns the links to the other routers, or `None` if the operator's file names no peers.
    pub(in crate::reducer) fn new(now: Time, launch: &Launch) -> Option<PeerLinks> {
        let operator = &launch.operator;
        let peers = operator.peers.as_ref()?;
        if peers.legacy_form {
            tracing::warn!(
                target: log_target::PEER_LINKS,
                "peers.me and peers.all are deprecated; use peers.listen and peers.listed"
            );
        }
        let local = LocalRouter { address: peers.address, started_unix_ms: now.nanos() / 1_000_000 };
        let settings = Settings { faulty: launch.faulty.membership(), ..Settings::default() };
        // The membership's seed differs from the seed of the routing core. It also differs between routers that are
        // started with the same configured seed, because these must not contact the other routers in the same order.
        let seed = launch.seed ^ now.nanos() as u64 ^ u64::from(peers.address.port()) << 48;
        let membership = Membership::start(now, seed, local, &peers.listed, &peers.networks, settings);
        let others = peers.listed.iter().filter(|&&address| address != peers.address).count();
        let admission = operator
            .shared_admission
            .then(|| AdmissionController::start(now, router_hash(peers.address), launch.faulty.admission()));
        let retry_budget =
            operator.shared_retry_budget.then(|| RetryBudget::start(now, launch.faulty.retry_budget()));
        Some(PeerLinks {
            view: membership.view(),
            membership_wake_at: now,
            settled_at: now + SETTLING_TIME,
            listed_routers: others + 1,
            outgoing: Vec::new(),
            group_numbers: Vec::new(),
            admission,
            retry_budget,
            rejected: 0,
            metrics_logged_at: now,
            metrics_interval: operator.log.metrics_interval,
            membership,
        })
    }

    pub(in crate::reducer) fn wake_at(&self) -> Time {
        self.admission
            .as_ref()
            .map_or(self.membership_wake_at, |admission| admission.wake_at().min(self.membership_wake_at))
    }

    /// Returns the view of which routers are alive that was last applied.
    pub(in crate::reducer) fn view(&self) -> &View {
        &self.view
    }

    /// Returns the metrics of shared admission control, by group.
    pub(in crate::reducer) fn admission_metrics(&self) -> Vec<GroupMetrics> {
        self.admission.iter().flat_map(AdmissionController::metrics).collect()
    }

    /// Removes and returns the datagrams that are to be sent, each with its destination.
    pub(in crate::reducer) fn take_datagrams(&mut self) -> Vec<(SocketAddr, Vec<u8>)> {
        std::mem::take(&mut self.outgoing)
    }

    /// Handles a datagram of the membership protocol, which may carry admission reports.
    pub(in crate::reducer) fn on_membership_datagram(&mut self, now: Time, from: SocketAddr, bytes: &[u8]) {
        self.membership.on_datagram(now, from, bytes);
        let reports = self.membership.take_piggybacked();
        if let Some(admission) = &mut self.admission {
            reports.iter().for_each(|report| admission.on_reports(now, report));
        }
    }

    /// Records that gossip (another router's messages about members) came from this address. Returns whether the gossip
    /// may be accepted.
    pub(in crate::reducer) fn record_gossip(&mut self, now: Time, from: SocketAddr) -> bool {
        self.membership.record_gossip(now, from)
    }

    /// Queues this router's messages about members as datagrams to all routers that receive gossip.
    pub(in crate::reducer) fn publish(&mut self, now: Time, messages: &[String]) {
        for target in self.membership.gossip_targets(now) {
            let datagrams = messages.iter().map(|message| (target, message.clone().into_bytes()));
            self.outgoing.extend(datagrams);
        }
    }

    /// Ticks the membership protocol if its wake time has come. Returns whether the protocol was ticked.
    pub(in crate::reducer) fn tick_membership(&mut self, now: Time) -> bool {
        let is_due = self.membership_wake_at <= now;
        if is_due {
            self.membership.tick(now);
        }
        is_due
    }

    /// Tells the other routers that this router is about to shut down.
    pub(in crate::reducer) fn leave(&mut self, now: Time) {
        self.membership.leave(now);
    }

    /// Updates the wake time of the membership, and queues its datagrams. Returns whether there are any datagrams.
    pub(in crate::reducer) fn collect_membership_output(&mut self) -> bool {
        self.membership_wake_at = self.membership.wake_at();
        let outgoing = self.membership.take_outgoing();
        let has_datagrams = !outgoing.is_empty();
        self.outgoing.extend(outgoing);
        has_datagrams
    }

    /// Returns whether an update since the last call showed that another process uses or has used this router's
    /// address.
    pub(in crate::reducer) fn take_address_conflict(&mut self) -> bool {
        self.membership.take_address_conflict()
    }

    /// Returns the membership's present view of which routers are alive.
    pub(in crate::reducer) fn newest_view(&self) -> View {
        self.membership.view()
    }

    /// Adds to an arrival the overload state of all routers and the admission draw, a pseudo-random number that is
    /// derived from `session` and the time. Counts the arrival as offered load, and returns the decision of shared
    /// admission control.
    pub(in crate::reducer) fn assess(
        &mut self,
        now: Time,
        arrival: &mut Arrival,
        session: &str,
        priority: impl Fn(&Arrival, &OverloadState) -> u32,
    ) -> AdmissionVerdict {
        let Some((admission, group)) = self.admission_for(arrival.group) else {
            return AdmissionVerdict::default();
        };
        let GroupThreshold { priority: threshold, pressure } = admission.threshold(group);
        let state = OverloadState {
            pressure,
            admission_threshold: threshold,
            cost_secs: UNIT_COST_SECS,
            exceeds_fair_share: false,
            queueing_delay: Span::ZERO,
        };
        let priority = priority(arrival, &state);
        admission.record_offered(group, priority);
        let draw = admission_draw(session.as_bytes(), now);
        (arrival.fleet_overload, arrival.admission_draw) = (Some(state), Some(draw));
        let is_rejected = state.sheds(priority, draw);
        self.rejected += u64::from(is_rejected);
        AdmissionVerdict { is_rejected, priority }
    }

    /// Returns shared admission control, and the number by which all routers identify this group. Returns `None` if
    /// shared admission control is off or the group has no number.
    fn admission_for(&mut self, group: u32) -> Option<(&mut AdmissionController, u32)> {
        Some((self.admission.as_mut()?, *self.group_numbers.get(group as usize)?))
    }

    /// Returns the shared retry budget, and the number by which all routers identify this group. Returns `None` if the
    /// shared retry budget is off or the group has no number.
    fn retry_budget_for(&mut self, group: u32) -> Option<(&mut RetryBudget, u32)> {
        Some((self.retry_budget.as_mut()?, *self.group_numbers.get(group as usize)?))
    }

    pub(in crate::reducer) fn record_first_attempt(&mut self, group: u32) {
        if let Some((retry_budget, group)) = self.retry_budget_for(group) {
            retry_budget.record_first_attempt(group);
        }
    }

    /// Withdraws a retry of an RPC of this priority from the shared retry budget. Returns false if the budget does not
    /// allow the retry.
    pub(in crate::reducer) fn try_withdraw_retry(&mut self, group: u32, priority: u32) -> bool {
        self.retry_budget_for(group)
            .is_none_or(|(retry_budget, group)| retry_budget.try_withdraw(group, priority))
    }

    /// Records that a retry of an RPC of this group, which was withdrawn from the shared retry budget, has succeeded.
    pub(in crate::reducer) fn record_retry_success(&mut self, group: u32) {
        if let Some((retry_budget, group)) = self.retry_budget_for(group) {
            retry_budget.record_success(group);
        }
    }

    /// Refunds to the shared retry budget a retry that was withdrawn and is not made.
    pub(in crate::reducer) fn refund_retry(&mut self, group: u32) {
        if let Some((retry_budget, group)) = self.retry_budget_for(group) {
            retry_budget.refund(group);
        }
    }

    pub(in crate::reducer) fn record_served(&mut self, group: u32) {
        if let Some((admission, group)) = self.admission_for(group) {
            admission.record_served(group);
        }
    }

    /// Records that an RPC that shared admission control admitted was rejected later.
    pub(in crate::reducer) fn record_unplaced(&mut self, group: u32) {
        if let Some((admission, group)) = self.admission_for(group) {
            admission.record_unplaced(group);
        }
    }

    /// Updates the group numbers if endpoint lists have named new groups since the last call.
    fn update_group_numbers(&mut self, groups: &HashMap<u64, u32>) {
        if self.group_numbers.len() == groups.len() {
            return;
        }
        self.group_numbers = vec![0; groups.len()];
        for (&bits, &index) in groups {
            if let Some(number) = self.group_numbers.get_mut(index as usize) {
                *number = (bits ^ bits >> 32) as u32;
            }
        }
    }

    /// If the next step of shared admission control is due, exchanges load information between shared admission
    /// control, the routing core, the shared retry budget and the other routers.
    pub(in crate::reducer) fn tick_admission(
        &mut self,
        now: Time,
        router: &mut Router,
        groups: &HashMap<u64, u32>,
    ) {
        if self.admission.as_ref().is_none_or(|admission| admission.wake_at() > now) {
            return;
        }
        self.update_group_numbers(groups);
        let Some(admission) = &mut self.admission else { return };
        let group_numbers = &self.group_numbers;
        let group_number = |group: u32| group_numbers.get(group as usize).copied().unwrap_or_default();
        let loads: Vec<MemberLoad> = router
            .member_loads(now)
            .map(|load| MemberLoad { group: group_number(load.group), ..load })
            .collect();
        if let Some(limits) = admission.tick(now, &loads) {
            for limit in &limits.members {
                router.set_concurrency_limit(limit.member, limit.max_in_flight);
            }
        }
        if let Some(retry_budget) = &mut self.retry_budget {
            let peer_rates = |group| admission.peer_retry_rates(now, group);
            retry_budget.rebalance(now, admission.alive_peers(), peer_rates);
            for &group in group_numbers {
                admission.set_retry_rates(group, retry_budget.own_rates(group));
            }
        }
        self.membership.set_piggyback(admission.encode_reports(now, PIGGYBACK_BYTES));
        if now - self.metrics_logged_at >= self.metrics_interval {
            self.metrics_logged_at = now;
            self.log_metrics();
        }
    }

    fn log_metrics(&self) {
        for metrics in self.admission.iter().flat_map(AdmissionController::metrics) {
            peer_log::log_admission(&metrics, self.view.count, self.rejected);
        }
        for metrics in self.retry_budget.iter().flat_map(RetryBudget::metrics) {
            peer_log::log_retry_budget(&metrics);
        }
    }

    pub(in crate::reducer) fn log_membership(&self) {
        peer_log::log_membership(&self.view, &self.membership);
    }

    /// Returns the number of routers that count as alive. Until this router has had time to find the others, the number
    /// is at least that of the routers listed in the operator's file.
    pub(in crate::reducer) fn alive_count(&self, now: Time, view: &View) -> usize {
        if now < self.settled_at { view.count.max(self.listed_routers) } else { view.count }
    }

    /// Applies the changes of the membership, and logs the membership's own view of which routers are alive. Until
    /// `settled_at` the routing core gets the number of routers from `alive_count`, which may be higher than the number
    /// that is logged.
    pub(in crate::reducer) fn apply_changes(&mut self, now: Time, view: View) {
        let changes = self.membership.take_changes();
        if changes.is_empty() && view == self.view {
            return;
        }
        for (peer, _) in changes.iter().filter(|(_, change)| *change == Change::Suspected) {
            tracing::debug!(target: log_target::PEER_LINKS, %peer, "router suspected");
        }
        let identity = |view: &View| (view.position, view.count, view.digest);
        let has_view_changed = identity(&view) != identity(&self.view);
        if let Some(admission) = &mut self.admission {
            admission.set_alive(self.membership.peers(now).map(|peer| router_hash(peer.address)));
        }
        let has_other_changes = changes.iter().any(|(_, change)| *change != Change::Suspected);
        self.view = view;
        if has_view_changed || has_other_changes {
            peer_log::log_view(&view, &changes);
        }
    }
}
