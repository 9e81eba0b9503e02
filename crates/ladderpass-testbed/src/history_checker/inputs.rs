//! Inputs of the history checker that the load, the fault tool and the emulator do not record: absences of routers,
//! drain notices, and which router and member each link connects.

use ladderpass_routing::Time;

/// A time in which a router can't answer: from a kill or a SIGTERM to its next start, while it is frozen, or while
/// its clients are cut off from it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Absence {
    /// Index of the router.
    pub router: usize,
    /// When the absence began.
    pub from: Time,
    /// When the absence ended, or a time in the far future while the absence is open.
    pub to: Time,
    /// Whether the absence is a graceful shutdown. RPCs that were sent before the shutdown began must still be
    /// answered.
    pub planned: bool,
}

/// A notice to a router that a member drains.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DrainNotice {
    /// Index of the router.
    pub router: usize,
    /// Index of the member.
    pub member: u32,
    /// When discovery sent the notice.
    pub at: Time,
}

/// The ends of a link of the fault tool that carries one router's connections to one member.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MemberLink {
    /// Index of the router.
    pub router: usize,
    /// Index of the member.
    pub member: u32,
}
