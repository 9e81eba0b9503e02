//! The public calls of the router. Each call updates the state through the module of the mechanism that it
//! concerns.
//!
//! [`Router::start`] is followed by [`Router::on_endpoint_update`]. [`Router::accept`] returns a handle and a first
//! decision, and later events of the RPC are calls on its handle. [`Router::tick`] follows each batch of calls. The
//! caller passes the time as `now`.

use crate::attempt;
use crate::endpoints;
use crate::gossip;
use crate::health_check;
use crate::load::{self, LAST_SECOND, RECENT_BUCKET};
use crate::outlier_ejection;
use crate::pending;
use crate::reference_clock::ClockDifference;
use crate::rejection;
use crate::retry;
use crate::selection;
use crate::sliding_window::SlidingWindow;
use crate::slow_start;
use crate::staleness::{self, UNBOUNDED_READ_MAX_LAG};
use crate::state::group::Topology;
use crate::state::member::Member;
use crate::state::router_state::RouterState;
use crate::state::rpc::RpcTable;
use crate::state::session::SessionWrites;
use crate::time::{Span, Time};
use crate::types::{
    Arrival, AttemptOutcome, AttemptResult, Decision, Deployment, EndpointState, EndpointUpdate,
    KnownPosition, LoadReport, MemberId, MemberLoad, MemberUpdate, OverloadState, RpcId, TickOutput,
};
use nanorand::{Rng, WyRand};

/// A router. Routers share no state, and exchange updates only through their callers.
pub struct Router {
    state: RouterState,
}

impl Router {
    /// Creates a router that has no information but its deployment. `seed` determines the random choices.
    pub fn start(now: Time, seed: u64, deployment: Deployment) -> Router {
        let bounds = deployment.methods.iter().filter_map(|method| method.consistency.max_staleness());
        Router {
            state: RouterState {
                started_at: now,
                min_staleness_bound: bounds.min().unwrap_or(UNBOUNDED_READ_MAX_LAG),
                clock: ClockDifference::default(),
                random: WyRand::new_seed(seed),
                methods: deployment.methods.iter().map(load::initial_method_latency).collect(),
                topology: Topology::default(),
                rpcs: RpcTable::default(),
                session_writes: SessionWrites::default(),
                accepted: SlidingWindow::new(RECENT_BUCKET),
                next_health_check_at: now,
                next_endpoint_poll_at: deployment.endpoint_poll_interval.map(|_| now),
                endpoint_poll_failures: 0,
                endpoint_polled_at: None,
                missed_changes: None,
                output: TickOutput::default(),
                deployment,
            },
        }
    }

    /// Sets how far the clock of `now` may differ from the members' clock. If the router started while its clock was
    /// stepped, the setting prevents stale reads, and too much load on members in slow start.
    pub fn set_clock_difference(&mut self, difference: ClockDifference) {
        self.state.clock = difference;
    }

    /// Sets the index of this router among all routers, from 0, and the present number of routers.
    pub fn set_router_position(&mut self, router_index: u32, router_count: u32) {
        self.state.deployment.router_index = router_index;
        self.state.deployment.router_count = router_count;
    }

    /// Accepts an RPC, which will have exactly one final answer. Returns the handle of the RPC and the first
    /// decision on it.
    pub fn accept(&mut self, now: Time, arrival: Arrival) -> (RpcId, Decision) {
        let state = &mut self.state;
        let write_age = arrival.last_write_age.filter(|_| state.deployment.session_write_age_carried);
        let session_write = write_age.map_or(Time::NEVER, |age| now - age);
        state.accepted.record(now, 1.0);
        let random_draw = arrival.admission_draw.unwrap_or_else(|| state.random.generate());
        let rpc = state.rpcs.insert(now, arrival, session_write, random_draw);
        if let Some(overload) = rejection::overload_to_shed_for(state, now, &arrival, random_draw) {
            return (rpc, rejection::shed(state, rpc, overload.pressure));
        }
        slow_start::record_accepted(state, now, &arrival);
        let none_pending = state.topology.group_mut(arrival.group).pending.is_empty();
        let decision =
            if none_pending { selection::select(state, now, rpc) } else { pending::enqueue(state, rpc) };
        (rpc, decision)
    }

    /// Returns the priority of an RPC under an overload, which is below [`PRIORITY_COUNT`](crate::PRIORITY_COUNT). The
    /// lowest priorities are shed first.
    pub fn priority(&self, now: Time, arrival: &Arrival, overload: &OverloadState) -> u32 {
        rejection::priority(&self.state, now, arrival, overload)
    }

    /// Returns the randomized delay after which a rejected client may retry, also for a client whose RPC was never
    /// accepted.
    pub fn retry_after(&mut self) -> Span {
        rejection::retry_after(&mut self.state)
    }

    /// Returns whether an attempt that has waited for its connection may still be made at this member. The attempt may
    /// no longer be made if, for example, the member is draining or its proven position is too old by now.
    pub fn may_still_attempt(&self, now: Time, rpc: RpcId, member: MemberId) -> bool {
        let state = &self.state;
        let Some(accepted) = state.rpcs.get(rpc) else { return false };
        if !self.is_active(member) || !retry::may_run(state, now, rpc) {
            return false;
        }
        let index = member.0 as usize;
        let is_primary = state.topology.groups[accepted.arrival.group as usize].primary == Some(index);
        if is_primary {
            return true;
        }
        let may_use_replica = !state.method_of(rpc).definition.consistency.primary_only();
        let required = staleness::required_position(state, now, rpc);
        may_use_replica && state.topology.member(index).position >= required
    }

    /// Processes an update of the endpoint list, or the failure of a poll.
    pub fn on_endpoint_update(&mut self, now: Time, update: EndpointUpdate) {
        endpoints::on_update(&mut self.state, now, update);
    }

    /// Processes the result of a health check.
    pub fn on_health_check_ended(
        &mut self,
        now: Time,
        member: MemberId,
        outcome: AttemptOutcome,
        latency: Span,
        report: LoadReport,
    ) {
        health_check::on_ended(&mut self.state, now, member, outcome, latency, report);
    }

    /// Processes an update on a member from another router.
    pub fn on_peer_update(&mut self, now: Time, update: MemberUpdate) {
        gossip::on_peer_update(&mut self.state, now, &update);
    }

    /// Decides on the pending RPCs of all groups. Returns the decisions and what is due: health checks, polls of the
    /// endpoint list, gossip, and the time of the next call.
    pub fn tick(&mut self, now: Time) -> TickOutput {
        let state = &mut self.state;
        for group in 0..state.topology.groups.len() {
            selection::select_for_pending(state, now, group);
        }
        let mut wake_at = pending::next_examination_at(state, now).unwrap_or(now + Span::MAX);
        if state.deployment.health_checks {
            if state.next_health_check_at <= now {
                health_check::send_due_checks(state, now);
            }
            wake_at = wake_at.min(state.next_health_check_at);
        } else {
            outlier_ejection::expire_failures(state, now);
        }
        endpoints::poll_if_due(state, now);
        wake_at = wake_at.min(state.next_endpoint_poll_at.unwrap_or(wake_at));
        state.output.wake_at = Some(wake_at.max(now + state.deployment.tick));
        std::mem::take(&mut state.output)
    }

    /// Returns whether the endpoint list names this member as one that serves RPCs.
    pub fn is_active(&self, member: MemberId) -> bool {
        self.known_member(member).is_some_and(|known| known.endpoint_state == EndpointState::Active)
    }

    /// Returns the newest position that a member has proven, or `None` for a member that no list has named.
    pub fn known_position(&self, member: MemberId) -> Option<KnownPosition> {
        let known = self.known_member(member)?;
        let primary = self.state.topology.groups.get(known.group)?.primary;
        Some(KnownPosition { position: known.position, is_primary: primary == Some(member.0 as usize) })
    }

    /// Returns the load of each active member, for a load report to the other routers.
    pub fn member_loads(&self, now: Time) -> impl Iterator<Item = MemberLoad> {
        let members = self.state.topology.members.iter().flatten();
        members
            .filter(|member| member.endpoint_state == EndpointState::Active)
            .map(move |member| self.member_load(now, member))
    }

    fn member_load(&self, now: Time, member: &Member) -> MemberLoad {
        let failures = member.recent_failures.totals(now, LAST_SECOND).count;
        let answers = member.latency_ratios.totals(now, LAST_SECOND).count;
        MemberLoad {
            member: member.id,
            id_hash: member.id_hash,
            group: member.group as u32,
            latency_ratio: load::latency_ratio(&self.state, now, member, LAST_SECOND),
            in_flight: load::attempts_in_flight(&self.state, now, member),
            failure_share: failures / (failures + answers).max(1.0),
        }
    }

    /// Sets this router's share of the RPCs that all routers may have in flight at a member. The member's share
    /// of reads, which is reduced while the member is overloaded, is reset to 1: this limit takes the place of
    /// the reduced share, and both together would leave the member idle.
    pub fn set_concurrency_limit(&mut self, member: MemberId, limit: f64) {
        if self.state.topology.contains(member) {
            let member = self.state.topology.member_mut(member.0 as usize);
            member.concurrency_limit = limit;
            member.read_share = 1.0;
        }
    }

    fn known_member(&self, member: MemberId) -> Option<&Member> {
        self.state.topology.members.get(member.0 as usize)?.as_ref()
    }
}

impl RpcId {
    /// Processes the end of an attempt of this RPC, and returns the next decision.
    pub fn on_attempt_ended(self, router: &mut Router, now: Time, result: AttemptResult) -> Decision {
        let state = &mut router.state;
        let index = result.member.0 as usize;
        let Some(rpc) = state.rpcs.get_mut(self) else { return Decision::AlreadyAnswered };
        let (arrival, sent_at) = (rpc.arrival, rpc.last_attempt_at);
        let members_at_fault = rpc.record_attempt_ended(now, index, result.outcome);
        let is_over = result.rpc_complete || !rpc.is_open;
        for index in members_at_fault {
            let member = state.topology.members[index].iter_mut();
            member.for_each(|member| member.recent_failures.record(now, 1.0));
        }
        attempt::record_result(state, now, index, &result, &arrival, sent_at);
        if is_over {
            state.rpcs.close(self);
            return Decision::AlreadyAnswered;
        }
        if !result.outcome.never_ran() {
            state.rpcs[self].may_have_run_since.get_or_insert(sent_at);
        }
        if let Some(reason) = retry::reason_against_retry(&state.rpcs[self], &result) {
            return rejection::give_up(state, now, self, reason);
        }
        selection::select(state, now, self)
    }

    /// Ends the RPC because the client has given up, or because the deadline has passed.
    pub fn abandon(self, router: &mut Router) {
        router.state.rpcs.close(self);
    }
}
