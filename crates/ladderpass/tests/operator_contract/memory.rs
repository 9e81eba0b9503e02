//! More statements at once than the router has memory for.

use crate::common::{query, statement};
use crate::ms;
use crate::router_harness::{read_answer, start_harness};
use std::io::Write;
use std::time::Instant;

/// Clients send more complete statements at once than the router has memory for, while members never answer. Each
/// statement is answered at the latest half a second after its deadline, although the router can't read all of the
/// statements in time.
#[test]
fn statements_are_answered_in_time_although_memory_is_short() {
    let harness = start_harness(|config| config.replace("\"memory_mb\":192", "\"memory_mb\":32"));
    let value = "ab".repeat(64 << 10);
    let clients: Vec<_> = (0..150)
        .map(|nth| {
            let mut client = harness.client();
            let text = statement(&format!("{nth}"), "write", 2500, "1");
            let bytes = query(&text.replace("\\x9f03", &format!("\\x{value}")));
            std::thread::spawn(move || {
                client.write_all(&bytes).map_err(|error| format!("not sent: {error}"))?;
                let sent = Instant::now();
                let (kinds, code) = read_answer(&mut client);
                match (kinds.ends_with(b"Z"), sent.elapsed() < ms(3000)) {
                    (true, true) => Ok(()),
                    _ => Err(format!("{code}, {kinds:?} after {:?}", sent.elapsed())),
                }
            })
        })
        .collect();
    let failures: Vec<String> = clients
        .into_iter()
        .filter_map(|client| client.join().expect("the thread does not panic").err())
        .collect();
    assert_eq!(
        failures.len(),
        0,
        "{} statements were not answered in time: {:?}",
        failures.len(),
        &failures[..failures.len().min(3)]
    );
    let status = std::fs::read_to_string(format!("/proc/{}/status", harness.process.id()))
        .expect("the router is running");
    let peak_kib =
        status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("the status has a peak");
    let peak_kib: u64 = peak_kib.trim().trim_end_matches(" kB").parse().expect("the peak is a number");
    assert!(peak_kib < 32 << 10, "the peak of {peak_kib} KiB exceeds 32 MiB");
}
