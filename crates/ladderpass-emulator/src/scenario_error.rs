//! Reasons to reject a scenario. The message of each error is one line. It begins with the invalid key, except for
//! `Syntax`.

/// The reason why a scenario is rejected.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ScenarioError {
    /// The YAML of the scenario can't be parsed. The error contains the deserializer's message on one line.
    #[error("{0}")]
    Syntax(String),
    /// A number in the scenario is negative or not finite.
    #[error("{key}: {value} is not a finite number of at least 0")]
    NegativeOrNotFinite {
        /// The path of the key of the number in the scenario, such as `methods.board.work_ms`.
        key: String,
        /// The number that the scenario sets for the key.
        value: f64,
    },
    /// The scenario has no groups, too many groups, or too many replicas per group.
    #[error("groups, replicas: 1 to {max_groups} groups of at most {max_replicas} replicas are allowed")]
    GroupCount {
        /// Maximum number of groups in a scenario.
        max_groups: u32,
        /// Maximum number of replicas in a group.
        max_replicas: u32,
    },
    /// The members have no cores, so they could run no statement.
    #[error("cores: must be above 0")]
    NoCores,
    /// The scenario has no methods.
    #[error("methods: at least one method is required")]
    NoMethods,
    /// The scenario sets a larger size for the value in an answer than is allowed.
    #[error("{key}: {bytes} is more than {max_bytes}")]
    ValueTooLong {
        /// The path of the key of the size in the scenario, such as `methods.read.value_bytes`.
        key: String,
        /// The size that the scenario sets for the value, in bytes.
        bytes: usize,
        /// The maximum size of a value in an answer, in bytes.
        max_bytes: usize,
    },
}
