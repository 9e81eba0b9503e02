//! Adapter between the operators' simulator and the decisions of `ladderpass-routing`.
//!
//! The simulator writes events to standard input, one JSON object a line, and reads actions from standard output. It
//! plays any number of routers in one process. Events come in batches, which the line `END` ends; the answer to a batch
//! is all actions of its routers, and again `END`. Nothing is decided here.
//!
//! `events`: lines as they come. `endpoint_lists`: the lists that events name by number. `instances`: all routers of the
//! process. `instance`: one router. `rpcs`: its RPCs. `actions`: lines as they go. A line that is wrong is named on
//! standard error and ignored.

mod actions;
mod endpoint_lists;
mod errors;
mod events;
mod instance;
mod instances;
mod rpcs;

use instances::{Batch, Instances};
use std::io::{self, BufRead, Write};

const STREAM_BUFFER_BYTES: usize = 1 << 20;

fn main() -> io::Result<()> {
    // A panic in a router is reported as an action, so its message isn't printed here.
    std::panic::set_hook(Box::new(|_| {}));
    let mut input = io::BufReader::with_capacity(STREAM_BUFFER_BYTES, io::stdin().lock());
    let mut output = io::BufWriter::with_capacity(STREAM_BUFFER_BYTES, io::stdout().lock());
    let mut instances = Instances::default();
    let mut line = String::new();
    let mut reply = String::new();
    loop {
        line.clear();
        let bytes_read = match input.read_line(&mut line) {
            Ok(bytes_read) => bytes_read,
            Err(error) if error.kind() == io::ErrorKind::InvalidData => {
                eprintln!("ladderpass: ignored a line that is not UTF-8");
                continue;
            }
            Err(error) => return Err(error),
        };
        if bytes_read == 0 {
            return Ok(());
        }
        let text = line.trim();
        if text.is_empty() {
            continue;
        }
        match instances.handle_line(text, &mut reply) {
            Ok(Batch::Open) => {}
            Ok(Batch::Complete) => {
                output.write_all(reply.as_bytes())?;
                output.flush()?;
                reply.clear();
            }
            Err(error) => eprintln!("ladderpass: {error}"),
        }
    }
}
