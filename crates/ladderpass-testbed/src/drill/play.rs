//! Plays a drill: brings up members, discovery, the fault tool, routers and clients, does the deeds, judges what was seen.
//!
//! It owns the processes and threads of a run, and ends all of them however the run ends. It must never judge by a
//! router's words, but for its view of who is alive, which is what that shows.

use super::{Deed, Drill};
use crate::joint::{Absence, Drained, History, Started};
use crate::load::{self, Down, Front, Outcome, Plan};
use crate::router::{Router, Start, own_address};
use ladderpass_emulator::{ExecutionLog, Input, RunningEmulator, now};
use ladderpass_fault_injection as faults;
use ladderpass_fault_injection::driver;
use ladderpass_fault_injection::plan::LinkShape;
use ladderpass_fault_injection::{DatagramAction as Done, DatagramRule, End, Protocol, TrafficCounts};
use ladderpass_invariants::{Tolerance, Violation};
use ladderpass_routing::{Span, Time};
use nix::sys::signal::Signal;
use std::collections::HashMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Which programs are started.
#[derive(Clone, Copy)]
pub struct Programs<'a> {
    pub router: &'a Path,
    /// One built with the feature `faulty`: for switches and clocks that are off.
    pub faulty: Option<&'a Path>,
    pub earlier: Option<&'a Path>,
}

/// A router's view of who is alive, as it logged it.
#[derive(Clone, Debug, PartialEq)]
pub struct Viewed {
    pub at: Time,
    pub digest: u32,
    pub count: usize,
    /// Addresses of the line, with what became of each.
    pub names: Vec<(SocketAddr, String)>,
}

pub struct Played {
    pub outcome: Outcome,
    /// Of those that went straight to the members.
    pub greedy: Option<Outcome>,
    pub truth: ExecutionLog,
    pub violations: Vec<Violation>,
    /// By router: violations of rule 4 by what it alone sent.
    pub cold_alone: Vec<usize>,
    /// The members that started cold.
    pub started: Vec<Started>,
    /// By router, in order; a router that was started again goes on in its list.
    pub views: Vec<Vec<Viewed>>,
    pub logs: Vec<Vec<String>>,
    /// By router: where the others send datagrams to it.
    pub addresses: Vec<SocketAddr>,
    /// Datagrams of each router, at the start of the load and at its end.
    pub sent: Vec<(TrafficCounts, TrafficCounts)>,
    pub datagram_hits: Vec<(String, u64)>,
    /// CPU seconds of each router over the load.
    pub cpu: Vec<f64>,
    /// When each deed was done, and each end of one.
    pub done: Vec<(Time, String)>,
    /// How long the routers took to find each other.
    pub settled: Option<Span>,
    pub absences: Vec<Absence>,
    pub alive: Vec<bool>,
    /// Routers that ended though nobody had ended them.
    pub fallen: Vec<String>,
}

/// Set by ctrl-C: what runs is ended and nothing left behind.
pub fn interrupted() -> &'static Arc<AtomicBool> {
    static FLAG: std::sync::OnceLock<Arc<AtomicBool>> = std::sync::OnceLock::new();
    FLAG.get_or_init(|| {
        let flag = Arc::new(AtomicBool::new(false));
        for signal in [signal_hook::consts::SIGINT, signal_hook::consts::SIGTERM] {
            // Where it can't be had, the process ends as it would without.
            let _ = signal_hook::flag::register(signal, flag.clone());
        }
        flag
    })
}

/// How long the load runs on after the last phase, at most; and how long a router has to end by itself.
const LOOK: Duration = Duration::from_millis(5);

struct Stage<'a> {
    drill: &'a Drill,
    programs: Programs<'a>,
    seed: u64,
    fleet: RunningEmulator,
    /// The links of the front, and those of the routers.
    fronts: driver::RunningTool,
    links: driver::RunningTool,
    members: Vec<Vec<SocketAddr>>,
    discoveries: Vec<SocketAddr>,
    starts: Vec<Start>,
    routers: Vec<Option<Router>>,
    logs: Vec<Vec<String>>,
    down: Arc<Down>,
    absences: Vec<Absence>,
    drained: Vec<Drained>,
    done: Vec<(Time, String)>,
    hogs: Vec<Arc<AtomicBool>>,
    cpu_before: Vec<f64>,
    /// Routers that were told to end.
    leaving: Vec<bool>,
}

pub fn play(drill: &Drill, programs: Programs<'_>, seed: u64) -> io::Result<Played> {
    play_with(drill, programs, seed, |_| {})
}

/// `tell` hears how far the load is, in seconds.
pub fn play_with(
    drill: &Drill,
    programs: Programs<'_>,
    seed: u64,
    tell: impl FnMut(f64) + Send,
) -> io::Result<Played> {
    drill.check().map_err(io::Error::other)?;
    let mut stage = Stage::set(drill, programs, seed)?;
    let settled = stage.settle()?;
    std::thread::sleep(Duration::from_secs_f64(drill.rests_s));
    let mesh = |stage: &Stage<'_>| stage.links.datagrams.as_ref().map_or(Vec::new(), |mesh| mesh.traffic());
    let sent_before = mesh(&stage);
    for nth in 0..drill.routers {
        stage.cpu_before[nth] = stage.routers[nth].as_ref().map_or(0.0, |router| router.used().0);
    }
    let stop = Arc::new(AtomicBool::new(false));
    let plan = Plan {
        connections: drill.clients,
        pipeline: 1,
        deadline: Span::from_millis(i64::from(drill.deadline_ms)),
        repeats: drill.repeats,
        journal: true,
        stop: Some(stop.clone()),
        ..crate::bed::open(seed, &drill.phases)
    };
    let front = Front {
        routers: stage.fronts.addresses.clone(),
        weights: drill.weights(),
        roaming: drill.roaming,
        stays: Span::from_secs_f64(drill.stays_s),
        notices: Span::from_millis(drill.notices_ms as i64),
        down: stage.down.clone(),
    };
    let greedy = Plan {
        connections: drill.clients * 2,
        seed: !seed,
        ..crate::bed::open(!seed, &[(drill.secs(), drill.greedy)])
    };
    let greedy = Plan { pipeline: 1, deadline: plan.deadline, stop: plan.stop.clone(), ..greedy };
    let straight =
        Front { routers: stage.fleet.addresses.clone(), ..Front::single(stage.fleet.addresses[0]) };
    let (outcome, greedy, deeds) = std::thread::scope(|scope| {
        let (scenario, front, plan) = (&drill.scenario, &front, &plan);
        let (greedy, straight) = (&greedy, &straight);
        let greed = (drill.greedy > 0.0)
            .then(|| scope.spawn(move || load::run_before(scenario, straight, greedy, |_| {})));
        let load = scope.spawn(move || load::run_before(scenario, front, plan, tell));
        let deeds = stage.do_all(&load, &stop);
        stop.fetch_or(deeds.is_err(), Ordering::Relaxed);
        let outcome = load.join().unwrap_or_else(|_| Err(io::Error::other("the load failed")));
        let greedy = greed.and_then(|greed| greed.join().ok());
        (outcome, greedy, deeds)
    });
    deeds?;
    let (outcome, greedy) = (outcome?, greedy.transpose()?);
    // Views that are on their way to the log.
    std::thread::sleep(Duration::from_millis(50));
    let sent = sent_before.into_iter().zip(mesh(&stage)).collect();
    Ok(Played { greedy, ..stage.end(outcome, settled, sent)? })
}

impl<'a> Stage<'a> {
    fn set(drill: &'a Drill, programs: Programs<'a>, seed: u64) -> io::Result<Stage<'a>> {
        let scenario = ladderpass_emulator::Scenario { history: true, ..drill.scenario.clone() };
        let fleet = RunningEmulator::start_with_lists(scenario, seed, Ipv4Addr::LOCALHOST, drill.routers)?;
        let listen = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let addresses = (0..drill.routers).map(|_| own_address()).collect::<io::Result<Vec<_>>>()?;
        let front = |(nth, &to): (usize, &SocketAddr)| LinkShape {
            name: format!("front>r{nth}"),
            listen,
            to,
            protocol: Protocol::Postgres,
        };
        let links = addresses.iter().enumerate().map(front).collect();
        let fronts = driver::RunningTool::start(faults::Plan { seed, links, ..Default::default() }, None)?;
        let (mut links, mut ends) = (Vec::new(), Vec::new());
        let members = drill.scenario.member_count();
        for (nth, address) in addresses.iter().enumerate() {
            for (member, &to) in fleet.addresses.iter().enumerate() {
                let name = format!("r{nth}>member-{member}");
                links.push(LinkShape { name, listen, to, protocol: Protocol::Postgres });
            }
            let to = fleet.discoveries[nth];
            links.push(LinkShape { name: format!("r{nth}>discovery"), listen, to, protocol: Protocol::Http });
            // The same port for datagrams: nobody else has the address.
            ends.push(End { name: format!("r{nth}"), address: listen, to: *address });
        }
        let links =
            driver::RunningTool::start(faults::Plan { seed, links, ends, ..Default::default() }, None)?;
        let told = links.datagrams.as_ref().map_or(Vec::new(), |mesh| mesh.addresses.clone());
        links.send_command("watch").map_err(io::Error::other)?;
        let own = |nth: usize| &links.addresses[nth * (members + 1)..(nth + 1) * (members + 1)];
        let (mut all_members, mut discoveries) = (Vec::new(), Vec::new());
        for nth in 0..drill.routers {
            let (of_members, discovery) = own(nth).split_at(members);
            fleet.set_list_addresses(nth, of_members);
            all_members.push(of_members.to_vec());
            discoveries.extend_from_slice(discovery);
        }
        let starts = (0..drill.routers)
            .map(|nth| start(drill, programs, nth, addresses[nth], &told))
            .collect::<io::Result<Vec<_>>>()?;
        let mut stage = Stage {
            drill,
            programs,
            seed,
            fleet,
            fronts,
            links,
            members: all_members,
            discoveries,
            starts,
            routers: (0..drill.routers).map(|_| None).collect(),
            logs: vec![Vec::new(); drill.routers],
            down: Arc::default(),
            absences: Vec::new(),
            drained: Vec::new(),
            done: Vec::new(),
            hogs: Vec::new(),
            cpu_before: vec![0.0; drill.routers],
            leaving: vec![false; drill.routers],
        };
        // All at once, as after a power cut.
        for nth in 0..drill.routers {
            stage.routers[nth] = Some(stage.spawn(nth)?);
        }
        for router in stage.routers.iter_mut().flatten() {
            router.wait_until_it_serves()?;
        }
        Ok(stage)
    }

    fn spawn(&self, nth: usize) -> io::Result<Router> {
        let named = |fault: io::Error| io::Error::new(fault.kind(), format!("r{nth}: {fault}"));
        let seed = self.seed.wrapping_add(1000 + nth as u64);
        let (scenario, start) = (&self.drill.scenario, &self.starts[nth]);
        Router::spawn(scenario, &self.members[nth], self.discoveries[nth], start, seed).map_err(named)
    }

    /// Waits until all routers count on the same ones; how long that took.
    fn settle(&mut self) -> io::Result<Option<Span>> {
        let alike = self.drill.earlier.is_empty() && self.drill.quiet.is_empty();
        if !self.drill.peers || !alike {
            std::thread::sleep(Duration::from_secs_f64(self.drill.settles_s.min(2.0)));
            return Ok(None);
        }
        let began = Instant::now();
        let most = Duration::from_secs_f64(self.drill.settles_s);
        while began.elapsed() < most {
            self.look()?;
            let last = |router: &Router| router.log().iter().rev().find_map(|line| viewed(line));
            let views: Vec<Option<Viewed>> =
                self.routers.iter().map(|router| router.as_ref().and_then(last)).collect();
            let first = views.first().cloned().flatten();
            let same = |view: &Option<Viewed>| {
                let pair = |view: &Option<Viewed>| view.as_ref().map(|view| (view.digest, view.count));
                pair(view) == pair(&first)
            };
            if first.as_ref().is_some_and(|view| view.count == self.drill.routers) && views.iter().all(same) {
                return Ok(Some(Span::from_nanos(began.elapsed().as_nanos() as i64)));
            }
            std::thread::sleep(LOOK);
        }
        Ok(None)
    }

    /// Guards against a drill that goes on without its routers, or past ctrl-C.
    fn look(&mut self) -> io::Result<()> {
        if interrupted().load(Ordering::Relaxed) {
            return Err(io::Error::new(io::ErrorKind::Interrupted, "interrupted"));
        }
        Ok(())
    }

    /// Does each deed at its time, and ends it at its end, until the load is over.
    fn do_all<T>(
        &mut self,
        load: &std::thread::ScopedJoinHandle<'_, T>,
        stop: &AtomicBool,
    ) -> io::Result<()> {
        let mut plan: Vec<(f64, usize, bool)> = Vec::new();
        for (nth, deed) in self.drill.deeds.iter().enumerate() {
            plan.push((deed.at, nth, true));
            if deed.lasts > 0.0 {
                plan.push((deed.at + deed.lasts, nth, false));
            }
        }
        plan.sort_by(|one, other| one.0.total_cmp(&other.0));
        plan.reverse();
        // The load lets connections open for a moment first.
        let began = Instant::now() + Duration::from_millis(100);
        while !load.is_finished() {
            self.look().inspect_err(|_| stop.store(true, Ordering::Relaxed))?;
            let passed = Instant::now().saturating_duration_since(began).as_secs_f64();
            while let Some((_, nth, begins)) = plan.pop_if(|(at, ..)| *at <= passed) {
                let deed = &self.drill.deeds[nth];
                let name = if begins { deed.name() } else { format!("end of {}", deed.name()) };
                self.done.push((now(), name));
                let done = if begins { self.begin(nth, deed) } else { self.finish(nth, deed) };
                done.inspect_err(|_| stop.store(true, Ordering::Relaxed))?;
            }
            std::thread::sleep(LOOK);
        }
        Ok(())
    }

    fn named<'b>(&self, names: &'b [String]) -> impl Iterator<Item = usize> + use<'b> {
        let drill = self.drill.clone();
        names.iter().filter_map(move |name| drill.router(name))
    }

    fn signal(&self, nth: usize, signal: Signal) -> io::Result<()> {
        match &self.routers[nth] {
            Some(router) => router.signal(signal),
            None => Ok(()),
        }
    }

    fn begin(&mut self, nth: usize, deed: &Deed) -> io::Result<()> {
        for router in self.named(&deed.kill) {
            self.end_router(router);
        }
        for router in self.named(&deed.freeze) {
            self.signal(router, Signal::SIGSTOP)?;
            self.away(router, false);
        }
        for router in self.named(&deed.term) {
            self.leaving[router] = true;
            self.down.went(router);
            self.away(router, true);
            self.signal(router, Signal::SIGTERM)?;
        }
        for router in self.named(&deed.hup) {
            self.signal(router, Signal::SIGHUP)?;
        }
        for router in self.named(&deed.start) {
            self.start_again(router, deed.clock_ms)?;
        }
        for _ in 0..deed.hog {
            let stop = Arc::new(AtomicBool::new(false));
            self.hogs.push(stop.clone());
            std::thread::spawn(move || {
                let mut sum = 0u64;
                while !stop.load(Ordering::Relaxed) {
                    sum = std::hint::black_box(sum.wrapping_mul(31).wrapping_add(7));
                }
            });
        }
        let cut = |links: &driver::RunningTool, link: &str| links.send_command(&format!("cut {link}"));
        for link in self.links_of(deed) {
            let tool = if link.starts_with("front>") { &self.fronts } else { &self.links };
            cut(tool, &link).map_err(io::Error::other)?;
            if let Some(router) = link.strip_prefix("front>").and_then(|name| self.drill.router(name)) {
                self.away(router, false);
            }
        }
        for rule in datagram_rules(nth, deed) {
            if let Some(mesh) = &self.links.datagrams {
                mesh.add_rule(rule).map_err(io::Error::other)?;
            }
        }
        if let Some(rule) = &deed.rule {
            let text = serde_json::to_string(rule).map_err(io::Error::other)?;
            self.links.send_command(&format!("add {text}")).map_err(io::Error::other)?;
        }
        if let Some(member) = deed.drain {
            self.fleet.drain(member);
            let at = now();
            for router in 0..self.drill.routers {
                self.drained.push(Drained { router, member, at });
            }
        }
        if let Some(member) = deed.ends {
            self.fleet.apply(member, Input::Crash);
        }
        if let Some(member) = deed.begins {
            self.fleet.apply(member, Input::Restart);
        }
        if let Some((router, line)) = &deed.line
            && let Some(router) = self.drill.router(router)
        {
            self.fleet.send_line(router, line);
        }
        Ok(())
    }

    fn finish(&mut self, nth: usize, deed: &Deed) -> io::Result<()> {
        for router in self.named(&deed.freeze) {
            self.signal(router, Signal::SIGCONT)?;
            self.back(router);
        }
        if deed.hog > 0 {
            self.hogs.drain(..).for_each(|hog| hog.store(true, Ordering::Relaxed));
        }
        for link in self.links_of(deed) {
            let tool = if link.starts_with("front>") { &self.fronts } else { &self.links };
            tool.send_command(&format!("heal {link}")).map_err(io::Error::other)?;
            if let Some(router) = link.strip_prefix("front>").and_then(|name| self.drill.router(name)) {
                self.back(router);
            }
        }
        for rule in datagram_rules(nth, deed) {
            if let Some(mesh) = &self.links.datagrams {
                mesh.lift_rule(&rule.name);
            }
        }
        Ok(())
    }

    /// Links that a deed cuts.
    fn links_of(&self, deed: &Deed) -> Vec<String> {
        let mut links = self.drill.split_links(&deed.split);
        links.extend(deed.cut.iter().filter_map(|(one, other)| self.drill.link(one, other)));
        links
    }

    fn away(&mut self, router: usize, planned: bool) {
        let (from, to) = (now(), Time::from_nanos(i64::MAX / 2));
        self.absences.push(Absence { router, from, to, planned });
    }

    fn back(&mut self, router: usize) {
        let at = now();
        let open = |absence: &&mut Absence| absence.router == router && absence.to > at;
        self.absences.iter_mut().filter(open).for_each(|absence| absence.to = at);
    }

    fn end_router(&mut self, nth: usize) {
        if let Some(router) = self.routers[nth].take() {
            // It is gone before anyone is told.
            self.away(nth, false);
            self.logs[nth].extend(router.stop());
            self.down.went(nth);
        }
    }

    fn start_again(&mut self, nth: usize, clock_ms: i32) -> io::Result<()> {
        self.end_router(nth);
        self.starts[nth].clock_ms = clock_ms;
        if clock_ms != 0
            && let Some(faulty) = self.programs.faulty
        {
            self.starts[nth].binary = faulty.to_owned();
        }
        let mut router = self.spawn(nth)?;
        let named = |fault: io::Error| io::Error::new(fault.kind(), format!("r{nth}: {fault}"));
        router.wait_until_it_serves().map_err(named)?;
        self.routers[nth] = Some(router);
        (self.leaving[nth], self.cpu_before[nth]) = (false, 0.0);
        self.down.came(nth);
        self.back(nth);
        Ok(())
    }

    fn end(
        mut self,
        outcome: Outcome,
        settled: Option<Span>,
        sent: Vec<(TrafficCounts, TrafficCounts)>,
    ) -> io::Result<Played> {
        let (mut cpu, mut alive, mut fallen) = (Vec::new(), Vec::new(), Vec::new());
        for nth in 0..self.drill.routers {
            let before = self.cpu_before[nth];
            let ended = self.routers[nth].as_mut().and_then(Router::ended);
            if let Some(code) = ended.filter(|_| !self.leaving[nth]) {
                fallen.push(format!("r{nth} ended with {code:?}"));
            }
            alive.push(self.routers[nth].is_some() && ended.is_none());
            let used = self.routers[nth].as_ref().filter(|_| ended.is_none()).map(|router| router.used().0);
            cpu.push(used.map_or(0.0, |used| used - before));
            if let Some(router) = self.routers[nth].take() {
                self.logs[nth].extend(router.stop());
            }
        }
        for line in self.logs.iter().flatten().filter(|line| line.contains("panicked")).take(3) {
            fallen.push(line.clone());
        }
        self.hogs.drain(..).for_each(|hog| hog.store(true, Ordering::Relaxed));
        let mesh = self.links.datagrams.as_ref();
        let datagram_hits = mesh.map_or(Vec::new(), |mesh| mesh.hits());
        let addresses: Vec<SocketAddr> = self.starts.iter().filter_map(told_address).collect();
        let members = self.drill.scenario.member_count();
        let place = |link: usize| (link / (members + 1), (link % (members + 1)) as u32);
        let links: HashMap<usize, (usize, u32)> = (0..self.drill.routers * (members + 1))
            .map(|link| (link, place(link)))
            .filter(|(_, (_, member))| (*member as usize) < members)
            .collect();
        let left = self.links.stop();
        let fleet_started = self.fleet.started_at();
        let truth = self.fleet.stop();
        let started = Started::all(&self.drill.scenario, fleet_started, self.drill.bears);
        let grace =
            Tolerance { answer: Span::from_millis(i64::from(self.drill.grace_ms)), ..Tolerance::default() };
        let history = History {
            scenario: &self.drill.scenario,
            links: &links,
            seed: self.seed,
            journal: &outcome.journal,
            passed: &left.attempts,
            tool_began: left.started_at,
            truth: &truth,
            absences: &self.absences,
            drained: &self.drained,
            started: &started,
            grace,
        };
        let violations = history.broken();
        let cold_alone = (0..self.drill.routers).map(|router| history.cold_by(router).len()).collect();
        let views =
            self.logs.iter().map(|log| log.iter().filter_map(|line| viewed(line)).collect()).collect();
        let logs = std::mem::take(&mut self.logs);
        let (absences, done) = (std::mem::take(&mut self.absences), std::mem::take(&mut self.done));
        Ok(Played {
            outcome,
            greedy: None,
            truth,
            violations,
            cold_alone,
            started,
            views,
            logs,
            addresses,
            sent,
            datagram_hits,
            cpu,
            done,
            settled,
            absences,
            alive,
            fallen,
        })
    }
}

/// What a deed does to datagrams.
fn datagram_rules(nth: usize, deed: &Deed) -> Vec<DatagramRule> {
    let rule = |name: String| DatagramRule {
        name,
        from: Vec::new(),
        to: Vec::new(),
        both: false,
        split: Vec::new(),
        after_ms: 0,
        for_ms: 0,
        probability: 1.0,
        action: Done::Drop,
    };
    let is_router = |name: &&String| name.starts_with('r');
    let mut rules = Vec::new();
    if !deed.split.is_empty() {
        let side = |side: &Vec<String>| side.iter().filter(is_router).cloned().collect();
        let split: Vec<Vec<String>> = deed.split.iter().map(side).collect();
        let named: Vec<String> = split.iter().flatten().cloned().collect();
        // Who stands on no side reaches all.
        rules.push(DatagramRule {
            from: named.clone(),
            to: named,
            split,
            ..rule(format!("deed-{nth}-split"))
        });
    }
    for (pair, (one, other)) in deed.cut.iter().enumerate() {
        if is_router(&one) && is_router(&other) {
            let (from, to) = (vec![one.clone()], vec![other.clone()]);
            rules.push(DatagramRule { from, to, both: true, ..rule(format!("deed-{nth}-cut-{pair}")) });
        }
    }
    if !deed.mute.is_empty() {
        rules.push(DatagramRule { from: deed.mute.clone(), ..rule(format!("deed-{nth}-mute")) });
    }
    rules.extend(deed.datagrams.clone());
    rules
}

/// How one router is started.
fn start(
    drill: &Drill,
    programs: Programs<'_>,
    nth: usize,
    listen: SocketAddr,
    told: &[SocketAddr],
) -> io::Result<Start> {
    let name = format!("r{nth}");
    let switch = drill.faulty.get(&name).cloned();
    let earlier = drill.earlier.contains(&name);
    let missing = |what: &str| io::Error::other(format!("{name} needs {what}"));
    let clock_ms = drill.clocks.get(&name).copied().unwrap_or(0);
    let binary = match (earlier, &switch, clock_ms) {
        (true, ..) => programs.earlier.ok_or_else(|| missing("--earlier"))?,
        (_, None, 0) => programs.router,
        _ => programs.faulty.ok_or_else(|| missing("--faulty"))?,
    };
    let listed = |addresses: &[SocketAddr]| {
        addresses.iter().map(|address| format!("'{address}'")).collect::<Vec<_>>().join(", ")
    };
    let peers = match (drill.peers, earlier) {
        (false, _) => String::new(),
        // The earlier form: its own place holds where it hears the others.
        (_, true) => {
            let all: Vec<SocketAddr> =
                (0..told.len()).map(|n| if n == nth { listen } else { told[n] }).collect();
            format!("peers: {{me: {nth}, all: [{}]}}", listed(&all))
        }
        // Three are listed, and one of the earlier program that can't be found by others.
        _ => {
            let mut known: Vec<SocketAddr> = told.iter().take(3).copied().collect();
            let old = (3..told.len()).filter(|n| drill.earlier.contains(&format!("r{n}")));
            known.extend(old.map(|n| told[n]));
            format!(
                "peers: {{listen: '{listen}', address: '{}', listed: [{}], networks: ['127.0.0.0/8']}}",
                told[nth],
                listed(&known)
            )
        }
    };
    let quiet = drill.quiet.contains(&name);
    Ok(Start {
        // The earlier program would refuse keys that it doesn't know.
        operator: (!quiet).then(|| if earlier { peers } else { format!("{peers}\n{}", drill.operator) }),
        log: drill.log.clone(),
        faulty: switch,
        clock_ms,
        listen: Some(listen),
        ..Start::new(binary)
    })
}

/// Where the others send to a router, by its own file.
fn told_address(start: &Start) -> Option<SocketAddr> {
    let text = start.operator.as_ref()?;
    let (_, rest) = text.split_once("address: '")?;
    rest.split('\'').next()?.parse().ok()
}

/// A view in a line of a router's log.
pub fn viewed(line: &str) -> Option<Viewed> {
    let (head, rest) = line.split_once("fleet: view ")?;
    let stamp = head.split_whitespace().next()?;
    let at = humantime::parse_rfc3339(stamp).ok()?.duration_since(std::time::UNIX_EPOCH).ok()?;
    let (digest, rest) = rest.split_once(" of ")?;
    let (count, rest) = rest.split_once(',')?;
    let name = |part: &str| {
        let (address, what) = part.trim().split_once(' ')?;
        Some((address.parse().ok()?, what.to_owned()))
    };
    Some(Viewed {
        at: Time::from_nanos(at.as_nanos() as i64),
        digest: u32::from_str_radix(digest, 16).ok()?,
        count: count.parse().ok()?,
        names: rest.split(';').filter_map(name).collect(),
    })
}
