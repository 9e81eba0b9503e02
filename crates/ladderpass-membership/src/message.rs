//! The datagram between routers. It consists of a header, the sender's own state, updates about other routers, and a
//! piggybacked payload.
//!
//! The first byte differs from that of every legacy gossip datagram, so that legacy routers drop these datagrams
//! without decoding them. A datagram that cannot be decoded completely is dropped.

use crate::router_state::{Incarnation, State, StateUpdate};
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};

/// The first byte of each datagram. Legacy gossip never starts with this byte.
pub const FIRST_BYTE: u8 = b'!';
const VERSION: u8 = 1;

/// Encoded size of a datagram's header: first byte, version, kind, sequence number and digest.
const HEADER_BYTES: usize = 1 + 1 + 1 + 4 + 4;
const INCARNATION_BYTES: usize = 8;
const SUSPECTED_BY_BYTES: usize = 2;
/// Encoded size of an IPv4 address and port.
const IPV4_ADDRESS_BYTES: usize = 4 + 2;
/// Encoded size of an IPv6 address and port.
const IPV6_ADDRESS_BYTES: usize = 16 + 2;

/// The bits of an update's first byte that hold the state.
const STATE_MASK: u8 = 3;
/// The bit of an update's first byte that is set if the address is an IPv6 address.
const IPV6_FLAG: u8 = 1 << 2;
/// The byte that precedes the piggybacked payload. No update starts with it.
const PIGGYBACK_MARKER: u8 = 1 << 7;

/// The router states in the order of their numbers on the wire.
const STATES: [State; 4] = [State::Alive, State::Suspect, State::Dead, State::Left];

/// The kind of a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A probe, which the receiver answers with an `Ack`.
    Ping,
    /// The answer to a `Ping`.
    Ack,
    /// Asks the receiver to probe the router of the first update (ping-req).
    PingRequest,
    /// The router of the first update has answered an indirect probe.
    IndirectAck,
    /// The indirect probe has no answer yet, but the relay is alive (Lifeguard).
    Nack,
    /// A datagram that carries only updates.
    Gossip,
}

/// The datagram kinds in the order of their numbers on the wire.
const KINDS: [Kind; 6] =
    [Kind::Ping, Kind::Ack, Kind::PingRequest, Kind::IndirectAck, Kind::Nack, Kind::Gossip];

/// A decoded datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// The kind of the datagram.
    pub kind: Kind,
    /// The sequence number of a probe. The answer to the probe carries the same number.
    pub sequence: u32,
    /// Digest of the sender's view, including the sender's own incarnation.
    pub digest: u32,
    /// The sender's own state.
    pub sender_state: StateUpdate,
    /// The states of other routers.
    pub updates: Vec<StateUpdate>,
    /// Opaque payload of another part of the router, empty if there is no payload.
    pub piggyback: Vec<u8>,
}

/// The encoded size of an update, in bytes.
pub(crate) fn update_bytes(update: &StateUpdate) -> usize {
    let address = if update.router.is_ipv4() { IPV4_ADDRESS_BYTES } else { IPV6_ADDRESS_BYTES };
    let suspected_by = if update.state == State::Suspect { SUSPECTED_BY_BYTES } else { 0 };
    1 + address + INCARNATION_BYTES + suspected_by
}

impl Message {
    /// The encoded size of the message, in bytes.
    pub fn encoded_bytes(&self) -> usize {
        let updates = self.updates.iter().map(update_bytes).sum::<usize>();
        HEADER_BYTES + update_bytes(&self.sender_state) + updates + self.piggyback_bytes()
    }

    fn piggyback_bytes(&self) -> usize {
        if self.piggyback.is_empty() { 0 } else { 1 + self.piggyback.len() }
    }

    /// Encodes the message as a datagram.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(self.encoded_bytes());
        let kind = KINDS.iter().position(|&kind| kind == self.kind).unwrap_or_default() as u8;
        bytes.extend([FIRST_BYTE, VERSION, kind]);
        bytes.extend(self.sequence.to_be_bytes());
        bytes.extend(self.digest.to_be_bytes());
        for update in [&self.sender_state].into_iter().chain(&self.updates) {
            encode_update(update, &mut bytes);
        }
        if !self.piggyback.is_empty() {
            bytes.push(PIGGYBACK_MARKER);
            bytes.extend(&self.piggyback);
        }
        bytes
    }

    /// Decodes a datagram. Returns `None` if any part of the datagram is malformed, or if its version is not `VERSION`.
    pub fn decode(bytes: &[u8]) -> Option<Message> {
        let mut rest = bytes;
        let [first, version, kind] = take_bytes::<3>(&mut rest)?;
        if first != FIRST_BYTE || version != VERSION {
            return None;
        }
        let kind = *KINDS.get(usize::from(kind))?;
        let sequence = u32::from_be_bytes(take_bytes(&mut rest)?);
        let digest = u32::from_be_bytes(take_bytes(&mut rest)?);
        let sender_state = decode_update(&mut rest)?;
        let mut updates = Vec::new();
        let mut piggyback = Vec::new();
        while let Some((&first, payload)) = rest.split_first() {
            if first == PIGGYBACK_MARKER {
                piggyback = payload.to_vec();
                break;
            }
            updates.push(decode_update(&mut rest)?);
        }
        Some(Message { kind, sequence, digest, sender_state, updates, piggyback })
    }
}

fn encode_update(update: &StateUpdate, bytes: &mut Vec<u8>) {
    let state = STATES.iter().position(|&state| state == update.state).unwrap_or_default() as u8;
    let ipv6 = if update.router.is_ipv6() { IPV6_FLAG } else { 0 };
    bytes.push(state | ipv6);
    match update.router.ip() {
        IpAddr::V4(ip) => bytes.extend(ip.octets()),
        IpAddr::V6(ip) => bytes.extend(ip.octets()),
    }
    bytes.extend(update.router.port().to_be_bytes());
    bytes.extend(update.incarnation.0.to_be_bytes());
    if update.state == State::Suspect {
        bytes.extend(update.suspected_by.to_be_bytes());
    }
}

fn decode_update(rest: &mut &[u8]) -> Option<StateUpdate> {
    let [flags] = take_bytes::<1>(rest)?;
    if flags & !(IPV6_FLAG | STATE_MASK) != 0 {
        return None;
    }
    let state = *STATES.get(usize::from(flags & STATE_MASK))?;
    let ip = match flags & IPV6_FLAG {
        0 => IpAddr::V4(Ipv4Addr::from(take_bytes::<4>(rest)?)),
        _ => IpAddr::V6(Ipv6Addr::from(take_bytes::<16>(rest)?)),
    };
    let router = SocketAddr::new(ip, u16::from_be_bytes(take_bytes(rest)?));
    let incarnation = Incarnation(u64::from_be_bytes(take_bytes(rest)?));
    let suspected_by = if state == State::Suspect { u16::from_be_bytes(take_bytes(rest)?) } else { 0 };
    Some(StateUpdate { router, state, incarnation, suspected_by })
}

fn take_bytes<const N: usize>(rest: &mut &[u8]) -> Option<[u8; N]> {
    let (head, tail) = rest.split_first_chunk::<N>()?;
    *rest = tail;
    Some(*head)
}
