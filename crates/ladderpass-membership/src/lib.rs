//! Failure detection among routers: SWIM (Das, Gupta, Motivala, 2002) with Lifeguard (Dadgar, Phillips, Currey, 2018).
//!
//! The inputs are datagrams from other routers and the time. The outputs are datagrams, the view of which routers are
//! alive, and the changes of that view. The package does no I/O, reads no clock and makes no decisions about RPCs. Its
//! design is described in `docs/design/membership.md`.
//!
//! - [`Membership`] (`membership`): the entry points, which combine the other modules.
//! - `probe`: direct and indirect probes (ping, ping-req, ack, nack).
//! - `probe_table`: the probes in flight.
//! - `suspicion`: the suspicion after a failed probe, and its refutation or its confirmation as a death.
//! - `suspicion_timeout`: how long a suspected router has to refute, given the number of routers and of confirmations.
//! - `router_table`: the state of each known router, and which updates override it.
//! - `updates`: applies received updates and disseminates the changes.
//! - `dissemination`: piggybacked updates, gossip and view synchronisation.
//! - `update_queue`: the updates that are still to be sent.
//! - `peer_selection`: which routers are probed, are asked for an indirect probe, or receive gossip.
//! - `local_health`: Lifeguard's local health score, and whether this router is isolated.
//! - `senders`: the addresses from which datagrams are accepted.
//! - `network`: networks in CIDR form.
//! - `message`, `router_state`: the datagram between routers and the router states in it.
//! - `router_hash`: ids derived from addresses.

mod dissemination;
mod local_health;
mod membership;
mod message;
mod network;
mod peer_selection;
mod probe;
mod probe_table;
mod router_hash;
mod router_state;
mod router_table;
mod senders;
mod settings;
mod suspicion;
mod suspicion_timeout;
mod update_queue;
mod updates;
mod view;

pub use membership::{DatagramCounts, LocalRouter, Membership};
pub use message::FIRST_BYTE;
#[doc(hidden)]
pub use message::{Kind, Message};
pub use network::Network;
pub use router_hash::router_hash;
#[doc(hidden)]
pub use router_state::StateUpdate;
pub use router_state::{Incarnation, State};
pub use router_table::{Change, Confidence, Peer};
pub use settings::{Faulty, Settings};
pub use view::View;
