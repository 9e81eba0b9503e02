//! Clients that break the protocol.

use crate::common::{frame, frames, query, sqlstate, startup, statement};
use crate::scenarios::{Exchange, clients_that_sent, exchange};
use crate::simulation::Client;
use ladderpass::reducer::Event;
use ladderpass_routing::Span;

#[test]
fn an_invalid_statement_gets_its_sqlstate_and_the_connection_stays_usable() {
    for (bytes, code) in [
        (query("SELECT 1"), "42601"),
        (query("SELECT 1 /* c=read,d=5,cluster=1 */"), "42601"),
        (query(&statement("7", "nothing", 480, "1")), "22023"),
        (query(&statement("7", "read", 480, "99")), "22023"),
        (query(&statement("7", "read", 480, "x")), "42601"),
        (query(&statement("7", "read", 480, "1").replace("d=480", "d=-1")), "42601"),
        (query(&statement("7", "read", 480, "1").replace("read,", "write,")), "42601"),
        (query(&statement("7", "write", 480, "1").replace("9f03", "9f0")), "42601"),
        (query(&statement("7", "read", 480, "1").replace("d=480", "d=480,d=9")), "42601"),
        (query(&statement("7", "read", 480, "1").replace("d=480", "d=inf")), "42601"),
        (query(&statement(&"7".repeat(65), "read", 480, "1")), "42601"),
        (frame(b'Q', b"\xff\0"), "22021"),
        ([frame(b'P', b"\0\0\0\0"), frame(b'B', b""), frame(b'S', b"")].concat(), "0A000"),
    ] {
        let Exchange { frames, is_closed } = exchange(&bytes);
        let kinds: Vec<u8> = frames.iter().map(|(kind, _)| *kind).collect();
        assert_eq!((kinds.as_slice(), is_closed), (&b"EZIZ"[..], false), "{code}");
        assert_eq!(sqlstate(&frames[0].1), code);
    }
    // The router closes the client's connection where frames can't be told apart any more, or where a header announces
    // too long a message.
    assert!(exchange(b"Q\x03\x93\x87\x04SELECT").is_closed);
    assert!(exchange(&[b'Q', 0, 0, 0, 1]).is_closed);
    assert!(exchange(&frame(b'!', b"")).is_closed);
    assert!(exchange(&frame(b'X', b"")).is_closed);
}

#[test]
fn the_id_of_an_open_rpc_is_not_accepted_twice() {
    let mut simulation = clients_that_sent(2, |_| query(&statement("7", "read", 480, "1")));
    let errors: Vec<String> = (simulation.clients.values())
        .flat_map(|client| frames(&client.received).0)
        .filter(|(kind, _)| *kind == b'E')
        .map(|(_, body)| sqlstate(&body))
        .collect();
    assert_eq!(errors, ["23505"]);
    simulation.advance(Span::ZERO);
    assert_eq!(simulation.clients.len(), 2);
}

/// A client that keeps making errors is answered, but the router reads from the client after longer and longer pauses,
/// and closes the connection in the end.
#[test]
fn a_client_that_keeps_making_errors_is_slowed_down_and_closed() {
    let mut simulation = clients_that_sent(0, |_| Vec::new());
    let id = simulation.reducer.next_id();
    simulation.clients.insert(id, Client { broke_protocol: true, ..Client::default() });
    simulation.apply(Event::Accepted(id));
    simulation.receive(id, &[startup(), query("SELECT 1").repeat(100)].concat());
    simulation.write(id);
    assert_eq!(simulation.clients[&id].answers, 1, "the first statement is answered at once");
    (0..200).for_each(|_| simulation.advance(Span::from_millis(5)));
    assert!(!simulation.clients.contains_key(&id));
}

/// Guards against memory that grows past its limit: the error for an unknown method quoted the whole name, in which a
/// byte of the client's takes up to six, and hundreds of clients that did not read their errors had them stored.
#[test]
fn an_error_quotes_no_more_than_a_short_part_of_what_the_client_sent() {
    for name in ["a", "\u{1}", "\u{10ffff}", "\\"] {
        let method = name.repeat(100_000 / name.len());
        let text = statement("7", &method, 480, "1");
        let Exchange { frames, is_closed } = exchange(&query(&text));
        assert!(!is_closed);
        let (kind, body) = &frames[0];
        assert_eq!((*kind, sqlstate(body).as_str()), (b'E', "22023"));
        assert!(body.len() < 1024, "an error of {} bytes for {} of {name:?}", body.len(), method.len());
    }
}

/// Guards against late answers to other clients: a comment with tens of thousands of pairs was read to its end, so that
/// hundreds of clients with such statements took most of the router's time.
#[test]
fn a_comment_with_more_pairs_than_the_protocol_has_use_for_is_refused_unread() {
    let with_further_pairs = |count: usize| {
        let further = ",a=1".repeat(count);
        statement("7", "read", 480, "1").replace(" */", &format!("{further} */"))
    };
    let pairs_in_statement = 4;
    for (pairs, is_refused) in [(10, false), (64, false), (65, true), (30_000, true)] {
        let text = with_further_pairs(pairs - pairs_in_statement);
        let Exchange { frames, is_closed } = exchange(&query(&text));
        let refused = frames.iter().any(|(kind, body)| *kind == b'E' && sqlstate(body) == "42601");
        assert_eq!((refused, is_closed), (is_refused, false), "{pairs} pairs");
    }
}
