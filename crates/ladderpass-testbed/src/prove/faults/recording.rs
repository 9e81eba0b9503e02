//! Recordings of the fault tool. The same seed gives the same decisions, and another seed gives others.

use crate::prove::Table;
use crate::prove::parallel::join;
use crate::run;
use ladderpass_emulator::proto;
use ladderpass_fault_injection::driver::RunningTool;
use ladderpass_fault_injection::plan::LinkShape;
use ladderpass_fault_injection::{Decision, Plan, Rule, first_difference};
use ladderpass_routing::Time;
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

const RANDOM_RULES: usize = 12;
/// Random rules begin to act within this many matches.
const MAX_NTH: u64 = 40;
/// The actions that neither close nor stop a connection. Other actions would end the recording early.
const CONTINUING_ACTIONS: [&str; 6] = ["delay", "slice", "garble", "duplicate", "drop", "noise"];
const STATEMENTS: usize = 60;
const VALUE_BYTES: usize = 256;
/// How long the client waits for data before it takes the member or the fault tool to hang. The delays of a plan must add up
/// to less.
const READ_TIMEOUT: Duration = Duration::from_secs(30);

/// Requires that two recordings with the same seed are equal, and that a recording with another seed differs.
///
/// # Errors
/// Returns an error if a recording can't be made.
pub fn require_repeatable_recordings(table: &mut Table, seed: u64) -> io::Result<()> {
    let [first, second, other] = std::thread::scope(|scope| {
        let record = |seed| scope.spawn(move || record_decisions(seed, random_rules(seed)));
        [seed, seed, seed + 1].map(record).map(join)
    });
    let (first, second, other) = (first?, second?, other?);
    let difference = first_difference(&first, &second);
    let holds = difference.is_none() && !first.is_empty();
    let measured = difference.unwrap_or_else(|| format!("{} decisions, the same", first.len()));
    table.require("the same seed twice", "the same recording", measured, holds);
    let measured = format!("{} decisions", other.len());
    let holds = first_difference(&first, &other).is_some();
    table.require("another seed", "another recording", measured, holds);
    Ok(())
}

/// Draws random rules and keeps those that let the connection continue.
fn random_rules(seed: u64) -> Vec<Rule> {
    let member = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
    let mut plan = Plan::drawn(seed, RANDOM_RULES, member_link(member));
    plan.rules.retain(|rule| CONTINUING_ACTIONS.contains(&rule.action.name()));
    for rule in &mut plan.rules {
        rule.when.nth = rule.when.nth.map(|nth| nth % MAX_NTH + 1);
    }
    plan.rules
}

/// Returns the link to one member.
fn member_link(member: SocketAddr) -> Vec<LinkShape> {
    let no_discovery = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
    let mut links = run::links(&[member], no_discovery);
    links.truncate(1);
    links
}

/// Records the decisions of the fault tool while one client sends statements to a member through a link with these rules.
/// The recording ends when the client and the member have sent everything, not after a time, so that neither a busy machine
/// nor a slow rule changes it.
///
/// # Errors
/// Returns an error if the fault tool can't be started, or if a connection fails.
pub fn record_decisions(seed: u64, rules: Vec<Rule>) -> io::Result<Vec<Decision>> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
    let links = member_link(listener.local_addr()?);
    let tool = RunningTool::start(Plan { seed, links, rules, ..Plan::default() }, None)?;
    let mut stream = TcpStream::connect(tool.addresses[0])?;
    stream.set_read_timeout(Some(READ_TIMEOUT))?;
    stream.write_all(&client_messages())?;
    stream.shutdown(Shutdown::Write)?;
    let member = std::thread::spawn(move || answer_all(&listener));
    // Reads to the end of the stream without parsing, as the rules may have changed the answers.
    io::copy(&mut stream, &mut io::sink())?;
    member.join().map_err(|_| io::Error::other("the thread of the emulated member panicked"))??;
    Ok(tool.stop().record)
}

/// Returns the client's startup message and its statements.
fn client_messages() -> Vec<u8> {
    let mut messages = Vec::new();
    proto::put_startup(&mut messages);
    for number in 0..STATEMENTS {
        let statement = format!(
            "SELECT payload FROM entries WHERE ref = 'k' /* id=1-{number:x},c=board,d=1000,cluster=0 */"
        );
        proto::put_query(&mut messages, &statement);
    }
    messages
}

/// Acts as a member that answers each complete message on one connection, even a malformed one, and closes the connection
/// only after its client did. The answers depend only on the messages received. If the member closed the connection at a
/// statement that it can't read, the answers that the fault tool has not read yet would be lost, and their number would
/// differ between runs.
fn answer_all(listener: &TcpListener) -> io::Result<()> {
    let (mut stream, _) = listener.accept()?;
    stream.set_nodelay(true)?;
    let (mut input, mut buffer, mut started) = (Vec::new(), [0; 4096], false);
    loop {
        let count = stream.read(&mut buffer)?;
        if count == 0 {
            return Ok(());
        }
        input.extend_from_slice(&buffer[..count]);
        let mut output = Vec::new();
        if !started && let Some(length) = proto::parse_startup(&input) {
            (input, started) = (input.split_off(length), true);
            proto::put_startup_response(&mut output);
        }
        while started && let Some((_, _, length)) = proto::parse_frame(&input) {
            input = input.split_off(length);
            let position = Some(Time::from_nanos(0));
            proto::put_row(&mut output, &[b'.'; VALUE_BYTES], false, true, position);
        }
        stream.write_all(&output)?;
    }
}
