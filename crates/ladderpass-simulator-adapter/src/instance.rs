//! One router. Event lines become calls of `ladderpass-routing`, and the decisions of the routing core become action
//! lines. Names on the wire are mapped to small indices.

use crate::actions::Action;
use crate::endpoint_lists::EndpointLists;
use crate::errors::{EventProblem, require};
use crate::events::{EventKind, Line, ListLine, MemberNote, parse_endpoint_state, parse_outcome};
use crate::rpcs::RpcTable;
use ladderpass_config::gossip::GossipCodec;
use ladderpass_config::names::{NameIndex, group_index};
use ladderpass_config::{IN_FLIGHT_COLUMN, POSITION_COLUMN, PRIMARY_COLUMN};
use ladderpass_routing::{
    Arrival, AttemptResult, Decision, Endpoint, EndpointUpdate, LoadReport, MemberId, Router, RpcId, Span,
    Time,
};
use serde_json::Value;
use std::collections::HashMap;

/// A flag that is sent as a number is true if the number is at least this threshold.
const FLAG_THRESHOLD: f64 = 0.5;
const NANOS_PER_MS: f64 = 1e6;

/// A router, and the indices of the names that its events use.
pub struct Instance {
    /// Whether the router had an event in the batch that is being read.
    pub in_batch: bool,
    name: String,
    router: Router,
    /// The lines of the router's actions in the batch that is being read.
    actions: String,
    methods: HashMap<String, u32>,
    clock_origin: Time,
    answers_report_position: bool,
    report_columns: ReportColumns,
    members: NameIndex,
    machine_kinds: NameIndex,
    /// The indices of zones. The router's own zone has the index zero.
    zones: NameIndex,
    weights_are_concurrency: bool,
    gossip_codec: GossipCodec,
    groups: HashMap<u64, u32>,
    sessions: NameIndex,
    rpcs: RpcTable,
    timer: Timer,
}

/// Where the values that the routing core uses stand in a load report: the index of each value's column.
struct ReportColumns {
    position: Option<usize>,
    is_primary: Option<usize>,
    in_flight: Option<usize>,
}

impl ReportColumns {
    fn new(columns: &[String]) -> ReportColumns {
        let index = |name: &str| columns.iter().position(|column| column == name);
        ReportColumns {
            position: index(POSITION_COLUMN),
            is_primary: index(PRIMARY_COLUMN),
            in_flight: index(IN_FLIGHT_COLUMN),
        }
    }

    fn read(&self, values: &[Option<f64>], clock_origin: Time) -> LoadReport {
        let value = |column: Option<usize>| column.and_then(|column| values.get(column).copied().flatten());
        LoadReport {
            position: value(self.position).map(|seconds| clock_origin + Span::from_secs_f64(seconds)),
            is_primary: value(self.is_primary).map(|flag| flag >= FLAG_THRESHOLD),
            in_flight: value(self.in_flight),
        }
    }
}

/// The timer that a router set last in the simulator.
#[derive(Default)]
struct Timer {
    /// The time at which the timer that was set last is due, or `None` if this timer has fired or no timer was set.
    fires_at: Option<Time>,
    /// The handle of the timer that was set last.
    last_handle: i64,
}

impl Instance {
    /// Starts a router with these settings.
    pub fn start(now: Time, name: String, seed: u64, settings: &Value) -> Result<Instance, EventProblem> {
        let settings = ladderpass_config::read(settings)?;
        let own_zone = settings.zone.as_deref().unwrap_or_default();
        let mut zones = NameIndex::default();
        zones.intern(own_zone);
        Ok(Instance {
            in_batch: false,
            name,
            gossip_codec: GossipCodec::new(settings.clock_origin, own_zone),
            report_columns: ReportColumns::new(&settings.report_columns),
            router: Router::start(now, seed, settings.deployment),
            actions: String::new(),
            methods: settings.method_names.into_iter().zip(0..).collect(),
            clock_origin: settings.clock_origin,
            answers_report_position: settings.answers_report_position,
            members: NameIndex::default(),
            machine_kinds: NameIndex::default(),
            zones,
            weights_are_concurrency: settings.weights_are_concurrency,
            groups: HashMap::new(),
            sessions: NameIndex::default(),
            rpcs: RpcTable::default(),
            timer: Timer::default(),
        })
    }

    /// Handles an event of this router.
    pub fn handle_event(
        &mut self,
        now: Time,
        kind: EventKind,
        line: Line,
        lists: &EndpointLists,
    ) -> Result<(), EventProblem> {
        match kind {
            EventKind::Arrival => self.accept_rpc(now, line),
            EventKind::AttemptEnded => self.on_attempt_ended(now, line),
            EventKind::Abandoned => self.abandon_rpc(line),
            EventKind::HealthCheckEnded => self.on_health_check_ended(now, line),
            EventKind::EndpointUpdate => self.on_endpoint_update(now, line, lists),
            EventKind::TimerFired => self.on_timer_fired(&line),
            EventKind::Gossip => self.on_gossip(now, line),
            // Heads of streamed answers are ignored, because no method streams its answers. The other kinds of events
            // without a case here are handled by `Instances`.
            _ => Ok(()),
        }
    }

    /// Ends a batch of events. Runs the router's tick, and encodes the decisions and requests of the router as actions.
    pub fn tick(&mut self, now: Time) {
        let output = self.router.tick(now);
        for (rpc, decision) in output.decisions {
            self.encode_decision(rpc, decision);
        }
        let router = &self.name;
        for member in output.health_checks {
            let member = self.members.name(member.0);
            Action::HealthCheck { router, member }.write(&mut self.actions);
        }
        for payload in self.gossip_codec.encode(&output.gossip, &self.members) {
            Action::gossip(router, &payload).write(&mut self.actions);
        }
        if output.poll_endpoints {
            Action::PollEndpoints { router, enable: true }.write(&mut self.actions);
        }
        for message in output.log_messages {
            let message = self.members.expand_names(&message);
            Action::Log { router, message: &message }.write(&mut self.actions);
        }
        if let Some(wake_at) = output.wake_at
            && self.timer.fires_at.is_none_or(|fires_at| wake_at < fires_at)
        {
            self.set_timer(now, wake_at);
        }
    }

    /// Returns the lines of all actions since the last call of this function.
    pub fn take_actions(&mut self) -> String {
        std::mem::take(&mut self.actions)
    }

    fn set_timer(&mut self, now: Time, wake_at: Time) {
        let delay = (wake_at - now).nanos().max(1);
        self.timer.last_handle += 1;
        self.timer.fires_at = Some(now + Span::from_nanos(delay));
        let handle = self.timer.last_handle;
        Action::SetTimer { router: &self.name, delay, handle }.write(&mut self.actions);
    }

    /// Clears the timer that was set last if the event carries the handle of this timer. The times of the timer and the
    /// event are not compared, because times are rounded on the wire and a timer may fire a little early.
    fn on_timer_fired(&mut self, line: &Line) -> Result<(), EventProblem> {
        if require(line.timer_handle, "Handle")? == self.timer.last_handle {
            self.timer.fires_at = None;
        }
        Ok(())
    }

    fn accept_rpc(&mut self, now: Time, line: Line) -> Result<(), EventProblem> {
        let request_id = require(line.request_id, "RequestId")?;
        let method = require(line.method, "Service")?;
        let Some(&method) = self.methods.get(&*method) else {
            return Err(EventProblem::UnknownMethod(method.into_owned()));
        };
        let deadline = Time::from_nanos(require(line.deadline, "Due")?);
        let group = require(line.group, "Cluster")?;
        if self.rpcs.contains(&request_id) {
            return Err(EventProblem::DuplicateRequest(request_id.into_owned()));
        }
        let last_write_age_ms = line.last_write_age_ms.filter(|&ms| ms > 0.0);
        let arrival = Arrival {
            method,
            group: group_index(&mut self.groups, group),
            deadline,
            router_overload: None,
            fleet_overload: None,
            admission_draw: None,
            is_client_retry: line.is_client_retry.unwrap_or(false),
            session: line.session.as_ref().map(|key| self.sessions.intern(key)),
            last_write_age: last_write_age_ms.map(|ms| Span::from_nanos((ms * NANOS_PER_MS).ceil() as i64)),
        };
        let (rpc, decision) = self.router.accept(now, arrival);
        self.rpcs.insert(request_id.into_owned(), rpc);
        self.encode_decision(rpc, decision);
        Ok(())
    }

    fn on_attempt_ended(&mut self, now: Time, line: Line) -> Result<(), EventProblem> {
        let request_id = require(line.request_id, "RequestId")?;
        let member = self.find_member(line.member.as_deref())?;
        let outcome = require(line.outcome, "StateCode")?;
        require(line.attempt, "Attempt")?;
        let latency = Span::from_nanos(require(line.latency, "Elapsed")?);
        let active = self.rpcs.get_mut(&request_id)?;
        let outcome = parse_outcome(&outcome)?;
        if active.attempts_in_flight == 0 {
            return Err(EventProblem::NoAttemptInFlight(request_id.into_owned()));
        }
        let rpc_complete = line.is_complete.unwrap_or(false);
        active.attempts_in_flight -= 1;
        active.is_answered |= rpc_complete;
        let rpc = active.rpc;
        let note = MemberNote::parse(line.member_note);
        let result = AttemptResult {
            retry_denied: false,
            member,
            outcome,
            latency,
            rpc_complete,
            role: note.and_then(MemberNote::role),
            position: note.and_then(|note| self.position(note)),
        };
        let decision = rpc.on_attempt_ended(&mut self.router, now, result);
        self.encode_decision(rpc, decision);
        self.rpcs.remove_if_done(&request_id);
        Ok(())
    }

    /// Returns the replication position that an answer reports in `note`. Zero counts as a position only if the
    /// settings say that answers report positions.
    fn position(&self, note: MemberNote) -> Option<Time> {
        let position_ms = note.position_ms();
        (position_ms > 0 || self.answers_report_position)
            .then(|| self.clock_origin + Span::from_millis(position_ms))
    }

    fn abandon_rpc(&mut self, line: Line) -> Result<(), EventProblem> {
        let request_id = require(line.request_id, "RequestId")?;
        // It is no error if the RPC that the client has given up on is unknown or answered already.
        if let Ok(active) = self.rpcs.get_mut(&request_id)
            && !active.is_answered
        {
            active.is_answered = true;
            active.rpc.abandon(&mut self.router);
            self.rpcs.remove_if_done(&request_id);
        }
        Ok(())
    }

    fn on_health_check_ended(&mut self, now: Time, line: Line) -> Result<(), EventProblem> {
        let member = self.find_member(line.member.as_deref())?;
        let outcome = parse_outcome(&require(line.outcome, "StateCode")?)?;
        let latency = Span::from_nanos(require(line.latency, "Elapsed")?);
        let values = line.load_report.as_deref().unwrap_or(&[]);
        let report = self.report_columns.read(values, self.clock_origin);
        self.router.on_health_check_ended(now, member, outcome, latency, report);
        Ok(())
    }

    /// Passes the observations in a gossip message of another router to the routing core. Observations of members that
    /// this router does not know are dropped.
    fn on_gossip(&mut self, now: Time, line: Line) -> Result<(), EventProblem> {
        for update in self.gossip_codec.decode(&require(line.payload, "Payload")?, now) {
            self.router.on_peer_update(now, update);
        }
        Ok(())
    }

    fn on_endpoint_update(
        &mut self,
        now: Time,
        line: Line,
        lists: &EndpointLists,
    ) -> Result<(), EventProblem> {
        let kind = require(line.update_kind, "How")?;
        if kind == "broken" {
            let failed = EndpointUpdate::Failed { poll_immediately: false, notified_by: None };
            self.router.on_endpoint_update(now, failed);
            return Ok(());
        }
        let number = require(line.list_number, "Buffer")?;
        let list = lists.get(&number).ok_or(EventProblem::UnknownList(number))?;
        let mut endpoints = Vec::with_capacity(list.len());
        for entry in list {
            endpoints.push(self.read_endpoint(entry)?);
        }
        let update = match &*kind {
            "patch" => EndpointUpdate::Changes(&endpoints),
            "whole" => EndpointUpdate::Complete(&endpoints),
            "stale_copy" => EndpointUpdate::Cached(&endpoints),
            other => return Err(EventProblem::UnknownValue { field: "How", value: other.to_owned() }),
        };
        self.router.on_endpoint_update(now, update);
        Ok(())
    }

    fn read_endpoint(&mut self, entry: &ListLine) -> Result<Endpoint, EventProblem> {
        let member = MemberId(self.members.intern(&entry.member));
        Ok(Endpoint {
            member,
            id_hash: self.gossip_codec.id_hashes.insert(&entry.member, member.0),
            zone: self.zones.intern(&entry.zone),
            concurrency: entry.weight.filter(|&weight| self.weights_are_concurrency && weight > 0.0),
            group: group_index(&mut self.groups, entry.group),
            primary: entry.primary.unwrap_or(0.0) >= FLAG_THRESHOLD,
            state: parse_endpoint_state(&entry.state)?,
            started_at: entry.started_at.filter(|&at| at != 0).map(Time::from_nanos),
            machine_kind: self.machine_kinds.intern(&entry.machine_kind),
        })
    }

    fn find_member(&self, name: Option<&str>) -> Result<MemberId, EventProblem> {
        let name = require(name, "Node")?;
        let index = self.members.get(name);
        index.map(MemberId).ok_or_else(|| EventProblem::UnknownMember(name.to_owned()))
    }

    fn encode_decision(&mut self, rpc: RpcId, decision: Decision) {
        let Some(request_id) = self.rpcs.request_id(rpc).cloned() else { return };
        let (router, request_id) = (self.name.as_str(), request_id.as_str());
        let active = self.rpcs.get_mut(request_id).ok();
        match decision {
            Decision::Attempt { member, timeout } => {
                let member = self.members.name(member.0);
                let timeout = timeout.map_or(0, |timeout| timeout.nanos().max(1));
                Action::Attempt { router, request_id, member, timeout }.write(&mut self.actions);
                if let Some(active) = active {
                    active.attempts_in_flight += 1;
                }
                return;
            }
            Decision::Queue | Decision::AlreadyAnswered => return,
            Decision::Reject { retry_after } => {
                let retry_after = retry_after.nanos();
                Action::Reject { router, request_id, retry_after }.write(&mut self.actions);
            }
            Decision::Fail => Action::Fail { router, request_id }.write(&mut self.actions),
        }
        if let Some(active) = active {
            active.is_answered = true;
        }
        self.rpcs.remove_if_done(request_id);
    }
}
