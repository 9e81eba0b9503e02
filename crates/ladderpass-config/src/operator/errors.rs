//! Errors of the operator's file. Each error is printed on one line, with the line number in the file, the key and what
//! is allowed, as far as these three are known.

use crate::error_list::ErrorList;
use serde_saphyr::Spanned;
use std::net::SocketAddr;

/// All errors of the operator's file.
pub type OperatorFileErrors = ErrorList<OperatorFileError>;

/// An error of the operator's file.
#[derive(Debug, thiserror::Error)]
pub enum OperatorFileError {
    /// A key is unknown, or a value has a wrong type.
    #[error("line {line}: {}{message}", .key.as_ref().map_or(String::new(), |key| format!("{key}: ")))]
    Unreadable {
        /// The number of the line with the error in the operator's file, from 1.
        line: u64,
        /// The text before the first colon of the line with the error, if the line has a colon.
        key: Option<String>,
        /// The message of the YAML library, such as which keys are allowed.
        message: String,
    },
    /// The YAML library reports an error without a location.
    #[error("{message}")]
    NoLocation {
        /// The message of the YAML library.
        message: String,
    },
    /// A value is not allowed.
    #[error("line {line}: {key}: {problem}")]
    Value {
        /// The number of the line with the value in the operator's file, from 1, or 0 if no line is known.
        line: u64,
        /// The path of the key of the value, such as `overload.delay.from`.
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

/// The errors that were found so far in an operator's file.
#[derive(Default)]
pub(super) struct FoundErrors {
    /// The errors of single keys and values.
    pub(super) values: OperatorFileErrors,
    /// The errors of combinations: a required key is missing, or two values do not fit together.
    pub(super) combinations: OperatorFileErrors,
}

impl FoundErrors {
    /// Returns the value of a key if the value is allowed. Otherwise adds the error to the errors of single keys and
    /// values, and returns `None`.
    pub(super) fn ok_or_push<T>(&mut self, value: Result<T, OperatorFileError>) -> Option<T> {
        self.values.ok_or_push(value)
    }
}

/// Returns the line number of a value in the file, from 1.
pub(super) fn line<T>(value: &Spanned<T>) -> u64 {
    value.referenced.line()
}

/// What is wrong with a value of the operator's file.
#[derive(Debug, thiserror::Error)]
pub enum ValueProblem {
    /// The value for the format of the log is none of the allowed formats.
    #[error("{0:?}; allowed are text and json")]
    LogFormat(String),
    /// A duration can't be parsed, or is outside its range.
    #[error("{value:?}; allowed are {min_ms}ms to {max_ms}ms, written with their unit: ms, s, m")]
    Duration {
        /// The text that the file has as the duration.
        value: String,
        /// The shortest allowed duration, in milliseconds.
        min_ms: i64,
        /// The longest allowed duration, in milliseconds.
        max_ms: i64,
    },
    /// A share of a resource, such as of the allowed memory, is outside its range.
    #[error("{value}; allowed is a share above 0 and up to {max}")]
    Share {
        /// The number in the file.
        value: f64,
        /// The largest share of the resource that the file may set.
        max: f64,
    },
    /// The start of a band (a range over which the overload pressure rises) is not below the end of the band.
    #[error("from {from} must be below full {full}")]
    Band {
        /// The start of the band, above which the overload pressure rises.
        from: f64,
        /// The end of the band. Here the pressure of a resource is full, and the pressure of the delay is four fifths
        /// of full.
        full: f64,
    },
    /// The key `overload.fair`, a multiple of a client's fair share of the router's work, is outside its range.
    #[error("{value}; allowed are {min} to {max}")]
    FairShareMultiple {
        /// The number in the file.
        value: f64,
        /// The smallest allowed multiple of a client's fair share.
        min: f64,
        /// The largest allowed multiple of a client's fair share.
        max: f64,
    },
    /// The maximum size of a client's unread answers can't be parsed, or is outside its range.
    #[error("{0:?}; allowed are 4 KiB to 1 GiB, written with their unit")]
    SlowReaderBytes(String),
    /// A text is not an address with a port, or the address can't be sent to.
    #[error("{0:?}; allowed is address:port")]
    Address(String),
    /// The address of this router (`peers.listen`) is missing.
    #[error("missing; allowed is address:port")]
    MissingAddress,
    /// A list of router addresses in the section `peers` contains the same address twice.
    #[error("{0} is listed twice; allowed is once")]
    DuplicateAddress(SocketAddr),
    /// A list of router addresses in the section `peers` has more entries than are allowed.
    #[error("more than the {max} addresses allowed")]
    TooManyAddresses {
        /// The maximum number of addresses in a list of the section `peers`.
        max: usize,
    },
    /// A text in the list `peers.networks` is not a network.
    #[error("{0:?}; allowed is address/bits")]
    Network(String),
    /// The section `peers` offers no way to find other routers: the lists of addresses and of networks are empty.
    #[error("no address and no network; allowed is at least one")]
    NoOtherRouters,
    /// One of the two keys of the legacy form of the section `peers` (`me` and `all`) is present without the other.
    #[error("me and all are allowed only together; use listen and listed instead")]
    IncompleteLegacyForm,
    /// In the legacy form of the section `peers`, the list of all routers' addresses (`all`) has too few addresses.
    #[error("{count}; allowed are 2 to {max} addresses")]
    LegacyListLength {
        /// The number of addresses in the list `all`.
        count: usize,
        /// The maximum number of addresses in the list `all`.
        max: usize,
    },
    /// In the legacy form of the section `peers`, this router's index (`me`) is past the end of the list of all
    /// routers' addresses (`all`).
    #[error("{index}; allowed are 0 to {last}")]
    LegacyIndex {
        /// The index of this router that the file sets, counted from 0.
        index: u32,
        /// The last index of the list `all`.
        last: usize,
    },
    /// Admission is to be shared with other routers, but the section `peers` is missing.
    #[error("true without peers; allowed only together with the section peers")]
    SharedAdmissionWithoutPeers,
    /// The retry budget is to be shared with other routers, but admission is not shared.
    #[error("true without fleet.sheds; allowed only where fleet.sheds is true")]
    SharedBudgetWithoutAdmission,
    /// The name of this router's zone is empty.
    #[error("empty; allowed is the name of a zone of the endpoint list")]
    EmptyZone,
}
