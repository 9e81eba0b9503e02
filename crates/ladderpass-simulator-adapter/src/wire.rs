//! From events to calls on a router, and from its results to actions.

use crate::lines::{Line, ListLine};
use ladderpass_config::names::{NameIndex, group_index};
use ladderpass_config::{self as settings, gossip::GossipCodec};
use ladderpass_routing::{
    Arrival, AttemptOutcome, AttemptResult, Decision, Endpoint, EndpointState, EndpointUpdate, LoadReport,
    MemberId, Role, Router, RpcId, Span, Time,
};
use serde_json::Value;
use std::collections::HashMap;
use std::fmt::Write;
use std::panic::{AssertUnwindSafe, catch_unwind};

type Fault = String;

/// All instances in this process; they share the numbered lists of the wire and nothing else.
#[derive(Default)]
pub struct Tier {
    now: Option<Time>,
    lists: HashMap<u32, Vec<ListLine<'static>>>,
    instances: HashMap<String, Instance>,
    /// Instances with an event in this batch, in the order of their first one.
    awake: Vec<String>,
    broken: Vec<(String, String)>,
}

/// One instance: its router, and the small indices that stand for the wire's ids.
struct Instance {
    router: Router,
    in_batch: bool,
    actions: String,
    methods: HashMap<String, u32>,
    zero: Time,
    told: bool,
    column_position: Option<usize>,
    column_primary: Option<usize>,
    column_holds: Option<usize>,
    nodes: NameIndex,
    kinds: NameIndex,
    zones: NameIndex,
    /// Sizes in the list are the registered ones.
    sized: bool,
    circle: GossipCodec,
    groups: HashMap<u64, u32>,
    sessions: NameIndex,
    /// Not yet concluded, or with a call-out still out.
    rpcs: HashMap<String, Held>,
    names: HashMap<RpcId, String>,
    /// The earliest timer that is set, and the handle of the one set last.
    timer: Option<Time>,
    handle: i64,
}

struct Held {
    rpc: RpcId,
    ended: bool,
    out: u32,
}

fn need<T>(value: Option<T>, field: &str) -> Result<T, Fault> {
    value.ok_or_else(|| format!("{field} is missing"))
}

fn quoted(text: &str) -> String {
    Value::from(text).to_string()
}

impl Tier {
    /// Takes one line; true once it ended a batch and `reply` holds the answer.
    pub fn line(&mut self, text: &str, reply: &mut String) -> Result<bool, Fault> {
        let line: Line = serde_json::from_str(text).map_err(|fault| {
            let kind = serde_json::from_str::<Value>(text).ok();
            let kind = kind.as_ref().and_then(|v| v.get("kind")).and_then(Value::as_str);
            format!("{}: malformed line: {fault}", kind.unwrap_or("line without a kind"))
        })?;
        let kind = line.kind.clone().into_owned();
        match kind.as_str() {
            "TICK" => {
                self.now = Some(Time::from_nanos(need(line.at, "AtTime").map_err(|f| format!("TICK: {f}"))?));
                Ok(false)
            }
            "END" => {
                self.finish(reply);
                Ok(true)
            }
            _ => self.event(&kind, line).map(|()| false).map_err(|fault| format!("{kind}: {fault}")),
        }
    }

    fn event(&mut self, kind: &str, line: Line) -> Result<(), Fault> {
        let now = need(self.now, "the TICK before it")?;
        if kind == "ROSTER" {
            let entries = need(line.entries, "Entries")?;
            self.lists.insert(need(line.buffer, "Buffer")?, entries.iter().map(own).collect());
            return Ok(());
        }
        let known = [
            "CREATE",
            "FLEET",
            "ASK",
            "VERDICT",
            "PROBE_DONE",
            "HEAD_RECEIVED",
            "TICK_DUE",
            "WHISPER",
            "LAPSED",
            "DETACH",
        ];
        if !known.contains(&kind) {
            return Err("unknown kind; passed over".into());
        }
        let who = need(line.who.as_deref(), "Who")?.to_owned();
        if kind == "CREATE" {
            let salt = need(line.salt, "Salt")?;
            let salt = salt
                .as_u64()
                .or_else(|| salt.as_i64().map(|s| s as u64))
                .ok_or("Salt is not a whole number")?;
            let instance = Instance::new(salt, &need(line.info, "Info")?, now)?;
            self.instances.insert(who.clone(), instance);
            self.mark_awake(&who);
            return Ok(());
        }
        let instance =
            self.instances.get_mut(&who).ok_or_else(|| format!("{who} has no CREATE before this"))?;
        if kind == "DETACH" {
            self.instances.remove(&who);
            self.awake.retain(|name| *name != who);
            return Ok(());
        }
        let lists = &self.lists;
        let result = catch_unwind(AssertUnwindSafe(|| instance.event(now, kind, line, lists)));
        match result {
            Ok(done) => {
                self.mark_awake(&who);
                done
            }
            Err(panic) => {
                self.fail(&who, panic);
                Ok(())
            }
        }
    }

    fn mark_awake(&mut self, who: &str) {
        if let Some(instance) = self.instances.get_mut(who)
            && !instance.in_batch
        {
            instance.in_batch = true;
            self.awake.push(who.to_owned());
        }
    }

    fn fail(&mut self, who: &str, panic: Box<dyn std::any::Any + Send>) {
        let text = panic
            .downcast_ref::<&str>()
            .map(|text| (*text).to_owned())
            .or_else(|| panic.downcast_ref::<String>().cloned())
            .unwrap_or_else(|| "the decision module failed".to_owned());
        eprintln!("ladderpass: {who}: {text}");
        self.broken.push((who.to_owned(), text));
        self.instances.remove(who);
        self.awake.retain(|name| name != who);
    }

    fn finish(&mut self, reply: &mut String) {
        for who in std::mem::take(&mut self.awake) {
            let Some(now) = self.now else { continue };
            let Some(instance) = self.instances.get_mut(&who) else { continue };
            instance.in_batch = false;
            match catch_unwind(AssertUnwindSafe(|| instance.tend(&who, now))) {
                Ok(()) => reply.push_str(&instance.take_actions(&who)),
                Err(panic) => self.fail(&who, panic),
            }
        }
        for (who, text) in self.broken.drain(..) {
            let _ =
                writeln!(reply, r#"{{"kind":"BROKEN","Who":{},"NoteText":{}}}"#, quoted(&who), quoted(&text));
        }
        reply.push_str("{\"kind\":\"END\"}\n");
    }
}

fn own(line: &ListLine) -> ListLine<'static> {
    ListLine {
        node: line.node.clone().into_owned().into(),
        kind: line.kind.clone().into_owned().into(),
        primary: line.primary,
        group: line.group,
        size: line.size,
        zone: line.zone.clone().into_owned().into(),
        standing: line.standing.clone().into_owned().into(),
        born: line.born,
    }
}

impl Instance {
    fn new(salt: u64, info: &Value, now: Time) -> Result<Instance, Fault> {
        let facts = settings::read(info).map_err(|fault| format!("Info: {fault}"))?;
        let mut zones = NameIndex::default();
        zones.intern(facts.zone.as_deref().unwrap_or_default());
        let column = |name: &str| facts.report_columns.iter().position(|c| c == name);
        Ok(Instance {
            column_position: column(settings::POSITION_COLUMN),
            column_primary: column(settings::PRIMARY_COLUMN),
            column_holds: column(settings::IN_FLIGHT_COLUMN),
            router: Router::start(now, salt, facts.deployment),
            in_batch: false,
            actions: String::new(),
            methods: facts.method_names.into_iter().zip(0..).collect(),
            zero: facts.clock_origin,
            told: facts.answers_report_position,
            nodes: NameIndex::default(),
            kinds: NameIndex::default(),
            zones,
            sized: facts.weights_are_concurrency,
            circle: GossipCodec::new(facts.clock_origin, facts.zone.as_deref().unwrap_or_default()),
            groups: HashMap::new(),
            sessions: NameIndex::default(),
            rpcs: HashMap::new(),
            names: HashMap::new(),
            timer: None,
            handle: 0,
        })
    }

    fn event(
        &mut self,
        now: Time,
        kind: &str,
        line: Line,
        lists: &HashMap<u32, Vec<ListLine<'static>>>,
    ) -> Result<(), Fault> {
        match kind {
            "ASK" => self.ask(now, line),
            "VERDICT" => self.verdict(now, line),
            "PROBE_DONE" => self.probed(now, line),
            "FLEET" => self.fleet(now, line, lists),
            "LAPSED" => {
                let id = need(line.id, "RequestId")?;
                if let Some(held) = self.rpcs.get_mut(&*id)
                    && !held.ended
                {
                    held.ended = true;
                    held.rpc.abandon(&mut self.router);
                    self.drop_if_over(&id);
                }
                Ok(())
            }
            "TICK_DUE" => {
                // Goes by the handle: times are rounded on the way, so it may come a little before its time.
                if need(line.handle, "Handle")? == self.handle {
                    self.timer = None;
                }
                Ok(())
            }
            "WHISPER" => self.whisper(now, line),
            _ => Ok(()), // HEAD_RECEIVED: no method here streams
        }
    }

    fn node(&self, name: Option<&str>) -> Result<MemberId, Fault> {
        let name = need(name, "Node")?;
        self.nodes.get(name).map(MemberId).ok_or_else(|| format!("unknown node {name:?}"))
    }

    fn ask(&mut self, now: Time, line: Line) -> Result<(), Fault> {
        let id = need(line.id, "RequestId")?;
        let method = need(line.method, "Service")?;
        let method =
            *self.methods.get(&*method).ok_or_else(|| format!("unknown class {method:?} in Service"))?;
        let due = Time::from_nanos(need(line.due, "Due")?);
        let group = need(line.group, "Cluster")?;
        if self.rpcs.contains_key(&*id) {
            return Err(format!("RequestId {id:?} was given before"));
        }
        let arrival = Arrival {
            method,
            group: group_index(&mut self.groups, group),
            deadline: due,
            router_overload: None,
            fleet_overload: None,
            admission_draw: None,
            is_client_retry: line.resent.unwrap_or(false),
            session: line.session.as_ref().map(|key| self.sessions.intern(key)),
            last_write_age: line
                .last_write_ms
                .filter(|&ms| ms > 0.0)
                .map(|ms| Span::from_nanos((ms * 1e6).ceil() as i64)),
        };
        let (rpc, decision) = self.router.accept(now, arrival);
        self.rpcs.insert(id.to_string(), Held { rpc, ended: false, out: 0 });
        self.names.insert(rpc, id.into_owned());
        self.encode(rpc, decision);
        Ok(())
    }

    fn verdict(&mut self, now: Time, line: Line) -> Result<(), Fault> {
        let id = need(line.id, "RequestId")?;
        let member = self.node(line.node.as_deref())?;
        let code = need(line.code, "StateCode")?;
        need(line.callout, "Attempt")?;
        let took = Span::from_nanos(need(line.took, "Elapsed")?);
        let held = self.rpcs.get_mut(&*id).ok_or_else(|| format!("unknown RequestId {id:?}"))?;
        let ended = ended(&code)?;
        if held.out == 0 {
            return Err(format!("RequestId {id:?} has no attempt out"));
        }
        held.out -= 1;
        let complete = line.complete.unwrap_or(false);
        held.ended |= complete;
        let rpc = held.rpc;
        let note = line.note.filter(|&note| note >= 0);
        let position = note.map(|n| n / 4).filter(|&ms| ms > 0 || (self.told && note.is_some()));
        let outcome = AttemptResult {
            retry_denied: false,
            member,
            outcome: ended,
            latency: took,
            rpc_complete: complete,
            role: note.and_then(|n| match n % 4 {
                1 => Some(Role::Primary),
                2 => Some(Role::Replica),
                _ => None,
            }),
            position: position.map(|ms| self.zero + Span::from_millis(ms)),
        };
        let decision = rpc.on_attempt_ended(&mut self.router, now, outcome);
        self.encode(rpc, decision);
        self.drop_if_over(&id);
        Ok(())
    }

    fn drop_if_over(&mut self, id: &str) {
        if let Some(held) = self.rpcs.get(id)
            && held.ended
            && held.out == 0
        {
            self.names.remove(&held.rpc);
            self.rpcs.remove(id);
        }
    }

    fn probed(&mut self, now: Time, line: Line) -> Result<(), Fault> {
        let member = self.node(line.node.as_deref())?;
        let ended = ended(&need(line.code, "StateCode")?)?;
        let took = Span::from_nanos(need(line.took, "Elapsed")?);
        let row = line.report.as_deref().unwrap_or(&[]);
        let cell = |column: Option<usize>| column.and_then(|c| row.get(c).copied().flatten());
        let report = LoadReport {
            position: cell(self.column_position).map(|secs| self.zero + Span::from_secs_f64(secs)),
            is_primary: cell(self.column_primary).map(|flag| flag >= 0.5),
            in_flight: cell(self.column_holds),
        };
        self.router.on_health_check_ended(now, member, ended, took, report);
        Ok(())
    }

    /// What another instance was told; what can't be read, or names no node of this one's lists, is dropped.
    fn whisper(&mut self, now: Time, line: Line) -> Result<(), Fault> {
        for news in self.circle.decode(&need(line.payload, "Payload")?, now) {
            self.router.on_peer_update(now, news);
        }
        Ok(())
    }

    fn fleet(
        &mut self,
        now: Time,
        line: Line,
        lists: &HashMap<u32, Vec<ListLine<'static>>>,
    ) -> Result<(), Fault> {
        let how = need(line.how, "How")?;
        if how == "broken" {
            self.router.on_endpoint_update(now, EndpointUpdate::Failed { silent: false });
            return Ok(());
        }
        let number = need(line.buffer, "Buffer")?;
        let list = lists.get(&number).ok_or_else(|| format!("no ROSTER {number} before this"))?;
        let mut entries = Vec::with_capacity(list.len());
        for entry in list {
            let member = MemberId(self.nodes.intern(&entry.node));
            let mark = self.circle.id_hashes.insert(&entry.node, member.0);
            entries.push(Endpoint {
                member,
                id_hash: mark,
                zone: self.zones.intern(&entry.zone),
                concurrency: entry.size.filter(|&size| self.sized && size > 0.0),
                group: group_index(&mut self.groups, entry.group),
                primary: entry.primary.unwrap_or(0.0) >= 0.5,
                state: match &*entry.standing {
                    "on" => EndpointState::Active,
                    "fading" => EndpointState::Draining,
                    "off" => EndpointState::Removed,
                    other => return Err(format!("unknown StageState {other:?}")),
                },
                started_at: entry.born.filter(|&at| at != 0).map(Time::from_nanos),
                machine_kind: self.kinds.intern(&entry.kind),
            });
        }
        let news = match &*how {
            "patch" => EndpointUpdate::Changes(&entries),
            "whole" => EndpointUpdate::Complete(&entries),
            "stale_copy" => EndpointUpdate::Cached(&entries),
            other => return Err(format!("unknown How {other:?}")),
        };
        self.router.on_endpoint_update(now, news);
        Ok(())
    }

    fn tend(&mut self, who: &str, now: Time) {
        let upkeep = self.router.tick(now);
        for (rpc, decision) in upkeep.decisions {
            self.encode(rpc, decision);
        }
        let who = quoted(who);
        let out = &mut self.actions;
        for member in upkeep.health_checks {
            let node = quoted(self.nodes.name(member.0));
            let _ = writeln!(out, r#"{{"kind":"TOUCH","Who":{who},"Node":{node}}}"#);
        }
        for text in self.circle.encode(&upkeep.gossip, &self.nodes) {
            let text = quoted(&text);
            let _ = writeln!(out, r#"{{"kind":"PUBLISH","Who":{who},"Dest":-1,"Payload":{text}}}"#);
        }
        if upkeep.poll_endpoints {
            let _ = writeln!(out, r#"{{"kind":"OBSERVE","Who":{who},"Enable":true}}"#);
        }
        for note in upkeep.log_messages {
            let note = self.nodes.expand_names(&note);
            let _ = writeln!(out, r#"{{"kind":"WRITE_LOG","Who":{who},"NoteText":{}}}"#, quoted(&note));
        }
        if let Some(at) = upkeep.wake_at
            && self.timer.is_none_or(|set| at < set)
        {
            let delay = (at - now).nanos().max(1);
            self.handle += 1;
            let handle = self.handle;
            let _ = writeln!(out, r#"{{"kind":"NOTIFY_ME","Who":{who},"Delay":{delay},"Handle":{handle}}}"#);
            self.timer = Some(now + Span::from_nanos(delay));
        }
    }

    /// Writes a decision as an action; the instance's name is filled in when the batch ends.
    fn encode(&mut self, rpc: RpcId, decision: Decision) {
        let Some(id) = self.names.get(&rpc) else { return };
        let id_text = quoted(id);
        let held = self.rpcs.get_mut(id);
        let out = &mut self.actions;
        match decision {
            Decision::Attempt { member, timeout: limit } => {
                let node = quoted(self.nodes.name(member.0));
                let limit = limit.map_or(0, |span| span.nanos().max(1));
                let _ = writeln!(
                    out,
                    r#"{{"kind":"SUBMIT_TO","Who":@,"RequestId":{id_text},"Node":{node},"TryFor":{limit}}}"#
                );
                if let Some(held) = held {
                    held.out += 1;
                }
                return;
            }
            Decision::Queue | Decision::AlreadyAnswered => return,
            Decision::Reject { retry_after: come_back } => {
                let after = come_back.nanos();
                let _ =
                    writeln!(out, r#"{{"kind":"NOT_NOW","Who":@,"RequestId":{id_text},"ComeBack":{after}}}"#);
            }
            Decision::Fail => {
                let _ = writeln!(out, r#"{{"kind":"FINISH_ERROR","Who":@,"RequestId":{id_text}}}"#);
            }
        }
        if let Some(held) = held {
            held.ended = true;
        }
        let id = id.clone();
        self.drop_if_over(&id);
    }

    fn take_actions(&mut self, who: &str) -> String {
        let filled = self.actions.replace(r#""Who":@"#, &format!(r#""Who":{}"#, quoted(who)));
        self.actions.clear();
        filled
    }
}

fn ended(code: &str) -> Result<AttemptOutcome, Fault> {
    Ok(match code {
        "success" => AttemptOutcome::Ok,
        "failure" => AttemptOutcome::Failed,
        "overloaded" => AttemptOutcome::Rejected,
        "timed_out" => AttemptOutcome::TimedOut,
        "unreachable" => AttemptOutcome::Unreachable,
        "broken" => AttemptOutcome::ConnectionLost,
        "withdrawn" => AttemptOutcome::Cancelled,
        "void" => AttemptOutcome::NeverSent,
        "absent" => AttemptOutcome::NotServedHere,
        other => return Err(format!("unknown StateCode {other:?}")),
    })
}
