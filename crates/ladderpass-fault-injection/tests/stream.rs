//! The scanner for messages in a stream of bytes, with bytes that arrive in slices of any length.

use ladderpass_fault_injection::stream::{MAX_BUFFERED_MESSAGE_BYTES, MessageScanner, Unit};
use ladderpass_fault_injection::{Protocol, Side};
use quickcheck::quickcheck;

fn frame(kind: u8, body: &[u8]) -> Vec<u8> {
    [&[kind][..], &(body.len() as u32 + 4).to_be_bytes(), body].concat()
}

fn units(protocol: Protocol, side: Side, bytes: &[u8], slices: &[u8]) -> Vec<Unit> {
    let mut scanner = MessageScanner::new(protocol, side);
    let (mut rest, mut found, mut nth) = (bytes, Vec::new(), 0);
    while !rest.is_empty() {
        let count = slices.get(nth).map_or(rest.len(), |&slice| usize::from(slice) + 1).min(rest.len());
        found.extend(scanner.feed(&rest[..count]));
        rest = &rest[count..];
        nth += 1;
    }
    found.extend(scanner.end());
    found
}

#[test]
fn messages_are_found_with_their_kinds_and_other_bytes_pass() {
    let startup = [&12u32.to_be_bytes()[..], &[0, 3, 0, 0], &[0; 4]].concat();
    let bytes = [startup, frame(b'Q', b"x\0"), frame(b'X', b"")].concat();
    let kinds: Vec<_> =
        units(Protocol::Postgres, Side::Client, &bytes, &[]).iter().map(|unit| unit.kind).collect();
    assert_eq!(kinds, ["Startup", "Query", "Terminate"]);
    let bytes = [frame(b'T', b"1"), frame(b'D', b"22"), b"\x07noise".to_vec()].concat();
    let found = units(Protocol::Postgres, Side::Server, &bytes, &[]);
    let kinds: Vec<_> = found.iter().map(|unit| (unit.kind, unit.offset)).collect();
    assert_eq!(kinds, [("RowDescription", 0), ("DataRow", 6), ("bytes", 13)]);
    let bytes = b"HTTP/1.1 200 OK\r\n\r\n5\r\nhello\r\n1\r\n\n\r\nzz\r\n";
    let kinds: Vec<_> =
        units(Protocol::Http, Side::Server, bytes, &[]).iter().map(|unit| unit.kind).collect();
    assert_eq!(kinds, ["Head", "Chunk", "Chunk", "bytes"]);
    // A message that is too long to be buffered passes in pieces, and the next message is found again.
    let bytes = [frame(b'D', &vec![0; MAX_BUFFERED_MESSAGE_BYTES * 2]), frame(b'Z', b"I")].concat();
    let found = units(Protocol::Postgres, Side::Server, &bytes, &[255; 10]);
    assert_eq!(found.last().map(|unit| unit.kind), Some("ReadyForQuery"));
}

quickcheck! {
    /// The scanner finds the same messages for any slicing of the bytes, and no byte is lost or added.
    fn the_messages_do_not_depend_on_how_the_bytes_are_sliced(bodies: Vec<Vec<u8>>, junk: Vec<u8>, slices: Vec<u8>) -> bool {
        let kinds = b"TDCZESI";
        let frames = bodies.iter().enumerate().flat_map(|(nth, body)| frame(kinds[nth % kinds.len()], body));
        let bytes: Vec<u8> = frames.chain(junk).collect();
        let whole = units(Protocol::Postgres, Side::Server, &bytes, &[]);
        let sliced = units(Protocol::Postgres, Side::Server, &bytes, &slices);
        let messages = |units: &[Unit]| units.iter().filter(|u| !matches!(u.kind, "bytes" | "rest")).cloned().collect::<Vec<_>>();
        let content = |units: &[Unit]| units.iter().flat_map(|unit| unit.bytes.clone()).collect::<Vec<u8>>();
        messages(&whole) == messages(&sliced) && content(&whole) == bytes && content(&sliced) == bytes
    }
}
