//! Reloads of the configuration, and endpoint lists that discovery pushes or sends late.

use crate::common::{WATCH_HEAD, chunk, instance, query, statement};
use crate::ms;
use crate::router_harness::{accept_connection, bind_listener, start_harness, write_statement};
use nix::sys::signal::Signal;
use std::io::Write;
use std::thread::sleep;
use std::time::Instant;

/// Five new configurations follow each other quickly, and at one of the signals the file is half written. The last
/// configuration takes effect, and so does the list of the discovery service that it names, within 4 s. The earlier
/// configurations name discovery services that never answer.
#[test]
fn the_last_of_several_configurations_in_quick_succession_takes_effect() {
    let mut harness = start_harness(|config| config);
    harness.assert_write_succeeds("1");
    let valid_config =
        std::fs::read_to_string(&harness.config_file).expect("the configuration file can be read");
    let listeners: Vec<_> = (0..5).map(|_| bind_listener()).collect();
    for (nth, listener) in listeners.iter().enumerate() {
        let address = listener.local_addr().expect("the listener has an address");
        let config =
            valid_config.replace("\"seed\":\"8c", &format!("\"discovery\":\"{address}\",\"seed\":\"8c"));
        if nth == 3 {
            std::fs::write(&harness.config_file, &config[..config.len() / 2])
                .expect("the file can be written");
            harness.signal(Signal::SIGHUP);
            sleep(ms(30));
        }
        std::fs::write(&harness.config_file, &config).expect("the file can be written");
        harness.signal(Signal::SIGHUP);
        sleep(ms(30));
    }
    let started_at = Instant::now();
    harness.discovery = listeners.into_iter().next_back().expect("there are five listeners");
    harness.open_watch();
    let moved = instance(0, &harness.member_address(1), "SERVING");
    harness.generation = 100;
    harness.send_listing(&moved, true);
    harness.settle();
    assert!(started_at.elapsed() < ms(4000), "the list took effect after {:?}", started_at.elapsed());
    let mut client = harness.client();
    client.write_all(&query(&write_statement("2"))).expect("the router reads");
    assert_eq!(harness.next_rpc(1).0, "2");
}

/// Where discovery pushes the list, the router has to follow a change 0.25 s (`DrainGrace`) after discovery has the
/// change. A watch that is lost five times in a row is opened again within 0.2 s each time, and a member that begins to
/// drain afterwards gets no RPC.
#[test]
fn a_lost_watch_of_a_pushed_list_is_reopened_within_a_short_drain_grace() {
    let grace = "\"DrainGrace\":250000000,\"OverloadFor\"";
    let mut harness = start_harness(|config| {
        config.replace("\"subscribe\"", "\"automatic\"").replace("\"OverloadFor\"", grace)
    });
    for _ in 0..5 {
        harness.watch = None;
        let started_at = Instant::now();
        harness.open_watch();
        assert!(
            started_at.elapsed() < ms(200),
            "the watch was opened again after {:?}",
            started_at.elapsed()
        );
    }
    harness.send_listing("", false);
    let draining = instance(0, &harness.member_address(0), "DRAINING");
    harness.send_listing(&draining, false);
    harness.settle();
    let mut client = harness.client();
    client.write_all(&query(&statement("1", "write", 400, "1"))).expect("the router reads");
    assert!(harness.next_rpc_within(0, ms(600)).is_none(), "the draining member got an RPC");
}

/// Discovery answers each watch late, after 1.3 to 1.9 s (after 2 s discovery would reject the watch). A change takes
/// effect within 6 s after discovery has the change and can be reached, whatever happened to earlier watches.
#[test]
fn a_new_list_takes_effect_in_time_although_discovery_answers_each_watch_late() {
    for answer_delay_ms in [1300, 1600, 1900] {
        let mut harness = start_harness(|config| config);
        harness.assert_write_succeeds("1");
        let moved = instance(0, &harness.member_address(1), "SERVING");
        let list = format!("{{\"generation\":9,\"reset\":true,\"instances\":[{moved}]}}\n");
        let answer = [WATCH_HEAD, &chunk(list.as_bytes())].concat();
        let discovery = harness.discovery.try_clone().expect("the socket can be cloned");
        std::thread::spawn(move || {
            loop {
                let mut watch = accept_connection(&discovery);
                let answer = answer.clone();
                std::thread::spawn(move || {
                    sleep(ms(answer_delay_ms));
                    let _ = watch.write_all(&answer);
                    sleep(ms(20_000));
                });
            }
        });
        harness.watch = None;
        let started_at = Instant::now();
        let mut nth = 1;
        let took_effect_after = loop {
            assert!(
                started_at.elapsed() < ms(6000),
                "watches answered after {answer_delay_ms} ms: the list has not taken effect"
            );
            nth += 1;
            let mut client = harness.client();
            client.write_all(&query(&write_statement(&nth.to_string()))).expect("the router reads");
            match harness.next_rpc_within(1, ms(100)) {
                Some((id, _)) if id == nth.to_string() => break started_at.elapsed(),
                _ => sleep(ms(50)),
            }
        };
        println!(
            "watches answered after {answer_delay_ms} ms: the list took effect after {took_effect_after:?}"
        );
    }
}
