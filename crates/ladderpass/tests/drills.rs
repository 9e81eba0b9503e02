//! Drills of several router processes with fault events: what the other routers believe of a router that dies, is
//! paused, is cut off or starts again, and how a drill reports that it cannot go on. The assertions hold on any
//! machine, however slow.

mod one_at_a_time;

use ladderpass_testbed::drill::Drill;
use ladderpass_testbed::drill::play::{DrillRecord, Programs, RouterView, play};
use ladderpass_testbed::drill::report::AttemptCounts;
use one_at_a_time::wait_for_turn;
use std::path::Path;

fn programs() -> Programs<'static> {
    Programs { router: Path::new(env!("CARGO_BIN_EXE_ladderpass")), faulty: None, earlier: None }
}

/// Plays a drill and checks that no invariant is broken. Answers may be 2 s late, since the machine may be slow.
fn play_drill(text: &str) -> (Drill, DrillRecord) {
    let mut drill = Drill::read(text).unwrap_or_else(|error| panic!("{error}"));
    (drill.grace_ms, drill.deadline_ms, drill.max_settle_s) = (2000, 2000, 20.0);
    let played = play(&drill, programs(), 1).unwrap_or_else(|error| panic!("{error}"));
    let violations: Vec<String> = played.violations.iter().map(ToString::to_string).collect();
    assert_eq!(violations, Vec::<String>::new());
    assert_eq!(played.router_failures, Vec::<String>::new());
    (drill, played)
}

/// The changes in the state of the router numbered `subject` that the router numbered `viewer` logged, in order.
fn logged_changes(played: &DrillRecord, viewer: usize, subject: usize) -> Vec<&str> {
    let changes = played.views[viewer].iter().flat_map(|view| &view.changes);
    changes
        .filter(|change| change.address == played.addresses[subject])
        .map(|change| change.text.as_str())
        .collect()
}

/// All views that each router logged, with their times since the start of the load, and the fault events. Times before
/// the start of the load are negative: `DrillRecord::settled` is the time from the start of the routers until they agreed.
fn view_histories(played: &DrillRecord) -> String {
    let began = played.outcome.began;
    let mut lines = vec![format!("settled: {:?}", played.settled)];
    lines.extend(
        played.event_log.iter().map(|event| format!("{:.3} s {}", (event.at - began).secs(), event.name)),
    );
    for (router, views) in played.views.iter().enumerate() {
        lines.extend(views.iter().map(|view| {
            let RouterView { at, digest, count, changes } = view;
            format!("r{router} {:.3} s {digest:08x} of {count} {changes:?}", (*at - began).secs())
        }));
    }
    lines.join("\n")
}

/// Checks that the last views of the fleet that all running routers logged are equal and contain `count` routers.
fn assert_agreed(played: &DrillRecord, count: usize) {
    let last_views: Vec<_> = (0..played.views.len())
        .filter(|&nth| played.alive[nth])
        .map(|nth| played.views[nth].last().map(|view| (view.digest, view.count)))
        .collect();
    assert!(last_views.iter().all(|view| *view == last_views[0]), "{last_views:?}");
    assert_eq!(last_views[0].map(|(_, count)| count), Some(count));
}

#[test]
fn a_killed_and_a_paused_router_are_declared_dead_and_rejoin() {
    let _turn = wait_for_turn();
    let (_, played) = play_drill(
        "{routers: 5, phases: [[10, 60]], clients: 40, deeds: [{at: 0.5, kill: [r1]}, {at: 0.5, freeze: [r2], for: 4}, {at: 5, start: [r1]}]}",
    );
    assert!(played.settled.is_some());
    for viewer in [0, 3, 4] {
        for subject in [1, 2] {
            // If a router that is back is suspected again and refutes the suspicion, the log says once more that the
            // router is back. So the log may contain "is back" several times.
            let views = logged_changes(&played, viewer, subject);
            assert!(
                views.contains(&"died") && views.last() == Some(&"is back"),
                "{views:?} of r{subject} in the log of r{viewer}\n{}",
                view_histories(&played)
            );
        }
    }
    assert_agreed(&played, 5);
}

/// A router that gets SIGTERM announces that it leaves, so that the other routers do not have to detect its end.
#[test]
fn a_terminating_router_announces_that_it_leaves_and_its_clients_go_elsewhere() {
    let _turn = wait_for_turn();
    let (_, played) =
        play_drill("{routers: 4, phases: [[4, 60]], clients: 40, deeds: [{at: 1, term: [r3]}]}");
    let last_views: Vec<_> =
        (0..3).map(|viewer| logged_changes(&played, viewer, 3).last().copied()).collect();
    assert!(last_views.contains(&Some("left")), "{last_views:?}");
    assert!(!played.alive[3]);
    assert_agreed(&played, 3);
}

/// The fleet is split while both sides still reach all members. Each side keeps serving, and no invariant is broken.
#[test]
fn a_split_forms_two_fleets_that_merge_again() {
    let _turn = wait_for_turn();
    let (_, played) = play_drill(
        "{routers: 5, phases: [[12, 60]], clients: 40, deeds: [{at: 0.5, split: [[r0, r1], [r2, r3, r4]], for: 6}]}",
    );
    let min_view =
        |router: usize| played.views[router].iter().skip_while(|view| view.count < 5).map(|v| v.count).min();
    assert_eq!((min_view(0), min_view(4)), (Some(2), Some(3)));
    assert_agreed(&played, 5);
}

/// One router is cut off from all other routers, from all members and from discovery. It still answers its clients.
#[test]
fn a_router_cut_off_from_all_others_and_all_members_still_answers_its_clients() {
    let _turn = wait_for_turn();
    let (drill, played) = play_drill(
        "{routers: 3, phases: [[5, 60]], clients: 40, roaming: 0, deeds: [{at: 1, split: [[r2], [r0, r1, member-0, member-1, member-2, discovery]], for: 3}]}",
    );
    let cut_off = played.counts_of(&drill, &[2]);
    assert_eq!((cut_off.unanswered, cut_off.late), (0, 0), "{cut_off:?}");
    assert!(cut_off.rejected + cut_off.aborted > 0, "the split had no effect: {cut_off:?}");
}

#[test]
fn lost_duplicated_delayed_and_reordered_datagrams_change_no_view() {
    let _turn = wait_for_turn();
    let (_, played) = play_drill(
        "{routers: 4, phases: [[6, 60]], clients: 40, deeds: [\
         {at: 0.2, datagrams: {name: lost, part: 0.15, do: drop}}, \
         {at: 0.2, datagrams: {name: twice, part: 0.3, do: {duplicate: {ms: 30}}}}, \
         {at: 0.2, datagrams: {name: late, part: 0.2, do: {delay: {ms: 40, spread: exponential}}}}, \
         {at: 0.2, datagrams: {name: overtaken, part: 0.3, do: {reorder: {ms: 60}}}}]}",
    );
    assert!(played.datagram_hits.iter().all(|(_, hits)| *hits > 10), "{:?}", played.datagram_hits);
    assert_agreed(&played, 4);
}

/// Forty processes start in the same second, on as many cores as the machine has.
#[test]
fn forty_routers_started_at_once_find_each_other() {
    let _turn = wait_for_turn();
    let (_, played) = play_drill("{routers: 40, phases: [[1, 40]], clients: 40, roaming: 0}");
    assert!(
        played.settled.is_some(),
        "{:?}",
        played.views.iter().map(|v| v.last().map(|v| v.count)).collect::<Vec<_>>()
    );
    assert_agreed(&played, 40);
}

/// Shared admission control under overload while parts of the fleet fail. Two of the six routers are killed, one is
/// paused and returns with an old admission threshold, the datagrams of one router are lost, and one has no gossip. A
/// member starts cold, and the first router has eight times the client connections of the last.
#[test]
fn shared_admission_control_breaks_no_invariant_while_parts_of_the_fleet_fail() {
    let _turn = wait_for_turn();
    let (drill, played) = play_drill(
        "{routers: 6, uneven: 8, phases: [[9, 250]], clients: 300, quiet: [r3], \
         operator: \"fleet: {sheds: true, budgets: true}\\nlog: {figures: 250ms}\", scenario: {cores: 1, queue: 4, cold: [2], methods: [\
         {name: board, max_age_ms: 2000, work_ms: 20, soft_deadline_ms: 800, utility: 2, share: 0.9}, \
         {name: move, writes: true, work_ms: 20, soft_deadline_ms: 800, utility: 8, share: 0.1}]}, \
         deeds: [{at: 1, mute: [r2], for: 3}, {at: 3, kill: [r4, r5]}, {at: 5, freeze: [r1], for: 3}]}",
    );
    let count_thresholds = |router: usize| {
        let lines = played.logs[router].iter().filter(|line| line.contains("ladderpass::fleet"));
        lines.filter(|line| !line.contains("threshold=0.00 ")).count()
    };
    assert!(
        count_thresholds(0) > 3 && count_thresholds(2) > 3,
        "no admission threshold was raised, so there was no overload"
    );
    let names_retries =
        |line: &&String| line.contains("retry budget group=") && !line.contains("retries_wanted=0.0 ");
    assert!(played.logs[0].iter().any(|line| names_retries(&line)), "router 0 wanted no retry");
    let AttemptCounts { first, retries } = played.attempts(3.0, 9.0);
    assert!(retries <= first / 2 + 12, "{retries} retries for {first} first attempts");
    let all = played.counts_of(&drill, &[0, 1, 2, 3, 4, 5]);
    assert!(all.rejected > all.due / 4 && all.ok > all.due / 10, "{all:?}");
}

/// A group that has lost its primary is overloaded. The admission threshold of this group applies to no other group,
/// and the RPCs of the other group are served.
#[test]
fn a_group_without_a_primary_sets_no_admission_threshold_for_another() {
    let _turn = wait_for_turn();
    let (_, played) = play_drill(
        "{routers: 3, phases: [[6, 60]], clients: 40, operator: \"fleet: {sheds: true}\\nlog: {figures: 250ms}\", \
         scenario: {groups: 2}, deeds: [{at: 1, ends: 0}]}",
    );
    // RPCs alternate between the two groups, so that the RPCs of the second group have odd numbers.
    let of_second_group = played.outcome.journal.iter().filter(|entry| entry.number % 2 == 1);
    let served = of_second_group.clone().filter(|entry| {
        entry.answered.is_some_and(|answered| answered.answer == ladderpass_invariants::Answer::Ok)
    });
    let (served, total) = (served.count(), of_second_group.count());
    assert!(total > 50 && served * 100 >= total * 97, "{served} of {total} RPCs of the second group served");
}

#[test]
fn a_router_that_does_not_start_is_reported_with_its_last_log_lines() {
    let _turn = wait_for_turn();
    let drill = Drill::read("{routers: 2, operator: 'colour: red'}").expect("the drill is valid");
    let error = play(&drill, programs(), 1).err().expect("the drill fails to start").to_string();
    assert!(error.contains("colour"), "{error}");
    let drill = Drill::read("{routers: 2, deeds: [{at: 0.2, start: [r1]}], faulty: {r1: resends}}");
    let error =
        play(&drill.expect("the drill is valid"), programs(), 1).err().expect("the program is not given");
    assert!(error.to_string().contains("r1 needs --faulty"), "{error}");
}
