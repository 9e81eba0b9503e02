//! The sockets of a running tool: a thread with the links, both ends of each connection, the control socket and the
//! clock. What happens to bytes is the engine's decision.

mod control_socket;
mod endpoint;
mod event_loop;
mod run_summary;

pub use run_summary::RunSummary;

use crate::datagram_driver::RunningDatagrams;
use crate::errors::CommandError;
use crate::plan::Plan;
use control_socket::ControlSocket;
use event_loop::{EventLoop, LocalCommand, WAKE};
use ladderpass_routing::Time;
use mio::{Poll, Waker};
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Sender, channel};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// How long a command of this process waits for its answer.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(5);

/// A tool that runs on a thread of its own, until it is stopped or dropped.
pub struct RunningTool {
    /// Where each link listens, in the order of the plan.
    pub addresses: Vec<SocketAddr>,
    stop: Arc<AtomicBool>,
    waker: Arc<Waker>,
    commands: Sender<LocalCommand>,
    thread: Option<std::thread::JoinHandle<RunSummary>>,
    /// The datagram part, where the plan has one.
    pub datagrams: Option<RunningDatagrams>,
}

impl RunningTool {
    /// Starts a plan; `control` is the path of the control socket.
    ///
    /// # Errors
    ///
    /// If a socket or the thread can't be made.
    pub fn start(plan: Plan, control: Option<&Path>) -> io::Result<RunningTool> {
        let datagrams =
            (!plan.ends.is_empty()).then(|| RunningDatagrams::start(plan.datagram_plan())).transpose()?;
        let poll = Poll::new()?;
        let waker = Arc::new(Waker::new(poll.registry(), WAKE)?);
        let (commands, receiver) = channel();
        let listeners = event_loop::listen(&plan, poll.registry())?;
        let addresses =
            listeners.iter().map(|listener| listener.local_addr()).collect::<io::Result<Vec<_>>>()?;
        let control = control.map(|path| ControlSocket::bind(path, poll.registry())).transpose()?;
        let stop = Arc::new(AtomicBool::new(false));
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let started_at = Time::from_nanos(unix.as_nanos() as i64);
        let mut event_loop = EventLoop::new(plan, poll, listeners, control, receiver);
        let stopped = stop.clone();
        let thread = std::thread::Builder::new().name("faults".into()).spawn(move || {
            if let Err(error) = event_loop.run(&stopped) {
                eprintln!("ladderpass-fault-injection: {error}");
            }
            event_loop.finish(started_at)
        })?;
        Ok(RunningTool { addresses, stop, waker, commands, thread: Some(thread), datagrams })
    }

    /// Carries out a line of the control socket's commands, but for `wait`; returns its answer.
    ///
    /// # Errors
    ///
    /// If the tool has ended, or rejects the command.
    pub fn send_command(&self, line: &str) -> Result<String, CommandError> {
        let (answer, answered) = channel();
        let command = LocalCommand { line: line.to_owned(), answer };
        self.commands.send(command).map_err(|_| CommandError::Ended)?;
        self.waker.wake().map_err(CommandError::Wake)?;
        let text = answered.recv_timeout(COMMAND_TIMEOUT).map_err(|_| CommandError::Ended)?;
        match text.split_once(' ') {
            Some(("error", why)) => Err(CommandError::Rejected(why.to_owned())),
            _ => Ok(text),
        }
    }

    /// Stops it; connections are closed.
    pub fn stop(mut self) -> RunSummary {
        self.join().unwrap_or_default()
    }

    fn join(&mut self) -> Option<RunSummary> {
        self.stop.store(true, Ordering::Relaxed);
        // A thread that has ended needs no waking.
        let _ = self.waker.wake();
        self.thread.take()?.join().ok()
    }
}

impl Drop for RunningTool {
    fn drop(&mut self) {
        self.join();
    }
}
