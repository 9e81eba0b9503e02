//! A client that sends empty queries during a load, to measure the delay in the router's event loop.

use ladderpass_emulator::{now, proto};
use ladderpass_routing::{Span, Time};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

/// Longest wait for the answer to a query. A query that takes longer ends the prober.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// Delay of the router's answer to one query of a prober.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProbeDelay {
    /// When the query was due.
    pub due: Time,
    /// Time from when the query was due until it was answered.
    pub delay: Span,
}

/// A prober that sends queries on its own thread.
pub struct Prober {
    thread: JoinHandle<Vec<ProbeDelay>>,
    stop: Arc<AtomicBool>,
}

impl Prober {
    /// Connects to a router and starts a thread that sends it an empty query once per interval `every`.
    ///
    /// # Errors
    /// If the router can't be reached, or does not complete the startup of the connection.
    pub fn start(router: SocketAddr, every: Duration) -> io::Result<Prober> {
        let mut stream = TcpStream::connect(router)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(READ_TIMEOUT))?;
        let mut startup = Vec::new();
        proto::put_startup(&mut startup);
        stream.write_all(&startup)?;
        until_ready(&mut stream)?;
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = stop.clone();
        let thread = std::thread::spawn(move || probe(stream, every, &stopped));
        Ok(Prober { thread, stop })
    }

    /// Ends the prober and returns the delays of all queries, in order.
    pub fn stop(self) -> Vec<ProbeDelay> {
        self.stop.store(true, Ordering::Relaxed);
        self.thread.join().unwrap_or_default()
    }
}

/// Sends queries until `stopped` is set or a query fails, and returns their delays.
fn probe(mut stream: TcpStream, every: Duration, stopped: &AtomicBool) -> Vec<ProbeDelay> {
    let mut delays = Vec::new();
    let mut empty_query = Vec::new();
    proto::put_query(&mut empty_query, "");
    let mut due = now();
    while !stopped.load(Ordering::Relaxed) {
        let result = stream.write_all(&empty_query).and_then(|()| until_ready(&mut stream));
        let answered_at = now();
        // If the router stalls, each query that was due during the stall counts with its own delay.
        loop {
            delays.push(ProbeDelay { due, delay: answered_at - due });
            due = due + Span::from_nanos(every.as_nanos() as i64);
            if due > answered_at || result.is_err() {
                break;
            }
        }
        if result.is_err() {
            break;
        }
        std::thread::sleep(Duration::from_nanos((due - now()).nanos().max(0) as u64));
    }
    delays
}

/// Reads and discards messages up to the next ReadyForQuery.
///
/// # Errors
/// If the connection fails, or ends before a ReadyForQuery.
pub fn until_ready(stream: &mut TcpStream) -> io::Result<()> {
    let mut input = Vec::new();
    let mut chunk = [0; 4096];
    loop {
        let mut parsed = 0;
        while let Some((kind, _, length)) = proto::parse_frame(&input[parsed..]) {
            parsed += length;
            if kind == b'Z' {
                return Ok(());
            }
        }
        input.drain(..parsed);
        match stream.read(&mut chunk)? {
            0 => return Err(ErrorKind::UnexpectedEof.into()),
            count => input.extend_from_slice(&chunk[..count]),
        }
    }
}
