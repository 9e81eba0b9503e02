//! How the load finds out whether a router had read an RPC when the router closed the RPC's connection.

use ladderpass_emulator::{Scenario, proto};
use ladderpass_fault_injection::driver::RunningTool;
use ladderpass_fault_injection::plan::LinkShape;
use ladderpass_fault_injection::{Plan as FaultPlan, Protocol, Rule};
use ladderpass_routing::Span;
use ladderpass_testbed::load::{self, ConnectionEnd, Outcome, Phase, Plan};
use ladderpass_testbed::run::open_plan;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// ReadyForQuery of an idle session.
const READY: &[u8] = b"Z\0\0\0\x05I";

/// Reads from a client until a message of this kind has arrived completely.
fn read_until(stream: &mut TcpStream, is_complete: impl Fn(&[u8]) -> bool) {
    let (mut input, mut chunk) = (Vec::new(), [0; 4096]);
    while !is_complete(&input) {
        match stream.read(&mut chunk) {
            Ok(count) if count > 0 => input.extend_from_slice(&chunk[..count]),
            _ => return,
        }
    }
}

fn read_startup(stream: &mut TcpStream) {
    read_until(stream, |input| proto::parse_startup(input).is_some());
}

fn has_statement(input: &[u8]) -> bool {
    proto::parse_frame(input).is_some()
}

/// Starts a router that lets `close_first` serve and close its first connection, and answers each RPC on later
/// connections with an error.
fn start_router(close_first: fn(TcpStream)) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("the listener has an address");
    std::thread::spawn(move || {
        let (first, _) = listener.accept().expect("the load connects");
        close_first(first);
        while let Ok((stream, _)) = listener.accept() {
            answer_with_errors(stream);
        }
    });
    address
}

/// Answers the startup and each RPC of a client, which may send an RPC right behind its startup.
fn answer_with_errors(mut stream: TcpStream) {
    let (mut input, mut chunk, mut is_open) = (Vec::new(), [0; 4096], false);
    while let Ok(count) = stream.read(&mut chunk)
        && count > 0
    {
        input.extend_from_slice(&chunk[..count]);
        if let Some(length) = proto::parse_startup(&input).filter(|_| !is_open) {
            input.drain(..length);
            is_open = true;
            stream.write_all(READY).expect("the load reads");
        }
        while let Some((_, _, length)) = proto::parse_frame(&input).filter(|_| is_open) {
            input.drain(..length);
            stream.write_all(&[b"E\0\0\0\x0cC58000\0\0", READY].concat()).expect("the load reads");
        }
    }
}

fn close_after_read(mut stream: TcpStream) {
    read_startup(&mut stream);
    stream.write_all(READY).expect("the load reads");
    read_until(&mut stream, has_statement);
}

fn close_with_unread_statement(mut stream: TcpStream) {
    read_startup(&mut stream);
    stream.write_all(READY).expect("the load reads");
    let _ = stream.peek(&mut [0; 1]);
}

fn close_after_startup(mut stream: TcpStream) {
    read_startup(&mut stream);
    stream.write_all(READY).expect("the load reads");
}

/// Runs a load of one connection and a few RPCs.
fn run_load(router: SocketAddr) -> Outcome {
    // The connection is open and served long before the first RPC, also on a busy machine.
    let phases =
        [Phase { seconds: 0.5, rate_per_second: 0.0 }, Phase { seconds: 1.6, rate_per_second: 10.0 }];
    let deadline = Span::from_millis(4000);
    let plan = Plan { connections: 1, pipeline: 1, deadline, journal: true, ..open_plan(3, &phases) };
    load::run(&Scenario::default(), router, &plan, |_| {}).expect("the load runs")
}

#[test]
fn a_close_after_the_rpc_was_read_is_told_from_a_close_with_unread_bytes() {
    for (close, end) in [
        (close_after_read as fn(TcpStream), ConnectionEnd::Closed),
        (close_with_unread_statement, ConnectionEnd::Reset),
    ] {
        let outcome = run_load(start_router(close));
        assert_eq!(outcome.journal[0].connection_end, Some(end));
        assert_eq!(outcome.journal.len() as u64, outcome.total().due, "no RPC is sent again");
    }
}

/// The router closes before the RPC is sent, and the fault tool delivers this close to the client after the client has
/// sent the RPC. The client sends the RPC once more.
#[test]
fn an_rpc_that_arrives_after_the_close_is_sent_once_more() {
    let to = start_router(close_after_startup);
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let link = LinkShape { name: "front".into(), listen, to, protocol: Protocol::Postgres };
    let rule =
        Rule::read("{name: late, when: {from: server}, do: {delay: {ms: 1500}}}").expect("a valid rule");
    let tool =
        RunningTool::start(FaultPlan { links: vec![link], rules: vec![rule], ..FaultPlan::default() }, None);
    let tool = tool.expect("the tool starts");
    std::thread::sleep(Duration::from_millis(20));
    let outcome = run_load(tool.addresses[0]);
    let ends: Vec<_> = outcome.journal.iter().map(|entry| entry.connection_end).collect();
    assert_eq!(ends[0], Some(ConnectionEnd::ClosedBeforeArrival));
    assert_eq!(outcome.journal.len() as u64, outcome.total().due + 1, "the first RPC is sent twice");
    assert_eq!((outcome.total().unanswered, outcome.total().aborted), (0, outcome.total().due));
}
