//! The form of a datagram: a mark that no earlier program reads as a word, what it is, whose, and words on routers.
//!
//! It owns the form alone. A reader drops what it can't read as a whole. It must never decide what is told.

use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};

/// The first byte of each datagram: no letter of the words that earlier programs exchange, which drop it unread.
pub const FIRST_BYTE: u8 = b'!';
const VERSION: u8 = 1;

/// A router's life and its words on itself: milliseconds of its start, and how often it has contradicted since. A
/// later life counts for more than any word on an earlier one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation(pub u64);

const WORDS: u32 = 16;

impl Incarnation {
    pub fn of_start(unix_ms: i64) -> Incarnation {
        Incarnation((unix_ms.max(0) as u64) << WORDS)
    }

    /// The next word on itself. After the last of a life it is as if it had started a millisecond later.
    pub fn next(self) -> Incarnation {
        Incarnation(self.0.saturating_add(1))
    }

    /// A life after this one: for a router whose clock has gone back.
    pub fn next_life(self) -> Incarnation {
        Incarnation((self.0 >> WORDS).saturating_add(1).min(u64::MAX >> WORDS) << WORDS)
    }

    pub fn started_ms(self) -> u64 {
        self.0 >> WORDS
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum State {
    Alive,
    Suspect,
    Dead,
    /// It said so itself.
    Left,
}

const STATES: [State; 4] = [State::Alive, State::Suspect, State::Dead, State::Left];

impl State {
    pub fn is_gone(self) -> bool {
        self >= State::Dead
    }
}

/// A word on a router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StateUpdate {
    pub router: SocketAddr,
    pub state: State,
    pub incarnation: Incarnation,
    /// Of a suspicion: a mark of the router that had it first.
    pub suspected_by: u16,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Ping,
    Ack,
    /// Ask the router of the first word for me.
    PingRequest,
    /// The router of the first word has answered.
    IndirectAck,
    /// It has not answered me in time; but I am there.
    Nack,
    /// Words alone.
    Gossip,
}

const KINDS: [Kind; 6] =
    [Kind::Ping, Kind::Ack, Kind::PingRequest, Kind::IndirectAck, Kind::Nack, Kind::Gossip];

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    pub kind: Kind,
    /// Of an ask; its answer has the same.
    pub sequence: u32,
    /// What the sender's view comes to.
    pub digest: u32,
    pub own: StateUpdate,
    pub updates: Vec<StateUpdate>,
    /// What another part of the program tells along with a question or an answer.
    pub piggyback: Vec<u8>,
}

/// Stands before a load: no word begins so.
const LOAD: u8 = 1 << 7;
const HEAD: usize = 1 + 1 + 1 + 4 + 4;
const V6: u8 = 1 << 2;

pub fn length_of(word: &StateUpdate) -> usize {
    let address = if word.router.is_ipv4() { 6 } else { 18 };
    1 + address + 8 + if word.state == State::Suspect { 2 } else { 0 }
}

impl Message {
    /// Bytes that it takes so far.
    pub fn length(&self) -> usize {
        HEAD + length_of(&self.own) + self.updates.iter().map(length_of).sum::<usize>() + self.load_length()
    }

    fn load_length(&self) -> usize {
        if self.piggyback.is_empty() { 0 } else { 1 + self.piggyback.len() }
    }

    pub fn write(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(self.length());
        let kind = KINDS.iter().position(|&kind| kind == self.kind).unwrap_or_default() as u8;
        bytes.extend([FIRST_BYTE, VERSION, kind]);
        bytes.extend(self.sequence.to_be_bytes());
        bytes.extend(self.digest.to_be_bytes());
        for word in [&self.own].into_iter().chain(&self.updates) {
            let state = STATES.iter().position(|&state| state == word.state).unwrap_or_default() as u8;
            let v6 = if word.router.is_ipv6() { V6 } else { 0 };
            bytes.push(state | v6);
            match word.router.ip() {
                IpAddr::V4(ip) => bytes.extend(ip.octets()),
                IpAddr::V6(ip) => bytes.extend(ip.octets()),
            }
            bytes.extend(word.router.port().to_be_bytes());
            bytes.extend(word.incarnation.0.to_be_bytes());
            if word.state == State::Suspect {
                bytes.extend(word.suspected_by.to_be_bytes());
            }
        }
        if !self.piggyback.is_empty() {
            bytes.push(LOAD);
            bytes.extend(&self.piggyback);
        }
        bytes
    }

    /// None where any of it can't be read.
    pub fn read(bytes: &[u8]) -> Option<Message> {
        let mut rest = bytes;
        let [first, version, kind] = take::<3>(&mut rest)?;
        if first != FIRST_BYTE || version != VERSION {
            return None;
        }
        let kind = *KINDS.get(usize::from(kind))?;
        let number = u32::from_be_bytes(take(&mut rest)?);
        let digest = u32::from_be_bytes(take(&mut rest)?);
        let own = word(&mut rest)?;
        let (mut words, mut load) = (Vec::new(), Vec::new());
        while let Some((&first, behind)) = rest.split_first() {
            if first == LOAD {
                load = behind.to_vec();
                break;
            }
            words.push(word(&mut rest)?);
        }
        Some(Message { kind, sequence: number, digest, own, updates: words, piggyback: load })
    }
}

fn take<const N: usize>(rest: &mut &[u8]) -> Option<[u8; N]> {
    let (head, tail) = rest.split_first_chunk::<N>()?;
    *rest = tail;
    Some(*head)
}

fn word(rest: &mut &[u8]) -> Option<StateUpdate> {
    let [flags] = take::<1>(rest)?;
    if flags & !(V6 | 3) != 0 {
        return None;
    }
    let state = *STATES.get(usize::from(flags & 3))?;
    let ip = match flags & V6 {
        0 => IpAddr::V4(Ipv4Addr::from(take::<4>(rest)?)),
        _ => IpAddr::V6(Ipv6Addr::from(take::<16>(rest)?)),
    };
    let who = SocketAddr::new(ip, u16::from_be_bytes(take(rest)?));
    let incarnation = Incarnation(u64::from_be_bytes(take(rest)?));
    let accuser = if state == State::Suspect { u16::from_be_bytes(take(rest)?) } else { 0 };
    Some(StateUpdate { router: who, state, incarnation, suspected_by: accuser })
}
