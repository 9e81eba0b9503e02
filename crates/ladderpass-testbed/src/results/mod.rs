//! Results of a load: printed as a table, and kept as JSON lines so that runs can be compared.
//!
//! A file of results has one line of the kind `run` (what was run), one `slice` for each time slice, one `figures` for each
//! time that the router logged its metrics, and one `total`.
//!
//! | module | job |
//! | --- | --- |
//! | `file` | writes and reads the JSON lines |
//! | `table` | the table of a run |
//! | `report` | a table and charts of results that were read back |

mod file;
mod percent;
mod report;
mod table;

pub use file::{ResultsError, write};
pub use report::report;
pub use table::table;
