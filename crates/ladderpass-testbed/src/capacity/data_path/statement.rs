//! Statements of simulated and real clients.

use ladderpass_emulator::proto;

/// Returns the query message of a write, or of a read by key.
pub(super) fn query(id: u64, group: u64, is_write: bool) -> Vec<u8> {
    let comment = |method: &str| format!("/* id={id:x},c={method},d=1000,cluster={group} */");
    let statement = match is_write {
        true => format!(
            "INSERT INTO entries (ref, payload) VALUES ('k{id}', '\\x9f03') RETURNING payload {}",
            comment("move")
        ),
        false => format!("SELECT payload FROM entries WHERE ref = 'k{id}' {}", comment("board")),
    };
    let mut message = Vec::new();
    proto::put_query(&mut message, &statement);
    message
}
