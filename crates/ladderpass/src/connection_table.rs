//! The sockets of connections: one set of the kernel's that the loop watches as a single source, and what each read
//! tells of when its bytes came.
//!
//! It owns the sockets. It must never look into bytes, nor decide when to read or write.

use crate::reducer::ConnectionId;
use nix::sys::epoll::{Epoll, EpollCreateFlags, EpollEvent, EpollFlags, EpollTimeout};
use nix::sys::socket::{ControlMessageOwned, MsgFlags, recvmsg, setsockopt, sockopt};
use rustc_hash::FxHashMap;
use std::io::{self, IoSliceMut};
use std::net::TcpStream;
use std::os::fd::{AsFd, AsRawFd, BorrowedFd};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The kernel's set, as the loop's source.
pub struct Set(Epoll);

impl AsFd for Set {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.0.0.as_fd()
    }
}

/// A client's, a member's or discovery's connection.
pub struct Connection {
    pub stream: TcpStream,
    /// It is coming up: its first writability tells how that went.
    pub connecting: bool,
    /// Opened by this router.
    pub ours: bool,
    /// It was not read to its end the last time.
    pub unread: bool,
    /// All that it holds unread has come since then.
    pub quiet_until: Instant,
    /// What it has told and was not looked at yet: it stands in line once.
    told: Option<Ready>,
    /// Room for the time at which the kernel had the bytes.
    stamp: Vec<u8>,
}

/// Who has told something that is to be looked at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventSource {
    Member,
    Client,
    /// A client that has ended its sending. It is told at once, also where it stands in line already.
    ClosedClient,
}

/// What a socket tells.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ready {
    pub readable: bool,
    pub writable: bool,
    /// The other side has ended it, or it is broken: it is read to its end.
    pub ended: bool,
}

/// All connections, by their ids.
pub struct ConnectionTable {
    set: Rc<Set>,
    // The ids are this router's own: nobody can choose them so that they collide.
    connections: FxHashMap<ConnectionId, Connection>,
    /// When the set was asked last, and told all that it had.
    polled_at: Instant,
    events: Vec<EpollEvent>,
}

impl Connection {
    /// `quiet_until`: nothing had come on it before that.
    pub fn new(stream: TcpStream, ours: bool, quiet_until: Instant) -> Connection {
        // Without stamps the time in the kernel counts as none, which is what it was taken for before.
        if let Err(fault) = setsockopt(&stream, sockopt::ReceiveTimestampns, &true) {
            tracing::debug!("no time of arrival from the kernel: {fault}");
        }
        let stamp = nix::cmsg_space!(nix::sys::time::TimeSpec);
        Connection { stream, connecting: ours, ours, unread: false, quiet_until, told: None, stamp }
    }

    /// How many bytes were read, and when the last of them came, by the kernel's wall clock.
    pub fn read(&mut self, room: &mut [u8]) -> io::Result<(usize, Option<Duration>)> {
        let mut parts = [IoSliceMut::new(room)];
        let fd = self.stream.as_raw_fd();
        let message = recvmsg::<()>(fd, &mut parts, Some(&mut self.stamp), MsgFlags::empty())?;
        // The bytes have been read, whatever became of the stamp.
        let stamps = message.cmsgs().into_iter().flatten();
        let stamp = stamps.filter_map(|told| match told {
            ControlMessageOwned::ScmTimestampns(stamp) => Some(Duration::from(stamp)),
            _ => None,
        });
        Ok((message.bytes, stamp.last()))
    }
}

impl ConnectionTable {
    pub fn new() -> io::Result<ConnectionTable> {
        let set = Rc::new(Set(Epoll::new(EpollCreateFlags::EPOLL_CLOEXEC)?));
        let events = vec![EpollEvent::empty(); 1024];
        Ok(ConnectionTable { set, connections: FxHashMap::default(), polled_at: Instant::now(), events })
    }

    pub fn set(&self) -> Rc<Set> {
        self.set.clone()
    }

    /// Has it watched; gives it back where the kernel can't.
    pub fn add(&mut self, id: ConnectionId, connection: Connection) -> Result<(), (Connection, io::Error)> {
        let flags = EpollFlags::EPOLLIN | EpollFlags::EPOLLOUT | EpollFlags::EPOLLRDHUP | EpollFlags::EPOLLET;
        match self.set.0.add(&connection.stream, EpollEvent::new(flags, id.0)) {
            Ok(()) => {
                self.connections.insert(id, connection);
                Ok(())
            }
            Err(fault) => Err((connection, fault.into())),
        }
    }

    pub fn len(&self) -> usize {
        self.connections.len()
    }

    pub fn get(&self, id: ConnectionId) -> Option<&Connection> {
        self.connections.get(&id)
    }

    pub fn get_mut(&mut self, id: ConnectionId) -> Option<&mut Connection> {
        self.connections.get_mut(&id)
    }

    /// Closes it, which takes it out of the set.
    pub fn remove(&mut self, id: ConnectionId) -> bool {
        self.connections.remove(&id).is_some()
    }

    /// Since when what the sockets have to tell has not been asked for.
    pub fn polled_at(&self) -> Instant {
        self.polled_at
    }

    /// The set had nothing to tell then.
    pub fn was_quiet(&mut self, at: Instant) {
        self.polled_at = self.polled_at.max(at);
    }

    /// Puts each that is ready in line, without waiting. One that stands there already is not put in again: else those
    /// that are busy would fill it. All that the kernel has is taken, but not more than there are sockets: an end that
    /// waits behind a thousand others is known as soon as theirs.
    pub fn harvest(&mut self, mut stand: impl FnMut(ConnectionId, EventSource)) -> io::Result<()> {
        let began = Instant::now();
        for _ in 0..=self.connections.len() / self.events.len() {
            let count = match self.set.0.wait(&mut self.events, EpollTimeout::ZERO) {
                Err(nix::errno::Errno::EINTR) => return Ok(()),
                count => count?,
            };
            for event in self.events.iter().take(count) {
                let (id, flags) = (ConnectionId(event.data()), event.events());
                let Some(connection) = self.connections.get_mut(&id) else { continue };
                // What it tells now it would have told then, had it been there.
                if connection.told.is_none() && !connection.unread {
                    connection.quiet_until = connection.quiet_until.max(self.polled_at);
                }
                let over = EpollFlags::EPOLLERR | EpollFlags::EPOLLHUP;
                let before = connection.told.unwrap_or_default();
                let ended = flags.intersects(over | EpollFlags::EPOLLRDHUP);
                match connection.ours {
                    false if ended => stand(id, EventSource::ClosedClient),
                    _ if connection.told.is_some() => {}
                    true => stand(id, EventSource::Member),
                    false => stand(id, EventSource::Client),
                }
                connection.told = Some(Ready {
                    readable: before.readable || flags.contains(EpollFlags::EPOLLIN),
                    writable: before.writable || flags.contains(EpollFlags::EPOLLOUT),
                    ended: before.ended || ended,
                });
            }
            if count < self.events.len() {
                self.polled_at = began;
                break;
            }
        }
        Ok(())
    }

    /// It is looked at: what it has told, and itself.
    pub fn take(&mut self, id: ConnectionId) -> Option<(Ready, &mut Connection)> {
        let connection = self.connections.get_mut(&id)?;
        Some((connection.told.take()?, connection))
    }
}
