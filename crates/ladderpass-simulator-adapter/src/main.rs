//! The bench's wire on standard input and output; one router of `ladderpass-routing` an instance.
//!
//! Lines are decoded into calls and results are encoded as actions. Nothing is decided here.

mod lines;
mod wire;

use std::io::{self, BufRead, Write};

fn main() -> io::Result<()> {
    std::panic::set_hook(Box::new(|_| {}));
    let mut input = io::BufReader::with_capacity(1 << 20, io::stdin().lock());
    let mut output = io::BufWriter::with_capacity(1 << 20, io::stdout().lock());
    let mut tier = wire::Tier::default();
    let mut line = String::new();
    let mut reply = String::new();
    loop {
        line.clear();
        let read = match input.read_line(&mut line) {
            Ok(read) => read,
            Err(fault) if fault.kind() == io::ErrorKind::InvalidData => {
                eprintln!("ladderpass: a line is not UTF-8; passed over");
                continue;
            }
            Err(fault) => return Err(fault),
        };
        if read == 0 {
            return Ok(());
        }
        let text = line.trim();
        if text.is_empty() {
            continue;
        }
        match tier.line(text, &mut reply) {
            Ok(false) => {}
            Ok(true) => {
                output.write_all(reply.as_bytes())?;
                output.flush()?;
                reply.clear();
            }
            Err(fault) => eprintln!("ladderpass: {fault}"),
        }
    }
}
