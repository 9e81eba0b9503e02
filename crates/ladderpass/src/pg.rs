//! PostgreSQL's wire protocol, version 3, as far as a router needs it: parses messages into values, and writes
//! messages.
//!
//! The modules of `pg` keep no state between calls, and use no connection.

mod error_response;
mod frame;
mod load_report;
mod primitives;
mod query;
mod startup;
mod statement_comment;
mod statement_form;

pub use error_response::{ErrorResponse, parse_error_response, put_error, put_recoverable_error};
pub use frame::{Frame, FrameHeader, READY, parse_frame, parse_frame_header, put_frame, put_ready};
pub use load_report::parse_load_report;
pub use primitives::Malformed;
pub use query::{
    ParameterStatus, is_single_column_description, is_single_row_completion, parse_parameter_status,
    parse_query, parse_single_column, put_query,
};
pub use startup::{InitialFrame, InitialMessage, parse_initial_message, put_startup, put_startup_reply};
pub use statement_comment::{CommentError, StatementComment, parse_comment};
pub use statement_form::{StatementForm, parse_statement_form};
