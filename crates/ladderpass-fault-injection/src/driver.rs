//! A running tool: a thread that owns the links, both sockets of each connection, the control socket and the clock. The
//! engine decides what happens to bytes.

mod commands;
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
use mio::{Poll, Waker};
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Sender, channel};
use std::time::{Duration, Instant};

/// The longest time that `RunningTool::send_command` waits for an answer.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(5);

/// A running fault tool. Its thread ends when the tool is stopped or this value is dropped.
pub struct RunningTool {
    /// Address that each link listens on, in the order of the plan.
    pub addresses: Vec<SocketAddr>,
    stop: Arc<AtomicBool>,
    waker: Arc<Waker>,
    commands: Sender<LocalCommand>,
    thread: Option<std::thread::JoinHandle<RunSummary>>,
    started_at: Instant,
    /// The part of the tool that forwards datagrams, if the plan has datagram ends.
    pub datagrams: Option<RunningDatagrams>,
}

impl RunningTool {
    /// Starts a fault tool that runs `plan`. `control` is the path of the control socket. Without a path, the tool has no
    /// control socket.
    ///
    /// # Errors
    ///
    /// If the plan's part on datagrams is invalid, or a socket or a thread can't be created.
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
        let started_at = Instant::now();
        let mut event_loop = EventLoop::new(started_at, plan, poll, listeners, control, receiver);
        let stopped = stop.clone();
        let thread = std::thread::Builder::new().name("faults".into()).spawn(move || {
            if let Err(error) = event_loop.run(&stopped) {
                eprintln!("ladderpass-fault-injection: {error}");
            }
            event_loop.finish()
        })?;
        Ok(RunningTool { addresses, stop, waker, commands, thread: Some(thread), started_at, datagrams })
    }

    /// Executes one command line, in the form that the control socket accepts, and returns the answer. The command
    /// `wait` is rejected.
    ///
    /// # Errors
    ///
    /// If the tool has ended, does not answer in time, or rejects the command.
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

    /// Stops the tool, which closes all connections, and returns the summary of the run.
    pub fn stop(mut self) -> RunSummary {
        let started_at = self.started_at;
        self.join().unwrap_or_else(|| RunSummary::empty(started_at))
    }

    fn join(&mut self) -> Option<RunSummary> {
        self.stop.store(true, Ordering::Relaxed);
        // A failure to wake the thread is ignored, since the thread may have ended already.
        let _ = self.waker.wake();
        self.thread.take()?.join().ok()
    }
}

impl Drop for RunningTool {
    fn drop(&mut self) {
        self.join();
    }
}
