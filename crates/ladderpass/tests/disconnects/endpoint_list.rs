//! Watches of the endpoint list that end, fall silent or move to another address, and the effects of a new list.

use crate::common::{WATCH_HEAD, close, instance, query, startup_response, statement};
use crate::router_harness::{
    accept_connection, accept_connection_within, bind_listener, read_answer, read_watch_request,
    start_harness, write_statement,
};
use nix::sys::signal::Signal;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// Where lists are pushed, the router watches the endpoint list, and opens a new watch when one ends. An earlier
/// version opened no watch when lists were pushed, and never learned of drains.
#[test]
fn a_pushed_list_is_watched_and_its_watch_is_reopened_after_it_ends() {
    let mut harness = start_harness(|config| config.replace("\"subscribe\"", "\"automatic\""));
    harness.assert_write_succeeds("1");
    let moved = instance(0, &harness.member_address(1), "SERVING");
    harness.send_listing(&moved, false);
    harness.settle();
    let mut client = harness.client();
    client.write_all(&query(&write_statement("2"))).expect("the router reads");
    assert_eq!(harness.next_rpc(1).0, "2", "the RPC goes to the new address of the primary");
    harness.watch = None;
    harness.open_watch();
}

/// An endpoint list is accepted that arrives as JSON over several lines, in two parts.
#[test]
fn an_indented_list_is_accepted() {
    let mut harness = start_harness(|config| config);
    let moved = instance(0, &harness.member_address(1), "SERVING")
        .replace("\"m-0\"", "\n  \"m-0\"\n")
        .replace(',', ",\n\t");
    let lines = format!("{{\n \"generation\" : 2,\n \"reset\":false,\n\"instances\":[\n{moved}\n]\n}}\n\n");
    let (first_half, second_half) = lines.split_at(lines.len() / 2);
    harness.send_watch_bytes(first_half.as_bytes());
    harness.settle();
    harness.send_watch_bytes(second_half.as_bytes());
    harness.settle();
    let mut client = harness.client();
    client.write_all(&query(&write_statement("1"))).expect("the router reads");
    assert_eq!(harness.next_rpc(1).0, "1");
}

/// The router must learn within 6 s what a silent watch would have sent. In this test both the first watch and the next
/// one fall silent.
#[test]
fn a_silent_watch_is_reopened_in_time_and_so_is_the_next() {
    let harness = start_harness(|config| config);
    let started_at = Instant::now();
    let second = accept_connection(&harness.discovery);
    assert!(
        started_at.elapsed() < Duration::from_millis(4000),
        "the second watch was opened after {:?}",
        started_at.elapsed()
    );
    read_watch_request(&second);
    let third = accept_connection(&harness.discovery);
    read_watch_request(&third);
    assert!(
        started_at.elapsed() < Duration::from_millis(5500),
        "the third watch was opened after {:?}",
        started_at.elapsed()
    );
}

/// Empty lines inside a JSON object that never ends do not count as progress of a watch.
#[test]
fn a_watch_whose_list_never_ends_is_treated_as_silent() {
    let mut harness = start_harness(|config| config);
    let started_at = Instant::now();
    harness.send_watch_bytes(b"{\"generation\":2,\n\"reset\":false,\n");
    while accept_connection_within(&harness.discovery, Duration::from_millis(300)).is_none() {
        assert!(started_at.elapsed() < Duration::from_secs(6), "no further watch was opened within 6 s");
        let watch = harness.watch.as_mut().expect("the watch is open");
        let _ = watch.write_all(b"1\r\n\n\r\n");
    }
}

/// Discovery moves to two new addresses in a row, each of which closes the watch without an answer. Changes from the
/// old watch are accepted meanwhile, but do not count as the answer of the new address, which is polled again. An
/// earlier version never polled the new address again.
#[test]
fn after_two_reloads_the_list_of_the_last_discovery_address_is_used() {
    let mut harness = start_harness(|config| config);
    let config_text =
        std::fs::read_to_string(&harness.config_file).expect("the configuration file is readable");
    let (silent, last) = (bind_listener(), bind_listener());
    let address_of = |l: &TcpListener| l.local_addr().expect("the listener has an address").to_string();
    for new_address in [address_of(&silent), address_of(&last)] {
        let discovery_key = format!("\"discovery\":\"{new_address}\",\"seed\":\"8c");
        std::fs::write(&harness.config_file, config_text.replace("\"seed\":\"8c", &discovery_key))
            .expect("the configuration is written");
        harness.signal(Signal::SIGHUP);
        close(accept_connection(if new_address == address_of(&silent) { &silent } else { &last }));
        harness.settle();
    }
    let moved = instance(0, &harness.member_address(1), "SERVING");
    harness.send_listing(&moved, false);
    harness.settle();
    let mut client = harness.client();
    client.write_all(&query(&write_statement("1"))).expect("the router reads");
    assert_eq!(harness.next_rpc(1).0, "1", "the previous watch is used until the new address answers");
    harness.discovery = last;
    harness.open_watch();
    let back = instance(0, &harness.member_address(0), "SERVING");
    harness.generation = 0;
    harness.send_listing(&back, true);
    harness.settle();
    harness.assert_write_succeeds("2");
}

/// The new address of discovery sends a response head and empty lines but no list. Such a response does not count as an
/// answer, and the address is polled again within 6 s. An earlier version never polled the address again.
#[test]
fn a_new_discovery_address_that_sends_no_list_is_asked_again() {
    let harness = start_harness(|config| config);
    let new_discovery = bind_listener();
    let new_address = new_discovery.local_addr().expect("the listener has an address").to_string();
    let config_text =
        std::fs::read_to_string(&harness.config_file).expect("the configuration file is readable");
    let discovery_key = format!("\"discovery\":\"{new_address}\",\"seed\":\"8c");
    std::fs::write(&harness.config_file, config_text.replace("\"seed\":\"8c", &discovery_key))
        .expect("the configuration is written");
    harness.signal(Signal::SIGHUP);
    let mut first = accept_connection(&new_discovery);
    read_watch_request(&first);
    first.write_all(WATCH_HEAD).expect("the router reads");
    let started_at = Instant::now();
    while accept_connection_within(&new_discovery, Duration::from_millis(300)).is_none() {
        assert!(started_at.elapsed() < Duration::from_secs(6), "no further watch was opened within 6 s");
        let _ = first.write_all(b"1\r\n\n\r\n");
    }
}

/// Discovery restarts and counts the generations of the endpoint list from a lower number. The router rejects lists
/// with a lower generation than the current list for 6 s (the time by which a change may be late), counted from when
/// the router received the current list. Afterwards the router accepts the second such list in a row
/// if the list is complete.
#[test]
fn lower_generations_of_a_restarted_discovery_are_eventually_accepted() {
    let mut harness = start_harness(|config| config);
    harness.generation = 50;
    let current = instance(0, &harness.member_address(0), "SERVING");
    let started_at = Instant::now();
    harness.send_listing(&current, true);
    harness.settle();
    let moved = instance(0, &harness.member_address(1), "SERVING");
    loop {
        harness.generation = 2;
        harness.send_listing(&moved, true);
        harness.settle();
        let mut client = harness.client();
        client
            .write_all(&query(&write_statement(&format!("{:?}", started_at.elapsed()))))
            .expect("the router reads");
        let accepted = started_at.elapsed() > Duration::from_secs(6);
        match harness.next_rpc_within(usize::from(accepted), Duration::from_millis(500)) {
            Some((_, link)) if !accepted => harness.answer_rpc(0, link),
            Some(_) => return,
            None => assert!(
                started_at.elapsed() < Duration::from_secs(14),
                "the lower generation is still rejected after 14 s"
            ),
        }
        harness.open_watch();
    }
}

/// Four RPCs wait for connections to a member when the address of the member changes. The RPCs go to the new address,
/// and none of them counts as a failure of the member. Such failures would eject the member.
#[test]
fn rpcs_that_wait_for_a_connection_go_to_the_new_address_of_their_member() {
    let mut harness = start_harness(|config| config);
    let mut clients: Vec<TcpStream> = (0..4).map(|_| harness.client()).collect();
    for (nth, client) in clients.iter_mut().enumerate() {
        client.write_all(&query(&write_statement(&nth.to_string()))).expect("the router reads");
    }
    let _late: Vec<TcpStream> = (0..4).map(|_| harness.accept_member_connection(0)).collect();
    let moved = instance(0, &harness.member_address(1), "SERVING");
    harness.send_listing(&moved, false);
    let mut ids: Vec<String> = Vec::new();
    for _ in 0..4 {
        let (id, link) = harness.next_rpc(1);
        ids.push(id);
        harness.answer_rpc(1, link);
    }
    ids.sort();
    assert_eq!(ids, ["0", "1", "2", "3"]);
    clients.iter_mut().for_each(|client| assert_eq!(read_answer(client).0, b"TDCZ"));
}

/// A member begins to drain while the connection to the member for an RPC is not established yet. The RPC goes to
/// another member at once, and the draining member gets no RPC.
#[test]
fn an_rpc_that_waits_for_a_connection_to_a_draining_member_goes_elsewhere() {
    let mut harness = start_harness(|config| config);
    let mut client = harness.client();
    client.write_all(&query(&statement("1", "read", 60_000, "1"))).expect("the router reads");
    let mut unanswered = harness.accept_member_connection(1);
    let draining = instance(1, &harness.member_address(1), "DRAINING");
    harness.send_listing(&draining, false);
    let (id, link) = harness.next_rpc(0);
    assert_eq!(id, "1", "the RPC goes to the primary");
    let _ = unanswered.write_all(&startup_response());
    let mut rest = Vec::new();
    let _ = unanswered.read_to_end(&mut rest);
    assert!(!rest.contains(&b'Q'), "the draining member gets no RPC");
    harness.answer_rpc(0, link);
    assert_eq!(read_answer(&mut client).0, b"TDCZ");
}
