//! Records of a run beside those of the load, the fault tool and the emulator: absences, drains, the use of links.

use ladderpass_routing::Time;

/// A time in which a router can't answer: from a kill to its next start, while it is frozen, or while its clients are cut
/// off from it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Absence {
    /// Index of the router.
    pub router: usize,
    /// Its first moment.
    pub from: Time,
    /// Its last moment.
    pub to: Time,
    /// A graceful shutdown: RPCs sent before it must be answered all the same.
    pub planned: bool,
}

/// A router was notified that a member drains.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DrainNotice {
    /// Index of the router.
    pub router: usize,
    /// Number of the member.
    pub member: u32,
    /// When the router was notified.
    pub at: Time,
}

/// The use of a link of the fault tool: one router's connections to one member.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MemberLink {
    /// Index of the router.
    pub router: usize,
    /// Number of the member.
    pub member: u32,
}
