//! Adapter between the operators' simulator and the routing core, `ladderpass-routing`. The adapter itself makes no
//! routing decisions.
//!
//! The simulator writes events to the adapter's standard input, one JSON object per line, and reads actions from its
//! standard output. One process of the adapter runs any number of routers. Events arrive in batches, each ended by a
//! line of the kind `END`. The reply to a batch consists of all actions of its routers, followed by a line of the kind
//! `END`. A line with an error is reported on standard error and ignored.
//!
//! - `events` reads event lines.
//! - `endpoint_lists` holds the lists to which events refer by number.
//! - `instances` holds all routers of the process, `instance` is one router, and `rpcs` holds the RPCs of one router.
//! - `actions` writes action lines.

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
    // The default hook is disabled, because `Instances` itself reports a panic in a router.
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
