//! All routers of the process. They share only the time and the numbered endpoint lists.
//!
//! A router that panics while it handles an event or ticks is removed, and its panic message is sent to the simulator.
//! The other routers continue.

use crate::actions::Action;
use crate::endpoint_lists::EndpointLists;
use crate::errors::{EventError, EventProblem, require};
use crate::events::{EventKind, Line, ListLine, parse_line};
use crate::instance::Instance;
use ladderpass_routing::Time;
use std::any::Any;
use std::collections::HashMap;
use std::panic::{AssertUnwindSafe, catch_unwind};

/// Whether the batch of events that is being read is complete after the line that was handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Batch {
    /// More events of the batch follow.
    Open,
    /// The batch is complete, and the reply contains all its actions.
    Complete,
}

/// A router that panicked, and the message of its panic.
struct FailedRouter {
    name: String,
    message: String,
}

/// All routers by their names.
#[derive(Default)]
pub struct Instances {
    now: Option<Time>,
    lists: EndpointLists,
    instances: HashMap<String, Instance>,
    /// The names of the routers with an event in the batch that is being read, in the order of their first event.
    pending: Vec<String>,
    /// The routers that panicked in the batch that is being read.
    failed: Vec<FailedRouter>,
}

impl Instances {
    /// Handles an event line. If the line ends a batch, appends the actions of the batch to `reply`.
    pub fn handle_line(&mut self, text: &str, reply: &mut String) -> Result<Batch, EventError> {
        let line = parse_line(text)?;
        let kind = line.kind.clone().into_owned();
        self.handle_event(line, reply).map_err(|problem| EventError { kind, problem })
    }

    fn handle_event(&mut self, line: Line, reply: &mut String) -> Result<Batch, EventProblem> {
        let kind = EventKind::parse(&line.kind);
        match kind {
            Some(EventKind::SetTime) => {
                self.now = Some(Time::from_nanos(require(line.time, "AtTime")?));
                return Ok(Batch::Open);
            }
            Some(EventKind::EndOfBatch) => {
                self.finish_batch(reply);
                return Ok(Batch::Complete);
            }
            _ => {}
        }
        let now = self.now.ok_or(EventProblem::NoTime)?;
        match kind.ok_or(EventProblem::UnknownKind)? {
            EventKind::EndpointList => self.store_list(line)?,
            EventKind::StartRouter => self.start_router(now, line)?,
            EventKind::StopRouter => self.stop_router(&line)?,
            kind => self.handle_router_event(now, kind, line)?,
        }
        Ok(Batch::Open)
    }

    fn store_list(&mut self, line: Line) -> Result<(), EventProblem> {
        let endpoints = require(line.endpoints, "Entries")?;
        let number = require(line.list_number, "Buffer")?;
        self.lists.insert(number, endpoints.into_iter().map(ListLine::into_owned).collect());
        Ok(())
    }

    fn start_router(&mut self, now: Time, line: Line) -> Result<(), EventProblem> {
        let name = require(line.router, "Who")?.into_owned();
        let seed = require(line.seed, "Salt")?;
        let seed = seed.as_u64().or_else(|| seed.as_i64().map(|seed| seed as u64));
        let seed = seed.ok_or(EventProblem::SeedNotInteger)?;
        let settings = require(line.settings, "Info")?;
        let instance = Instance::start(now, name.clone(), seed, &settings)?;
        self.instances.insert(name.clone(), instance);
        self.mark_pending(&name);
        Ok(())
    }

    fn stop_router(&mut self, line: &Line) -> Result<(), EventProblem> {
        let name = require(line.router.as_deref(), "Who")?;
        if self.instances.remove(name).is_none() {
            return Err(EventProblem::UnknownRouter(name.to_owned()));
        }
        self.pending.retain(|pending| pending != name);
        Ok(())
    }

    fn handle_router_event(&mut self, now: Time, kind: EventKind, line: Line) -> Result<(), EventProblem> {
        let name = require(line.router.as_deref(), "Who")?.to_owned();
        let Some(instance) = self.instances.get_mut(&name) else {
            return Err(EventProblem::UnknownRouter(name));
        };
        let lists = &self.lists;
        match catch_unwind(AssertUnwindSafe(|| instance.handle_event(now, kind, line, lists))) {
            Ok(result) => {
                self.mark_pending(&name);
                result
            }
            Err(panic) => {
                self.remove_failed_router(&name, panic.as_ref());
                Ok(())
            }
        }
    }

    fn mark_pending(&mut self, name: &str) {
        if let Some(instance) = self.instances.get_mut(name)
            && !instance.in_batch
        {
            instance.in_batch = true;
            self.pending.push(name.to_owned());
        }
    }

    fn remove_failed_router(&mut self, name: &str, panic: &(dyn Any + Send)) {
        let text = panic.downcast_ref::<&str>().copied();
        let text = text.or_else(|| panic.downcast_ref::<String>().map(String::as_str));
        let message = text.unwrap_or("the decision module failed").to_owned();
        eprintln!("ladderpass: {name}: {message}");
        self.failed.push(FailedRouter { name: name.to_owned(), message });
        self.instances.remove(name);
        self.pending.retain(|pending| pending != name);
    }

    fn finish_batch(&mut self, reply: &mut String) {
        for name in std::mem::take(&mut self.pending) {
            let Some(now) = self.now else { continue };
            let Some(instance) = self.instances.get_mut(&name) else { continue };
            instance.in_batch = false;
            match catch_unwind(AssertUnwindSafe(|| instance.tick(now))) {
                Ok(()) => reply.push_str(&instance.take_actions()),
                Err(panic) => self.remove_failed_router(&name, panic.as_ref()),
            }
        }
        for FailedRouter { name, message } in self.failed.drain(..) {
            Action::RouterFailed { router: &name, message: &message }.write(reply);
        }
        Action::EndOfBatch.write(reply);
    }
}
