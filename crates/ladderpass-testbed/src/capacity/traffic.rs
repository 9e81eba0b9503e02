//! Traffic of a router to other routers.

/// What a router sends to other routers, on average.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Traffic {
    /// Datagrams a second.
    pub datagrams_per_second: f64,
    /// Bytes a second.
    pub bytes_per_second: f64,
}
