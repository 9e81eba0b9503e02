//! The router's buffers and parsers, with input that is split and damaged at any byte.

use crate::common::{error_response, instance, query, row, statement};
use crate::random_runs::check_random_runs;
use ladderpass::buffer::Buffer;
use ladderpass::{discovery, pg};
use std::collections::VecDeque;

#[test]
fn a_buffer_keeps_bytes_in_order_and_within_its_limit() {
    fn property(choices: Vec<u8>) -> bool {
        let (mut buffer, mut model, mut next) = (Buffer::default(), VecDeque::new(), 0u8);
        for byte in choices {
            let count = usize::from(byte >> 2);
            match byte % 4 {
                0 => {
                    let space = buffer.free_space(16, 128);
                    let count = count.min(space.len());
                    space[..count].iter_mut().for_each(|slot| {
                        next = next.wrapping_add(1);
                        *slot = next;
                        model.push_back(next);
                    });
                    buffer.commit(count);
                }
                1 => {
                    let bytes: Vec<u8> = (0..count).map(|n| n as u8).collect();
                    let fits = model.len() + count <= 128;
                    assert_eq!(buffer.append(&bytes, 16, 128), fits);
                    model.extend(bytes.iter().filter(|_| fits));
                }
                2 => {
                    buffer.consume(count);
                    model.drain(..count.min(model.len()));
                    buffer.shrink_if_empty(16);
                }
                _ => assert!(buffer.make_contiguous().iter().eq(model.iter())),
            }
            assert_eq!(buffer.len(), model.len());
            assert!(buffer.capacity() <= 128);
            assert!(buffer.first_slice().iter().eq(model.iter().take(buffer.first_slice().len())));
        }
        true
    }
    check_random_runs(300, 400, property);
}

/// The parsers do not panic on damaged input, and find no complete frame before the frame's last byte has arrived.
#[test]
fn parsers_do_not_panic_on_damaged_frames_and_comments() {
    fn property(choices: Vec<u8>) -> bool {
        let mut bytes =
            [query(&statement("7", "read", 480, "1")), error_response("53300"), row(b"v", "x", 1)].concat();
        for pair in choices.chunks_exact(2) {
            let at = usize::from(pair[0]) * bytes.len() / 256;
            bytes[at] = pair[1];
        }
        for from in 0..bytes.len() {
            let rest = &bytes[from..];
            let _ = (
                pg::parse_initial_message(rest, 10_000),
                pg::parse_error_response(rest),
                pg::parse_single_column(rest),
                pg::parse_parameter_status(rest),
            );
            if let Ok(Some(pg::Frame { length, .. })) = pg::parse_frame(rest, 1000) {
                assert!(!matches!(pg::parse_frame(&rest[..length - 1], 1000), Ok(Some(_))));
            }
            let text = String::from_utf8_lossy(rest);
            let _ = pg::parse_load_report(&text);
            if let Ok(comment) = pg::parse_comment(&text) {
                assert_eq!(text[comment.wait_at].parse::<f64>().ok(), Some(comment.wait_ms));
            }
        }
        true
    }
    check_random_runs(200, 12, property);
}

#[test]
fn a_watch_yields_the_same_listings_however_its_bytes_are_split() {
    fn property(choices: Vec<u8>) -> bool {
        let line = |n: usize| {
            format!("{{\"generation\":{n},\"instances\":[{}]}}\n", instance(n, "1.2.3.4:5", "SERVING"))
        };
        let body: String = (0..3).map(line).collect();
        let mut answer = b"HTTP/1.1 200 OK\r\ntransfer-encoding: Chunked\r\n\r\n".to_vec();
        let mut rest = body.as_bytes();
        let mut cuts = choices.iter();
        while !rest.is_empty() {
            let size = (1 + cuts.next().map_or(90, |&cut| usize::from(cut))).min(rest.len());
            answer.extend_from_slice(format!("{size:x}\r\n").as_bytes());
            answer.extend_from_slice(&rest[..size]);
            answer.extend_from_slice(b"\r\n");
            rest = &rest[size..];
        }
        let read = |answer: &[u8], whole: bool| {
            let (mut reader, mut buffer, mut found) =
                (discovery::WatchReader::default(), Buffer::default(), 0);
            for byte in answer {
                assert!(buffer.append(&[*byte], 64, 4096));
                while let Some(listing) = reader.read_listing(&mut buffer, 1000).ok()? {
                    assert!(listing.generation == found || !whole);
                    found += 1;
                }
            }
            Some(found)
        };
        assert_eq!(read(&answer, true), Some(3));
        let damaged = choices.first().map_or(0, |&at| usize::from(at) * answer.len() / 256);
        answer[damaged] = choices.last().copied().unwrap_or(0);
        read(&answer, false);
        true
    }
    check_random_runs(200, 30, property);
}
