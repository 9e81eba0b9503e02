//! Failure detection among routers: SWIM (Das, Gupta, Motivala, 2002) with Lifeguard (Dadgar, Phillips, Currey, 2018).
//!
//! Inputs are datagrams of other routers and the time; outputs are datagrams, the view of who is alive, and its
//! changes. The package does no I/O, reads no clock and decides nothing about an RPC (`docs/design/membership.md`).
//!
//! - [`Membership`] (`membership`): the entry points. It composes the other modules.
//! - `probe`: direct and indirect probes (ping, ping-req, ack, nack); `probe_table`: those in flight.
//! - `suspicion`: a failed probe leads to a suspicion, which is refuted or confirmed as a death; `suspicion_timeout`:
//!   how long a suspected router has to refute, by the number of routers and confirmations.
//! - `router_table`: the state of each known router and which update overrides it.
//! - `updates`: applies received updates and disseminates the changes.
//! - `dissemination`: piggybacked updates, gossip and view synchronisation; `update_queue`: updates yet to be sent.
//! - `peer_selection`: whom to probe, to ask for an indirect probe, and to send gossip to.
//! - `local_health`: Lifeguard's local health score, and whether this router is isolated.
//! - `senders`: from which addresses datagrams are accepted; `network`: networks in CIDR form.
//! - `message`, `router_state`: the datagram and its parts; `router_hash`: ids derived from addresses.

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
