//! The start: all that the loop waits for is opened, and opened again where a call failed for a moment.
//!
//! It owns the order in which these are opened. It must never take an event: the loop does.

use super::Front;
use crate::connection_table::ConnectionTable;
use crate::failures::passes_at_start;
use crate::launch::Launch;
use crate::reducer::Event;
use calloop::generic::Generic;
use calloop::signals::{Signal, Signals};
use calloop::{EventLoop, Interest, LoopHandle, Mode, PostAction, RegistrationToken};
use socket2::{Domain, Protocol, Socket, Type};
use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::rc::Rc;
use std::time::Instant;

/// All that the loop waits for.
pub(super) struct Sources {
    pub(super) event_loop: EventLoop<'static, Front>,
    pub(super) connections: ConnectionTable,
    pub(super) listener: Rc<TcpListener>,
    pub(super) token: RegistrationToken,
    /// The socket of the messages between routers.
    pub(super) peers: Option<Rc<UdpSocket>>,
}

/// What could not be opened, and why.
struct Unopened {
    what: String,
    fault: io::Error,
}

/// Guards a start against calls that fail for a moment, and against an address whose last holder is about to end.
pub(super) fn open_patiently(launch: &Launch) -> Result<Sources, String> {
    let until = Instant::now() + launch.limits.start_retry_timeout;
    loop {
        match open_sources(launch) {
            Ok(sources) => return Ok(sources),
            Err(Unopened { what, fault }) if passes_at_start(&fault) && Instant::now() < until => {
                tracing::warn!("{what}: {fault}; tried again");
                std::thread::sleep(launch.limits.start_retry_interval);
            }
            Err(Unopened { what, fault }) => return Err(format!("{what}: {fault}")),
        }
    }
}

fn open_sources(launch: &Launch) -> Result<Sources, Unopened> {
    let named = |what: &str| {
        let what = what.to_owned();
        move |fault: io::Error| Unopened { what, fault }
    };
    let event_loop: EventLoop<'static, Front> =
        EventLoop::try_new().map_err(of_loop).map_err(named("event loop"))?;
    let handle = event_loop.handle();
    let connections = ConnectionTable::new().map_err(named("event loop"))?;
    let signals = Signals::new(&[Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP]);
    let signals = signals.map_err(of_loop).map_err(named("signals"))?;
    let inserted = handle.insert_source(signals, |event, (), front: &mut Front| match event.signal() {
        Signal::SIGHUP => front.read_again(),
        _ => front.apply(Event::Terminate),
    });
    inserted.map_err(|fault| of_loop(fault.error)).map_err(named("signals"))?;
    let peers = launch.operator.peers.as_ref().map(|peers| open_peers(&handle, peers.listen)).transpose()?;
    let address = launch.fixed.listen;
    let listener =
        listen(address, launch.limits.backlog).map_err(named(&format!("RELAY_LISTEN: {address}")))?;
    let listener = Rc::new(listener);
    let source = Generic::new(listener.clone(), Interest::READ, Mode::Level);
    let inserted = handle.insert_source(source, |_, _, front: &mut Front| {
        front.accept();
        Ok(PostAction::Continue)
    });
    let token = inserted.map_err(|fault| of_loop(fault.error)).map_err(named("listener"))?;
    let source = Generic::new(connections.set(), Interest::READ, Mode::Level);
    let inserted = handle.insert_source(source, |_, _, front: &mut Front| {
        front.harvest();
        Ok(PostAction::Continue)
    });
    inserted.map_err(|fault| of_loop(fault.error)).map_err(named("event loop"))?;
    Ok(Sources { event_loop, connections, listener, token, peers })
}

/// Opens the socket of the messages between routers.
fn open_peers(handle: &LoopHandle<'static, Front>, own: SocketAddr) -> Result<Rc<UdpSocket>, Unopened> {
    let open = || -> io::Result<Rc<UdpSocket>> {
        let socket = UdpSocket::bind(own)?;
        socket.set_nonblocking(true)?;
        let socket = Rc::new(socket);
        let source = Generic::new(socket.clone(), Interest::READ, Mode::Level);
        let inserted = handle.insert_source(source, |_, _, front: &mut Front| {
            front.receive_datagrams();
            Ok(PostAction::Continue)
        });
        inserted.map_err(|fault| of_loop(fault.error))?;
        Ok(socket)
    };
    open().map_err(|fault| Unopened { what: format!("peers.listen: {own}"), fault })
}

/// The system's own error, where the loop hands one on.
fn of_loop(fault: calloop::Error) -> io::Error {
    match fault {
        calloop::Error::IoError(fault) => fault,
        other => io::Error::other(other),
    }
}

fn listen(address: SocketAddr, backlog: i32) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(backlog)?;
    Ok(socket.into())
}
