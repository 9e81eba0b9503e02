//! Traffic between routers.

/// Mean traffic that a router sends to other routers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Traffic {
    /// Datagrams that the router sends per second.
    pub datagrams_per_second: f64,
    /// Bytes that the router sends per second.
    pub bytes_per_second: f64,
}
