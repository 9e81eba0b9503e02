//! Errors of the operator's file. Each prints as one line with the file's line, the key and what is allowed.

use crate::error_list::ErrorList;
use serde_saphyr::Spanned;
use std::net::SocketAddr;

/// Everything that is wrong with the operator's file.
pub type OperatorFileErrors = ErrorList<OperatorFileError>;

/// One thing that is wrong with the operator's file.
#[derive(Debug, thiserror::Error)]
pub enum OperatorFileError {
    /// A key that is unknown, or a value of another type.
    #[error("line {line}: {}{message}", .key.as_ref().map_or(String::new(), |key| format!("{key}: ")))]
    Unreadable {
        /// Line in the file, from 1 on.
        line: u64,
        /// What stands before the line's colon, where there is one.
        key: Option<String>,
        /// What the YAML library says, such as which keys are allowed.
        message: String,
    },
    /// An error that the YAML library gives no place for.
    #[error("{message}")]
    NoLocation {
        /// What the YAML library says.
        message: String,
    },
    /// A value that is not allowed.
    #[error("line {line}: {key}: {problem}")]
    Value {
        /// Line in the file, from 1 on; 0 where none can be named.
        line: u64,
        /// Path of the key, such as `overload.delay.from`.
        key: String,
        /// What is wrong with the value, and what is allowed.
        problem: ValueProblem,
    },
}

impl OperatorFileError {
    pub(super) fn at<T>(value: &Spanned<T>, key: &str, problem: ValueProblem) -> OperatorFileError {
        OperatorFileError::at_line(line(value), key, problem)
    }

    pub(super) fn at_line(line: u64, key: &str, problem: ValueProblem) -> OperatorFileError {
        OperatorFileError::Value { line, key: key.to_owned(), problem }
    }
}

/// The errors that were found in a file so far.
#[derive(Default)]
pub(super) struct FoundErrors {
    /// What is wrong with single keys.
    pub(super) values: OperatorFileErrors,
    /// What is wrong between two keys: one is missing, or they exclude each other.
    pub(super) combinations: OperatorFileErrors,
}

impl FoundErrors {
    /// The value of a key, if it is allowed; else its error is added.
    pub(super) fn ok_or_push<T>(&mut self, value: Result<T, OperatorFileError>) -> Option<T> {
        self.values.ok_or_push(value)
    }
}

/// The line in the file at which a value stands, from 1 on.
pub(super) fn line<T>(value: &Spanned<T>) -> u64 {
    value.referenced.line()
}

/// What is wrong with a value of the operator's file.
#[derive(Debug, thiserror::Error)]
pub enum ValueProblem {
    /// An unknown format of the log.
    #[error("{0:?}; allowed are text and json")]
    LogFormat(String),
    /// A duration that can't be read, or is out of its range.
    #[error("{value:?}; allowed are {min_ms}ms to {max_ms}ms, written with their unit: ms, s, m")]
    Duration {
        /// The text that was read.
        value: String,
        /// The least that is allowed, in milliseconds.
        min_ms: i64,
        /// The most that is allowed, in milliseconds.
        max_ms: i64,
    },
    /// A share of a resource that is out of its range.
    #[error("{value}; allowed is a share above 0 and up to {max}")]
    Share {
        /// The number that was read.
        value: f64,
        /// The most that is allowed.
        max: f64,
    },
    /// A band that does not rise.
    #[error("from {from} must be below full {full}")]
    Band {
        /// Where overload begins.
        from: f64,
        /// Where overload is full.
        full: f64,
    },
    /// A multiple of a client's fair share that is out of its range.
    #[error("{value}; allowed are {min} to {max}")]
    FairShareMultiple {
        /// The number that was read.
        value: f64,
        /// The least that is allowed.
        min: f64,
        /// The most that is allowed.
        max: f64,
    },
    /// A size that can't be read, or is out of its range.
    #[error("{0:?}; allowed are 4 KiB to 1 GiB, written with their unit")]
    SlowReaderBytes(String),
    /// A text that is not an address with a port.
    #[error("{0:?}; allowed is address:port")]
    Address(String),
    /// The address that other routers send to is not given.
    #[error("missing; allowed is address:port")]
    MissingAddress,
    /// An address is in the list a second time.
    #[error("{0} is listed twice; allowed is once")]
    DuplicateAddress(SocketAddr),
    /// A list has too many addresses.
    #[error("more than the {max} addresses allowed")]
    TooManyAddresses {
        /// The most that are allowed.
        max: usize,
    },
    /// A text that is not a network.
    #[error("{0:?}; allowed is address/bits")]
    Network(String),
    /// Other routers can't be found.
    #[error("no address and no network; allowed is at least one")]
    NoOtherRouters,
    /// One key of the legacy form without the other.
    #[error("me and all are allowed only together; use listen and listed instead")]
    IncompleteLegacyForm,
    /// The legacy list has too few addresses.
    #[error("{count}; allowed are 2 to {max} addresses")]
    LegacyListLength {
        /// Addresses in the list.
        count: usize,
        /// The most that are allowed.
        max: usize,
    },
    /// This router's index is outside of the legacy list.
    #[error("{index}; allowed are 0 to {last}")]
    LegacyIndex {
        /// The index that was read.
        index: u32,
        /// The last index of the list.
        last: usize,
    },
    /// Admission is to be shared with other routers, and there are none.
    #[error("true without peers; allowed only together with the section peers")]
    SharedAdmissionWithoutPeers,
    /// The retry budget is to be shared, and admission is not.
    #[error("true without fleet.sheds; allowed only where fleet.sheds is true")]
    SharedBudgetWithoutAdmission,
    /// The name of the zone is empty.
    #[error("empty; allowed is the name of a zone of the endpoint list")]
    EmptyZone,
}
