//! The model of members: what it answers, and its invariants under random inputs.

use ladderpass_emulator::{Ask, Conn, Input, Model, Output, Reply, Scenario};
use ladderpass_routing::{Span, Time};
use quickcheck::quickcheck;

fn statement(id: &str, method: u32) -> Ask {
    Ask::Statement { id: id.into(), method, wait: Span::from_millis(100), after: None }
}

fn at(ms: i64) -> Time {
    Time::from_nanos(1_000_000_000_000) + Span::from_millis(ms)
}

#[test]
fn a_connection_answers_in_order_and_replicas_lag_and_reject_writes() {
    let scenario = Scenario { log_ms: 20.0, ..Scenario::default() };
    let mut model = Model::new(at(0), scenario, 1);
    for (member, conn) in [(0, Conn(1)), (1, Conn(2))] {
        model.apply(at(0), member, Input::Opened(conn));
        model.apply(at(1), member, Input::Asked(conn, statement(&format!("w{member}"), 1)));
        model.apply(at(1), member, Input::Asked(conn, Ask::Nothing));
        model.apply(at(2), member, Input::Asked(conn, Ask::Load));
    }
    let replies: Vec<Reply> = model.outputs().into_iter().map(|output| output.reply).collect();
    assert!(matches!(
        &replies[..],
        [
            Reply::Welcome,
            Reply::Row { .. },
            Reply::Nothing,
            Reply::Report { primary: true, .. },
            Reply::Welcome,
            Reply::Refused("25006"),
            Reply::Nothing,
            Reply::Report { primary: false, position, .. },
        ] if *position < at(1)
    ));
    model.apply(at(30), 1, Input::Asked(Conn(2), Ask::Load));
    let [Output { reply: Reply::Report { position, .. }, .. }] = &model.outputs()[..] else { panic!() };
    assert!(*position >= at(1), "the log has been applied");
    assert_eq!(model.truth.ran.len(), 1);
}

quickcheck! {
    /// Under random inputs no more RPCs run at once than there are cores, positions don't go back, no statement is
    /// answered twice, and a rejected one did not run.
    fn members_keep_their_invariants(steps: Vec<(u8, u8, u8)>) -> bool {
        let mut scenario = Scenario { cores: 2, queue: 3, ..Scenario::default() };
        scenario.methods.iter_mut().for_each(|method| method.work_ms = 5.0);
        let mut model = Model::new(at(0), scenario, 7);
        let (mut now, mut requested, mut answered, mut rejected) = (at(0), 0, 0, 0);
        let mut latest = [Time::NEVER; 3];
        for (number, (input, address, gap)) in (0u64..).zip(steps) {
            now = now + Span::from_millis(i64::from(gap % 8));
            let (member, conn) = (u32::from(address % 3), Conn(u64::from(address % 3) * 8 + u64::from(address / 3 % 8)));
            match input % 5 {
                0 => model.apply(now, member, Input::Opened(conn)),
                1 | 2 => {
                    requested += 1;
                    let request = statement(&number.to_string(), u32::from(input / 5 % 2));
                    model.apply(now, member, Input::Asked(conn, request));
                }
                3 => model.apply(now, member, Input::Asked(conn, Ask::Load)),
                _ => model.apply(now, member, Input::Closed(conn)),
            }
            for output in model.outputs() {
                match output.reply {
                    Reply::Row { .. } => answered += 1,
                    Reply::Refused(_) => rejected += 1,
                    Reply::Report { position, .. } => {
                        let latest = &mut latest[(output.conn.0 / 8) as usize];
                        assert!(position >= *latest);
                        *latest = position;
                    }
                    _ => {}
                }
            }
            let mut members = 0..model.scenario().members() as u32;
            assert!(members.all(|member| model.at_work(member) <= 2 && model.queued(member) <= 4));
        }
        answered + rejected <= requested && model.truth.ran.len() + rejected <= requested && answered <= model.truth.ran.len()
    }
}
