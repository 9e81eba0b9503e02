//! Which routers are alive, as far as this one can know: datagrams in and the time, datagrams and a view out.
//!
//! `message` is the form of a datagram. `table` is what is believed of each router, and which word outweighs which.
//! `detector` asks them in turn, directly and through others, and suspects before it believes a death. It follows
//! SWIM (Das, Gupta, Motivala, 2002) and Lifeguard (Dadgar, Phillips, Currey, 2018).
//!
//! It owns who is alive, and since when. It must never do I/O, read a clock, or decide anything about an RPC.

mod detector;
mod message;
mod settings;
mod table;

pub use detector::{DatagramCounts, LocalRouter, Membership, View, router_hash};
pub use message::{FIRST_BYTE, Incarnation};
#[doc(hidden)]
pub use message::{Kind, Message, StateUpdate};
pub use settings::{Faulty, Settings};
pub use table::{Change, Confidence, Peer, State};
