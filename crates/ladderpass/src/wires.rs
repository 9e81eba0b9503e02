//! The sockets of connections: one set of the kernel's that the loop watches as a single source, and what each read
//! tells of when its bytes came.
//!
//! It owns the sockets. It must never look into bytes, nor decide when to read or write.

use crate::reducer::ConnId;
use ladderpass_core::Span;
use nix::sys::epoll::{Epoll, EpollCreateFlags, EpollEvent, EpollFlags, EpollTimeout};
use nix::sys::socket::{ControlMessageOwned, MsgFlags, recvmsg, setsockopt, sockopt};
use rustc_hash::FxHashMap;
use std::io::{self, IoSliceMut};
use std::net::TcpStream;
use std::os::fd::{AsFd, AsRawFd, BorrowedFd};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// The kernel's set, as the loop's source.
pub struct Set(Epoll);

impl AsFd for Set {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.0.0.as_fd()
    }
}

pub struct Wire {
    pub stream: TcpStream,
    /// It is coming up: its first writability tells how that went.
    pub coming: bool,
    /// Opened by this router.
    pub ours: bool,
    /// It was not read to its end the last time.
    pub unread: bool,
    /// What it has told and was not looked at yet: it stands in line once.
    told: Option<Ready>,
    /// Room for the time at which the kernel had the bytes.
    stamp: Vec<u8>,
}

/// Who has told something that is to be looked at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Teller {
    Member,
    Client,
    /// A client that has ended its sending. It is told at once, also where it stands in line already.
    LeftClient,
}

/// What a socket tells.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ready {
    pub readable: bool,
    pub writable: bool,
    /// The other side has ended it, or it is broken: it is read to its end.
    pub ended: bool,
}

pub struct Wires {
    set: Rc<Set>,
    // The ids are this router's own: nobody can choose them so that they collide.
    wires: FxHashMap<ConnId, Wire>,
    events: Vec<EpollEvent>,
}

impl Wire {
    pub fn new(stream: TcpStream, ours: bool) -> Wire {
        // Without stamps the time in the kernel counts as none, which is what it was taken for before.
        if let Err(fault) = setsockopt(&stream, sockopt::ReceiveTimestampns, &true) {
            tracing::debug!("no time of arrival from the kernel: {fault}");
        }
        let stamp = nix::cmsg_space!(nix::sys::time::TimeSpec);
        Wire { stream, coming: ours, ours, unread: false, told: None, stamp }
    }

    /// How many bytes were read, and how long the last of them had waited in the kernel.
    pub fn read(&mut self, room: &mut [u8]) -> io::Result<(usize, Span)> {
        let mut parts = [IoSliceMut::new(room)];
        let fd = self.stream.as_raw_fd();
        let message = recvmsg::<()>(fd, &mut parts, Some(&mut self.stamp), MsgFlags::empty())?;
        let mut waited = Span::ZERO;
        // The bytes have been read, whatever became of the stamp.
        for told in message.cmsgs().into_iter().flatten() {
            if let ControlMessageOwned::ScmTimestampns(stamp) = told {
                let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
                waited = age(wall, Duration::from(stamp));
            }
        }
        Ok((message.bytes, waited))
    }
}

/// Guards against a clock that was set in between: nothing waited for less than no time, nor for hours.
pub fn age(now: Duration, then: Duration) -> Span {
    let waited = now.saturating_sub(then);
    if waited > Duration::from_secs(60) { Span::ZERO } else { Span::from_nanos(waited.as_nanos() as i64) }
}

impl Wires {
    pub fn new() -> io::Result<Wires> {
        let set = Rc::new(Set(Epoll::new(EpollCreateFlags::EPOLL_CLOEXEC)?));
        Ok(Wires { set, wires: FxHashMap::default(), events: vec![EpollEvent::empty(); 1024] })
    }

    pub fn set(&self) -> Rc<Set> {
        self.set.clone()
    }

    /// Gives it back where the kernel's set takes it not.
    pub fn add(&mut self, id: ConnId, wire: Wire) -> Result<(), (Wire, io::Error)> {
        let flags = EpollFlags::EPOLLIN | EpollFlags::EPOLLOUT | EpollFlags::EPOLLRDHUP | EpollFlags::EPOLLET;
        match self.set.0.add(&wire.stream, EpollEvent::new(flags, id.0)) {
            Ok(()) => {
                self.wires.insert(id, wire);
                Ok(())
            }
            Err(fault) => Err((wire, fault.into())),
        }
    }

    pub fn len(&self) -> usize {
        self.wires.len()
    }

    pub fn get(&self, id: ConnId) -> Option<&Wire> {
        self.wires.get(&id)
    }

    pub fn get_mut(&mut self, id: ConnId) -> Option<&mut Wire> {
        self.wires.get_mut(&id)
    }

    /// Closes it, which takes it out of the set.
    pub fn remove(&mut self, id: ConnId) -> bool {
        self.wires.remove(&id).is_some()
    }

    /// Puts each that is ready in line, without waiting. One that stands there already is not put in again: else those
    /// that are busy would fill it. All that the kernel has is taken, but not more than there are sockets: an end that
    /// waits behind a thousand others is known as soon as theirs.
    pub fn harvest(&mut self, mut stand: impl FnMut(ConnId, Teller)) -> io::Result<()> {
        for _ in 0..=self.wires.len() / self.events.len() {
            let count = match self.set.0.wait(&mut self.events, EpollTimeout::ZERO) {
                Err(nix::errno::Errno::EINTR) => return Ok(()),
                count => count?,
            };
            for event in self.events.iter().take(count) {
                let (id, flags) = (ConnId(event.data()), event.events());
                let Some(wire) = self.wires.get_mut(&id) else { continue };
                let over = EpollFlags::EPOLLERR | EpollFlags::EPOLLHUP;
                let before = wire.told.unwrap_or_default();
                let ended = flags.intersects(over | EpollFlags::EPOLLRDHUP);
                match wire.ours {
                    false if ended => stand(id, Teller::LeftClient),
                    _ if wire.told.is_some() => {}
                    true => stand(id, Teller::Member),
                    false => stand(id, Teller::Client),
                }
                wire.told = Some(Ready {
                    readable: before.readable || flags.contains(EpollFlags::EPOLLIN),
                    writable: before.writable || flags.contains(EpollFlags::EPOLLOUT),
                    ended: before.ended || ended,
                });
            }
            if count < self.events.len() {
                break;
            }
        }
        Ok(())
    }

    /// It is looked at: what it has told, and itself.
    pub fn take(&mut self, id: ConnId) -> Option<(Ready, &mut Wire)> {
        let wire = self.wires.get_mut(&id)?;
        Some((wire.told.take()?, wire))
    }
}
