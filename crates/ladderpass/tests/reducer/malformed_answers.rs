//! Answers of members that are malformed, break off or contain a position that no member can have, and what they tell
//! of the member.

use crate::common::{frame, row};
use crate::scenarios::{FirstAttempt, send_first_attempt};
use crate::simulation::Simulation;
use ladderpass::reducer::{ConnectionId, Event};
use ladderpass_routing::{Span, Time};

/// How an answer goes on after the member's role and position.
#[derive(Clone, Copy, Debug)]
enum Ending {
    /// The length of the row's column does not fit the row.
    WrongColumnLength,
    /// The length of a message is negative.
    NegativeLength,
    /// The bytes are no message.
    Noise,
    /// The row is announced with 64 KiB, most of which never arrive.
    UnfinishedRow,
    /// The connection ends within the row.
    ClosedWithinRow,
    /// Everything but the end is as it should be, and noise stands where ReadyForQuery should.
    NoiseForReadyForQuery,
    /// As [`Ending::NoiseForReadyForQuery`], behind an error in place of a row.
    NoiseBehindError,
}

const ENDINGS: [Ending; 7] = [
    Ending::WrongColumnLength,
    Ending::NegativeLength,
    Ending::Noise,
    Ending::UnfinishedRow,
    Ending::ClosedWithinRow,
    Ending::NoiseForReadyForQuery,
    Ending::NoiseBehindError,
];

/// What a member tells of its role and its position.
fn parameters(role: &str, position_ms: u64) -> Vec<u8> {
    let position = format!("replay_position\0{position_ms}\0");
    [frame(b'S', format!("node_role\0{role}\0").as_bytes()), frame(b'S', position.as_bytes())].concat()
}

/// The messages of an answer with a row, up to its ReadyForQuery, without parameters.
fn row_without_parameters() -> Vec<u8> {
    let whole = row(b"7", "", 0);
    let completion = frame(b'C', b"SELECT 1\0");
    let end = whole.windows(completion.len()).position(|bytes| bytes == completion);
    whole[..end.expect("the row is complete") + completion.len()].to_vec()
}

fn bytes_of(ending: Ending) -> Vec<u8> {
    let row = row_without_parameters();
    let description = &row[..row.len() - frame(b'C', b"SELECT 1\0").len() - frame(b'D', &[0; 7]).len()];
    let column = |length: u32| [b"\0\x01", &length.to_be_bytes()[..], b"7"].concat();
    match ending {
        Ending::WrongColumnLength => [description, &frame(b'D', &column(8))].concat(),
        Ending::NegativeLength => [description, b"D\xff\xff\xff\xff"].concat(),
        Ending::Noise => b"\x07noise that is no message".to_vec(),
        Ending::UnfinishedRow | Ending::ClosedWithinRow => {
            [description, b"D\0\x01\0\0\0\x01\0\0\xff\xf67"].concat()
        }
        Ending::NoiseForReadyForQuery => [&row[..], &frame(b'Z', b"?")].concat(),
        Ending::NoiseBehindError => [frame(b'E', b"SERROR\0CXX000\0Mno\0\0"), frame(b'Z', b"?")].concat(),
    }
}

/// Answers the query on this connection with these parameters and this ending, and lets 300 ms pass.
fn answer(simulation: &mut Simulation, connection: ConnectionId, parameters: &[u8], ending: Ending) {
    simulation.member_connections.get_mut(&connection).expect("the connection is open").query = None;
    simulation.receive(connection, &[parameters, &bytes_of(ending)[..]].concat());
    if matches!(ending, Ending::ClosedWithinRow) {
        simulation.member_connections.remove(&connection);
        simulation.apply(Event::Closed(connection));
    }
    (0..30).for_each(|_| simulation.advance(Span::from_millis(10)));
    assert!(!simulation.member_connections.contains_key(&connection), "{ending:?}: not malformed");
}

fn now_ms(simulation: &Simulation) -> u64 {
    simulation.now.nanos() as u64 / 1_000_000
}

/// The id of the member at the other end of a connection.
fn member_of(simulation: &Simulation, connection: ConnectionId) -> String {
    format!("m-{}", simulation.ports[&connection] - 7000)
}

/// The position that the router knows of a member, and whether the router takes the member for the primary.
fn known(simulation: &Simulation, member: &str) -> (Time, bool) {
    let known = simulation.reducer.known_position(member).expect("the member is listed");
    (known.position, known.is_primary)
}

/// Guards against stale reads: the position of an answer that was rejected as malformed made a lagging replica count as
/// fresh for as long as the position was ahead. The same holds for the role, by which a replica became the primary.
#[test]
fn an_answer_that_is_not_complete_and_valid_tells_neither_position_nor_role() {
    for ending in ENDINGS {
        for (method, role) in [("read", "follower"), ("read", "leader"), ("write", "follower")] {
            for ahead_ms in [-100, 400, 5_000, 600_000, 80_000_000] {
                let FirstAttempt { mut simulation, client, connection } = send_first_attempt(method);
                simulation.clients.get_mut(&client).expect("the client is connected").broke_protocol = true;
                let member = member_of(&simulation, connection);
                let before = known(&simulation, &member);
                let told_ms = now_ms(&simulation).saturating_add_signed(ahead_ms);
                answer(&mut simulation, connection, &parameters(role, told_ms), ending);
                assert_eq!(
                    known(&simulation, &member),
                    before,
                    "{ending:?} of a {method} at {role}, {ahead_ms} ms ahead"
                );
            }
        }
    }
}

/// Guards against stale reads: a position far ahead of all clocks, in an answer that is valid otherwise, was recorded as
/// its member's and made the member count as fresh, or as the primary, for as long as the position was ahead.
#[test]
fn a_valid_answer_with_a_position_that_no_member_can_have_changes_neither_position_nor_role() {
    for (method, role) in [("read", "follower"), ("read", "leader"), ("write", "follower")] {
        for ahead_ms in [2_500, 5_000, 600_000, 86_000_000, 90_000_000, 1 << 52] {
            let FirstAttempt { mut simulation, client, connection } = send_first_attempt(method);
            let member = member_of(&simulation, connection);
            let before = known(&simulation, &member);
            simulation.member_connections.get_mut(&connection).expect("the connection is open").query = None;
            let told_ms = now_ms(&simulation) + ahead_ms;
            simulation.receive(connection, &row(b"7", role, told_ms));
            simulation.write(client);
            assert_eq!(simulation.clients[&client].answers, 1, "the answer itself is valid");
            assert_eq!(known(&simulation, &member), before, "{method} at {role}, {ahead_ms} ms ahead");
        }
    }
}
