//! Tests of the replies of the member model, and of its invariants under random inputs.

use ladderpass_emulator::{ConnectionId, Input, Model, Output, Reply, Request, Scenario};
use ladderpass_routing::{Span, Time};
use quickcheck::quickcheck;

fn statement(id: &str, method: u32) -> Request {
    Request::Statement { id: id.into(), method, wait: Span::from_millis(100), min_position: None }
}

fn at(ms: i64) -> Time {
    Time::from_nanos(1_000_000_000_000) + Span::from_millis(ms)
}

#[test]
fn connection_answers_in_order_and_replica_lags_and_rejects_writes() {
    let scenario = Scenario { log_ms: 20.0, ..Scenario::default() };
    let mut model = Model::new(at(0), scenario, 1);
    for (member, connection) in [(0, ConnectionId(1)), (1, ConnectionId(2))] {
        model.apply(at(0), member, Input::ConnectionOpened(connection));
        model.apply(at(1), member, Input::RequestReceived(connection, statement(&format!("w{member}"), 1)));
        model.apply(at(1), member, Input::RequestReceived(connection, Request::EmptyQuery));
        model.apply(at(2), member, Input::RequestReceived(connection, Request::LoadReport));
    }
    let replies: Vec<Reply> = model.take_outputs().into_iter().map(|output| output.reply).collect();
    assert!(matches!(
        &replies[..],
        [
            Reply::ConnectionReady,
            Reply::Row { .. },
            Reply::EmptyQueryResponse,
            Reply::LoadReport { primary: true, .. },
            Reply::ConnectionReady,
            Reply::Error("25006"),
            Reply::EmptyQueryResponse,
            Reply::LoadReport { primary: false, position, .. },
        ] if *position < at(1)
    ));
    model.apply(at(30), 1, Input::RequestReceived(ConnectionId(2), Request::LoadReport));
    let [Output { reply: Reply::LoadReport { position, .. }, .. }] = &model.take_outputs()[..] else {
        panic!()
    };
    assert!(*position >= at(1), "the replica has applied the write");
    assert_eq!(model.execution_log.executions.len(), 1);
}

quickcheck! {
    /// Under random inputs, a member runs at most as many statements concurrently as it has cores, and positions never
    /// decrease. The totals of requests, executions, answers and rejections show that no statement was answered twice,
    /// and none was both rejected and executed.
    fn random_inputs_preserve_the_member_invariants(steps: Vec<(u8, u8, u8)>) -> bool {
        let mut scenario = Scenario { cores: 2, queue: 3, ..Scenario::default() };
        scenario.methods.iter_mut().for_each(|method| method.work_ms = 5.0);
        let mut model = Model::new(at(0), scenario, 7);
        let (mut now, mut requested, mut answered, mut rejected) = (at(0), 0, 0, 0);
        let mut latest_positions = [Time::NEVER; 3];
        for (number, (input, address, gap)) in (0u64..).zip(steps) {
            now = now + Span::from_millis(i64::from(gap % 8));
            let member = u32::from(address % 3);
            let connection = ConnectionId(u64::from(address % 3) * 8 + u64::from(address / 3 % 8));
            match input % 5 {
                0 => model.apply(now, member, Input::ConnectionOpened(connection)),
                1 | 2 => {
                    requested += 1;
                    let request = statement(&number.to_string(), u32::from(input / 5 % 2));
                    model.apply(now, member, Input::RequestReceived(connection, request));
                }
                3 => model.apply(now, member, Input::RequestReceived(connection, Request::LoadReport)),
                _ => model.apply(now, member, Input::ConnectionClosed(connection)),
            }
            for output in model.take_outputs() {
                match output.reply {
                    Reply::Row { .. } => answered += 1,
                    Reply::Error(_) => rejected += 1,
                    Reply::LoadReport { position, .. } => {
                        let latest_position = &mut latest_positions[(output.connection.0 / 8) as usize];
                        assert!(position >= *latest_position);
                        *latest_position = position;
                    }
                    _ => {}
                }
            }
            let mut members = 0..model.scenario().member_count() as u32;
            assert!(members.all(|member| model.running(member) <= 2 && model.queued(member) <= 4));
        }
        let executed = model.execution_log.executions.len();
        answered + rejected <= requested && executed + rejected <= requested && answered <= executed
    }
}
