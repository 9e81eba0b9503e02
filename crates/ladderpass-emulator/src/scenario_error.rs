//! Why a scenario can't be used. Each error prints as one line that begins with the key.

/// A scenario that can't be used.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ScenarioError {
    /// It can't be read: the deserializer's message on one line.
    #[error("{0}")]
    Syntax(String),
    /// A number is not finite, or below zero.
    #[error("{key}: {value} is not a number from 0 on")]
    NegativeOrNotFinite {
        /// Path of the key, such as `methods.board.work_ms`.
        key: String,
        /// The number that was read.
        value: f64,
    },
    /// There are no groups, or too many of them, or too many replicas.
    #[error("groups, replicas: 1 to {max_groups} groups of at most {max_replicas} replicas are allowed")]
    GroupCount {
        /// The most groups that are allowed.
        max_groups: u32,
        /// The most replicas of a group that are allowed.
        max_replicas: u32,
    },
    /// A member can run nothing.
    #[error("cores: must be above 0")]
    NoCores,
    /// There is no kind of RPC.
    #[error("methods: at least one is needed")]
    NoMethods,
    /// The value in an answer is too long.
    #[error("{key}: {bytes} is more than {max_bytes}")]
    ValueTooLong {
        /// Path of the key.
        key: String,
        /// The length that was read, in bytes.
        bytes: usize,
        /// The longest that is allowed, in bytes.
        max_bytes: usize,
    },
}
