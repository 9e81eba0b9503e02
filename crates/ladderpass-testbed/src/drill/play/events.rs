//! Carries out the fault events of a drill: begins each at its time, and ends those that have a duration.

use super::interrupt::check_interrupted;
use super::testbed::{CHECK_INTERVAL, DrillTestbed};
use crate::drill::{Drill, FaultEvent, LoggedEvent};
use crate::history_checker::DrainNotice;
use ladderpass_emulator::{Input, now};
use ladderpass_fault_injection::{DatagramAction as DatagramFault, DatagramRule, driver};
use nix::sys::signal::Signal;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::ScopedJoinHandle;
use std::time::{Duration, Instant};

/// Time from the start of a load until its first RPC can be due, during which its connections are opened.
const LOAD_START_DELAY: Duration = Duration::from_millis(100);

/// The begin or the end of a fault event, which has not been carried out yet.
struct ScheduledStep {
    /// When the step is due, in seconds from the start of the load.
    at_s: f64,
    /// Index of the event in the drill.
    event: usize,
    /// Whether the event begins at this step. If not, the event ends.
    begins: bool,
}

/// Returns the steps of all fault events, with the earliest last, so that they can be popped in order.
fn schedule(drill: &Drill) -> Vec<ScheduledStep> {
    let mut steps = Vec::new();
    for (index, event) in drill.events.iter().enumerate() {
        steps.push(ScheduledStep { at_s: event.at, event: index, begins: true });
        if event.lasts > 0.0 {
            steps.push(ScheduledStep { at_s: event.at + event.lasts, event: index, begins: false });
        }
    }
    steps.sort_by(|one, other| one.at_s.total_cmp(&other.at_s));
    steps.reverse();
    steps
}

impl DrillTestbed<'_> {
    /// Carries out the fault events at their times, until the load is over. Sets `stop`, which ends the load early, if
    /// an event can't be carried out or the drill is interrupted.
    pub fn run_events<T>(&mut self, load: &ScopedJoinHandle<'_, T>, stop: &AtomicBool) -> io::Result<()> {
        let mut steps = schedule(self.drill);
        let began = Instant::now() + LOAD_START_DELAY;
        while !load.is_finished() {
            check_interrupted().inspect_err(|_| stop.store(true, Ordering::Relaxed))?;
            let elapsed_s = Instant::now().saturating_duration_since(began).as_secs_f64();
            while let Some(step) = steps.pop_if(|step| step.at_s <= elapsed_s) {
                self.run_step(&step).inspect_err(|_| stop.store(true, Ordering::Relaxed))?;
            }
            std::thread::sleep(CHECK_INTERVAL);
        }
        Ok(())
    }

    fn run_step(&mut self, step: &ScheduledStep) -> io::Result<()> {
        let event = &self.drill.events[step.event];
        let name = if step.begins { event.name() } else { format!("end of {}", event.name()) };
        self.event_log.push(LoggedEvent { at: now(), name });
        if step.begins { self.begin_event(step.event, event) } else { self.end_event(step.event, event) }
    }

    fn begin_event(&mut self, index: usize, event: &FaultEvent) -> io::Result<()> {
        self.signal_routers(event)?;
        for router in self.routers_named(&event.start) {
            self.restart_router(router, event.clock_ms)?;
        }
        for _ in 0..event.hog {
            self.start_cpu_hog();
        }
        self.cut_links(event)?;
        for rule in datagram_rules(index, event) {
            if let Some(mesh) = &self.router_links.datagrams {
                mesh.add_rule(rule).map_err(io::Error::other)?;
            }
        }
        if let Some(rule) = &event.rule {
            let rule = serde_json::to_string(rule).map_err(io::Error::other)?;
            self.router_links.send_command(&format!("add {rule}")).map_err(io::Error::other)?;
        }
        self.change_members(event);
        Ok(())
    }

    fn end_event(&mut self, index: usize, event: &FaultEvent) -> io::Result<()> {
        for router in self.routers_named(&event.freeze) {
            self.signal(router, Signal::SIGCONT)?;
            self.end_absences(router);
        }
        if event.hog > 0 {
            self.stop_cpu_hogs();
        }
        for link in self.links_cut_by(event) {
            self.tool_of(&link).send_command(&format!("heal {link}")).map_err(io::Error::other)?;
            if let Some(router) = self.router_of_client_link(&link) {
                self.end_absences(router);
            }
        }
        for rule in datagram_rules(index, event) {
            if let Some(mesh) = &self.router_links.datagrams {
                mesh.lift_rule(&rule.name);
            }
        }
        Ok(())
    }

    fn signal_routers(&mut self, event: &FaultEvent) -> io::Result<()> {
        for router in self.routers_named(&event.kill) {
            self.kill_router(router);
        }
        for router in self.routers_named(&event.freeze) {
            self.signal(router, Signal::SIGSTOP)?;
            self.begin_absence(router, false);
        }
        for router in self.routers_named(&event.term) {
            self.terminating[router] = true;
            self.down.mark_down(router);
            self.begin_absence(router, true);
            self.signal(router, Signal::SIGTERM)?;
        }
        for router in self.routers_named(&event.hup) {
            self.signal(router, Signal::SIGHUP)?;
        }
        Ok(())
    }

    fn start_cpu_hog(&mut self) {
        let stop = Arc::new(AtomicBool::new(false));
        self.cpu_hogs.push(stop.clone());
        std::thread::spawn(move || {
            let mut sum = 0u64;
            while !stop.load(Ordering::Relaxed) {
                sum = std::hint::black_box(sum.wrapping_mul(31).wrapping_add(7));
            }
        });
    }

    fn cut_links(&mut self, event: &FaultEvent) -> io::Result<()> {
        for link in self.links_cut_by(event) {
            self.tool_of(&link).send_command(&format!("cut {link}")).map_err(io::Error::other)?;
            if let Some(router) = self.router_of_client_link(&link) {
                self.begin_absence(router, false);
            }
        }
        Ok(())
    }

    /// Carries out an event's changes of members and the line that discovery sends.
    fn change_members(&mut self, event: &FaultEvent) {
        if let Some(member) = event.drain {
            self.emulator.drain(member);
            let at = now();
            let notified = (0..self.drill.routers).map(|router| DrainNotice { router, member, at });
            self.drain_notices.extend(notified);
        }
        if let Some(member) = event.ends {
            self.emulator.apply(member, Input::Crash);
        }
        if let Some(member) = event.begins {
            self.emulator.apply(member, Input::Restart);
        }
        if let Some((router, line)) = &event.line
            && let Some(router) = self.drill.router(router)
        {
            self.emulator.send_line(router, line);
        }
    }

    fn routers_named(&self, names: &[String]) -> Vec<usize> {
        names.iter().filter_map(|name| self.drill.router(name)).collect()
    }

    /// Returns the names of the links that an event cuts.
    fn links_cut_by(&self, event: &FaultEvent) -> Vec<String> {
        let mut links = self.drill.split_links(&event.split);
        links.extend(event.cut.iter().filter_map(|(one, other)| self.drill.link(one, other)));
        links
    }

    /// Returns the fault tool that carries a link.
    fn tool_of(&self, link: &str) -> &driver::RunningTool {
        if link.starts_with("front>") { &self.client_links } else { &self.router_links }
    }

    /// Returns the router of a link between the clients and a router, or `None` for other links.
    fn router_of_client_link(&self, link: &str) -> Option<usize> {
        link.strip_prefix("front>").and_then(|name| self.drill.router(name))
    }
}

/// Returns the rules by which an event changes datagrams between routers. The event's index makes their names unique.
fn datagram_rules(index: usize, event: &FaultEvent) -> Vec<DatagramRule> {
    let drop_all = |name: String| DatagramRule {
        name,
        from: Vec::new(),
        to: Vec::new(),
        both: false,
        split: Vec::new(),
        after_ms: 0,
        for_ms: 0,
        probability: 1.0,
        action: DatagramFault::Drop,
    };
    let is_router = |name: &&String| name.starts_with('r');
    let mut rules = Vec::new();
    if !event.split.is_empty() {
        let routers = |side: &Vec<String>| side.iter().filter(is_router).cloned().collect();
        let split: Vec<Vec<String>> = event.split.iter().map(routers).collect();
        // The rule is limited to datagrams between routers that are on a side. Routers on no side must reach all others, but
        // the fault tool treats each such router as a side of its own.
        let on_a_side: Vec<String> = split.iter().flatten().cloned().collect();
        rules.push(DatagramRule {
            from: on_a_side.clone(),
            to: on_a_side,
            split,
            ..drop_all(format!("deed-{index}-split"))
        });
    }
    for (pair, (one, other)) in event.cut.iter().enumerate() {
        if is_router(&one) && is_router(&other) {
            let (from, to) = (vec![one.clone()], vec![other.clone()]);
            let rule = drop_all(format!("deed-{index}-cut-{pair}"));
            rules.push(DatagramRule { from, to, both: true, ..rule });
        }
    }
    if !event.mute.is_empty() {
        rules.push(DatagramRule { from: event.mute.clone(), ..drop_all(format!("deed-{index}-mute")) });
    }
    rules.extend(event.datagrams.clone());
    rules
}
