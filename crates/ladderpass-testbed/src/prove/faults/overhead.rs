//! The overhead of the fault tool: how much it lengthens round trips and reduces throughput.

use crate::load::until_ready;
use crate::prove::Table;
use crate::run;
use ladderpass_emulator::{RunningEmulator, Scenario, proto};
use ladderpass_fault_injection::Plan;
use ladderpass_fault_injection::driver::RunningTool;
use std::io::{self, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::time::Instant;

const ROUND_TRIPS: usize = 2000;
const LARGE_READS: u32 = 400;
const LARGE_VALUE_BYTES: usize = 65_536;

/// The speed of one connection to a member.
struct LinkSpeed {
    median_us: f64,
    p99_us: f64,
    megabytes_per_second: f64,
}

/// Reports the speed of a connection to a member, once directly and once through the fault tool without rules.
///
/// # Errors
/// Returns an error if the emulator or the fault tool can't be started, or if a connection fails.
pub fn report_overhead(table: &mut Table, seed: u64) -> io::Result<()> {
    let mut scenario = Scenario::default();
    scenario.methods[0].name = "large".into();
    scenario.methods[0].value_bytes = LARGE_VALUE_BYTES;
    let emulator = RunningEmulator::start(scenario, seed, Ipv4Addr::LOCALHOST)?;
    let mut links = run::links(&emulator.addresses[..1], emulator.discovery);
    links.truncate(1);
    let tool = RunningTool::start(Plan { seed, links, ..Plan::default() }, None)?;
    let direct = measure_speed(emulator.addresses[0])?;
    let through_tool = measure_speed(tool.addresses[0])?;
    table.report(
        "round trip, median and 99th",
        format!(
            "{:.0} and {:.0} us direct, {:.0} and {:.0} us through",
            direct.median_us, direct.p99_us, through_tool.median_us, through_tool.p99_us
        ),
    );
    table.report(
        "answers of 64 KiB",
        format!(
            "{:.0} MB/s direct, {:.0} MB/s through",
            direct.megabytes_per_second, through_tool.megabytes_per_second
        ),
    );
    Ok(())
}

fn measure_speed(address: SocketAddr) -> io::Result<LinkSpeed> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_nodelay(true)?;
    let mut startup = Vec::new();
    proto::put_startup(&mut startup);
    stream.write_all(&startup)?;
    until_ready(&mut stream)?;
    let round_trips_us = round_trips_us(&mut stream)?;
    let megabytes_per_second = read_throughput(&mut stream)?;
    Ok(LinkSpeed {
        median_us: round_trips_us[ROUND_TRIPS / 2],
        p99_us: round_trips_us[ROUND_TRIPS * 99 / 100],
        megabytes_per_second,
    })
}

/// Measures the round trips of empty queries, in microseconds and in ascending order.
fn round_trips_us(stream: &mut TcpStream) -> io::Result<Vec<f64>> {
    let mut query = Vec::new();
    proto::put_query(&mut query, "");
    let mut round_trips_us = Vec::with_capacity(ROUND_TRIPS);
    for _ in 0..ROUND_TRIPS {
        let sent = Instant::now();
        stream.write_all(&query)?;
        until_ready(stream)?;
        round_trips_us.push(sent.elapsed().as_secs_f64() * 1e6);
    }
    round_trips_us.sort_by(f64::total_cmp);
    Ok(round_trips_us)
}

/// Measures the throughput of large reads that follow one another, in megabytes a second.
fn read_throughput(stream: &mut TcpStream) -> io::Result<f64> {
    let started = Instant::now();
    for number in 0..LARGE_READS {
        let statement = format!(
            "SELECT payload FROM entries WHERE ref = 'k' /* id=1-{number:x},c=large,d=5000,cluster=0 */"
        );
        let mut query = Vec::new();
        proto::put_query(&mut query, &statement);
        stream.write_all(&query)?;
        until_ready(stream)?;
    }
    let bytes = f64::from(LARGE_READS) * LARGE_VALUE_BYTES as f64;
    Ok(bytes / 1e6 / started.elapsed().as_secs_f64())
}
