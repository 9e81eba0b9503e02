//! Traffic between routers.

/// Mean traffic that a router sends to other routers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Traffic {
    /// Datagrams a second.
    pub datagrams_per_second: f64,
    /// Bytes a second.
    pub bytes_per_second: f64,
}
