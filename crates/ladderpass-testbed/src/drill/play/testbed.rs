//! The processes of a drill (emulator, fault tools and routers), and the times at which routers are absent.

use super::interrupt::check_interrupted;
use super::start::{Programs, router_start};
use super::view::{RouterView, parse_view};
use crate::drill::{Drill, LoggedEvent};
use crate::history_checker::{Absence, DrainNotice};
use crate::load::DownRouters;
use crate::router::{Router, Start, free_loopback_address};
use ladderpass_emulator::{RunningEmulator, Scenario, now};
use ladderpass_fault_injection::driver;
use ladderpass_fault_injection::plan::LinkShape;
use ladderpass_fault_injection::{End, Plan, Protocol, TrafficCounts};
use ladderpass_routing::{Span, Time};
use nix::sys::signal::Signal;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Interval at which the drill checks for due fault events, the routers' views and ctrl-C.
pub(super) const CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Longest wait before the load if the routers are not expected to agree on a view, in seconds.
const MAX_UNVERIFIED_SETTLE_S: f64 = 2.0;
/// Offset of the routers' seeds from the drill's seed.
const ROUTER_SEED_OFFSET: u64 = 1000;

/// The running parts of a drill. The emulator, the fault tools and the routers end when this value is dropped. The busy
/// threads of `cpu_hogs` end only by [`DrillTestbed::stop_cpu_hogs`].
pub(super) struct DrillTestbed<'a> {
    pub drill: &'a Drill,
    pub programs: Programs<'a>,
    pub seed: u64,
    pub emulator: RunningEmulator,
    /// The fault tool between clients and routers.
    pub client_links: driver::RunningTool,
    /// The fault tool between routers, members and discovery, and among routers.
    pub router_links: driver::RunningTool,
    /// Addresses of the fault tool that lead to the members, by router.
    pub members: Vec<Vec<SocketAddr>>,
    /// Address of the fault tool that leads to discovery, by router.
    pub discoveries: Vec<SocketAddr>,
    /// Parameters with which each router is started, by index of the router.
    pub starts: Vec<Start>,
    /// The running routers, by index. An entry is `None` before the start and after a kill.
    pub routers: Vec<Option<Router>>,
    /// Log lines of a router's processes that were killed or stopped, by router.
    pub logs: Vec<Vec<String>>,
    /// The routers that are down, as reported to the load balancer of the clients.
    pub down: Arc<DownRouters>,
    pub absences: Vec<Absence>,
    pub drain_notices: Vec<DrainNotice>,
    /// The begins and ends of fault events that were carried out so far.
    pub event_log: Vec<LoggedEvent>,
    /// Flags that stop the busy threads of fault events.
    pub cpu_hogs: Vec<Arc<AtomicBool>>,
    /// CPU seconds that each router used before the load, by index of the router.
    pub cpu_before: Vec<f64>,
    /// Whether each router was sent SIGTERM since its last start, by index of the router.
    pub terminating: Vec<bool>,
}

impl<'a> DrillTestbed<'a> {
    /// Starts all processes, and waits until the routers are ready.
    pub fn start(drill: &'a Drill, programs: Programs<'a>, seed: u64) -> io::Result<DrillTestbed<'a>> {
        let scenario = Scenario { history: true, ..drill.scenario.clone() };
        let emulator = RunningEmulator::start_with_lists(scenario, seed, Ipv4Addr::LOCALHOST, drill.routers)?;
        let addresses =
            (0..drill.routers).map(|_| free_loopback_address()).collect::<io::Result<Vec<_>>>()?;
        let client_links = start_client_links(&addresses, seed)?;
        let router_links = start_router_links(&emulator, &addresses, seed)?;
        let advertised = router_links.datagrams.as_ref().map_or(Vec::new(), |mesh| mesh.addresses.clone());
        router_links.send_command("watch").map_err(io::Error::other)?;
        let member_count = drill.scenario.member_count();
        let (mut members, mut discoveries) = (Vec::new(), Vec::new());
        for (router, links) in router_links.addresses.chunks(member_count + 1).enumerate() {
            let (of_members, discovery) = links.split_at(member_count);
            emulator.set_list_addresses(router, of_members);
            members.push(of_members.to_vec());
            discoveries.extend_from_slice(discovery);
        }
        let starts = (0..drill.routers)
            .map(|router| router_start(drill, programs, router, addresses[router], &advertised))
            .collect::<io::Result<Vec<_>>>()?;
        let mut testbed = DrillTestbed {
            drill,
            programs,
            seed,
            emulator,
            client_links,
            router_links,
            members,
            discoveries,
            starts,
            routers: (0..drill.routers).map(|_| None).collect(),
            logs: vec![Vec::new(); drill.routers],
            down: Arc::default(),
            absences: Vec::new(),
            drain_notices: Vec::new(),
            event_log: Vec::new(),
            cpu_hogs: Vec::new(),
            cpu_before: vec![0.0; drill.routers],
            terminating: vec![false; drill.routers],
        };
        testbed.start_routers()?;
        Ok(testbed)
    }

    /// Starts all routers at once, as after a power failure, and waits until they are ready.
    fn start_routers(&mut self) -> io::Result<()> {
        for router in 0..self.drill.routers {
            self.routers[router] = Some(self.spawn_router(router)?);
        }
        for router in self.routers.iter_mut().flatten() {
            router.wait_until_ready()?;
        }
        Ok(())
    }

    fn spawn_router(&self, router: usize) -> io::Result<Router> {
        let seed = self.seed.wrapping_add(ROUTER_SEED_OFFSET + router as u64);
        let (scenario, start) = (&self.drill.scenario, &self.starts[router]);
        Router::spawn(scenario, &self.members[router], self.discoveries[router], start, seed)
            .map_err(|error| with_router_name(router, &error))
    }

    /// Waits until all routers have the same view, with all routers in it. Returns the time until then, or `None` if
    /// the routers did not agree in time, or if they are not expected to agree because they are not peers or differ in
    /// version or settings.
    pub fn wait_until_settled(&self) -> io::Result<Option<Span>> {
        let views_are_comparable = self.drill.earlier.is_empty() && self.drill.quiet.is_empty();
        if !self.drill.peers || !views_are_comparable {
            std::thread::sleep(Duration::from_secs_f64(self.drill.max_settle_s.min(MAX_UNVERIFIED_SETTLE_S)));
            return Ok(None);
        }
        let began = Instant::now();
        let max_wait = Duration::from_secs_f64(self.drill.max_settle_s);
        while began.elapsed() < max_wait {
            check_interrupted()?;
            if self.views_agree() {
                return Ok(Some(Span::from_nanos(began.elapsed().as_nanos() as i64)));
            }
            std::thread::sleep(CHECK_INTERVAL);
        }
        Ok(None)
    }

    /// Returns whether the last logged view of each router is the same and contains all routers.
    fn views_agree(&self) -> bool {
        let last_view = |router: &Router| router.log().iter().rev().find_map(|line| parse_view(line));
        let views: Vec<Option<RouterView>> =
            self.routers.iter().map(|router| router.as_ref().and_then(last_view)).collect();
        let Some(first) = views.first().cloned().flatten() else { return false };
        let is_same = |view: &Option<RouterView>| {
            view.as_ref().is_some_and(|view| (view.digest, view.count) == (first.digest, first.count))
        };
        first.count == self.drill.routers && views.iter().all(is_same)
    }

    /// Returns the datagrams that each router has sent so far.
    pub fn datagrams_sent(&self) -> Vec<TrafficCounts> {
        self.router_links.datagrams.as_ref().map_or(Vec::new(), |mesh| mesh.traffic())
    }

    /// Records the CPU time that each router has used so far.
    pub fn record_cpu_before_load(&mut self) {
        for (before, router) in self.cpu_before.iter_mut().zip(&self.routers) {
            *before = router.as_ref().map_or(0.0, |router| router.resource_usage().cpu_seconds);
        }
    }

    /// Sends a signal to a router, unless it was killed before.
    pub fn signal(&self, router: usize, signal: Signal) -> io::Result<()> {
        match &self.routers[router] {
            Some(router) => router.signal(signal),
            None => Ok(()),
        }
    }

    /// Records that a router can't answer from now on. `planned` marks a graceful shutdown.
    pub fn begin_absence(&mut self, router: usize, planned: bool) {
        let (from, to) = (now(), Time::from_nanos(i64::MAX / 2));
        self.absences.push(Absence { router, from, to, planned });
    }

    /// Records that a router can answer again, which ends all its open absences.
    pub fn end_absences(&mut self, router: usize) {
        let now = now();
        let is_open = |absence: &&mut Absence| absence.router == router && absence.to > now;
        self.absences.iter_mut().filter(is_open).for_each(|absence| absence.to = now);
    }

    /// Kills a router, if it runs. The load balancer counts the router as down from the end of the process on.
    pub fn kill_router(&mut self, router: usize) {
        if let Some(running) = self.routers[router].take() {
            self.begin_absence(router, false);
            self.logs[router].extend(running.stop());
            self.down.mark_down(router);
        }
    }

    /// Starts a router at its old address with a clock offset. If the router still runs, kills it first.
    pub fn restart_router(&mut self, router: usize, clock_ms: i32) -> io::Result<()> {
        self.kill_router(router);
        self.starts[router].clock_ms = clock_ms;
        if clock_ms != 0
            && let Some(faulty) = self.programs.faulty
        {
            self.starts[router].binary = faulty.to_owned();
        }
        let mut started = self.spawn_router(router)?;
        started.wait_until_ready().map_err(|error| with_router_name(router, &error))?;
        self.routers[router] = Some(started);
        (self.terminating[router], self.cpu_before[router]) = (false, 0.0);
        self.down.mark_up(router);
        self.end_absences(router);
        Ok(())
    }

    /// Stops the busy threads that fault events started.
    pub fn stop_cpu_hogs(&mut self) {
        self.cpu_hogs.drain(..).for_each(|stop| stop.store(true, Ordering::Relaxed));
    }
}

fn with_router_name(router: usize, error: &io::Error) -> io::Error {
    io::Error::new(error.kind(), format!("r{router}: {error}"))
}

fn any_loopback_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

/// Starts the fault tool between the clients and the routers, with one link for each router.
fn start_client_links(routers: &[SocketAddr], seed: u64) -> io::Result<driver::RunningTool> {
    let link = |(router, &to): (usize, &SocketAddr)| LinkShape {
        name: format!("front>r{router}"),
        listen: any_loopback_port(),
        to,
        protocol: Protocol::Postgres,
    };
    let links = routers.iter().enumerate().map(link).collect();
    driver::RunningTool::start(Plan { seed, links, ..Default::default() }, None)
}

/// Starts the fault tool behind the routers. For each router in order, the tool has links to the members, a link to
/// discovery, and an address for datagrams.
fn start_router_links(
    emulator: &RunningEmulator,
    routers: &[SocketAddr],
    seed: u64,
) -> io::Result<driver::RunningTool> {
    let listen = any_loopback_port();
    let (mut links, mut ends) = (Vec::new(), Vec::new());
    for (router, address) in routers.iter().enumerate() {
        for (member, &to) in emulator.addresses.iter().enumerate() {
            let name = format!("r{router}>member-{member}");
            links.push(LinkShape { name, listen, to, protocol: Protocol::Postgres });
        }
        let to = emulator.discoveries[router];
        links.push(LinkShape { name: format!("r{router}>discovery"), listen, to, protocol: Protocol::Http });
        // A router receives datagrams at the port of its listener. `free_loopback_address` has checked that this port is free
        // for UDP as well.
        ends.push(End { name: format!("r{router}"), address: listen, to: *address });
    }
    driver::RunningTool::start(Plan { seed, links, ends, ..Default::default() }, None)
}
