//! Results of a load. They are printed as a table, and written as JSON lines so that runs can be compared later.
//!
//! A file of results has one line of the kind `run` (methods and options of the run), one `slice` for each time slice, one
//! `figures` for each time that the router logged its metrics, and one `total`.
//!
//! | module | job |
//! | --- | --- |
//! | `file` | writes and reads the JSON lines |
//! | `table` | formats the table of a run |
//! | `percent` | formats ratios |
//! | `report` | makes a table and charts of results that were read from a file |

mod file;
mod percent;
mod report;
mod table;

pub use file::{ResultsError, write};
pub use report::report;
pub use table::table;
