//! The form of words between routers that shed as one.

use ladderpass_admission::{GroupReport, MemberReport, REPORT_VERSION, read, write};
use ladderpass_routing::Span;

fn word() -> GroupReport {
    let told = |mark| MemberReport { id_hash: mark, in_flight: 2.5, latency_ratio: 1.4, capacity: 6.0 };
    GroupReport {
        router: 0xdead_beef,
        sequence: 65_535,
        age: Span::from_millis(150),
        group: 3,
        offered: vec![(200, 75.0), (190, 0.5)],
        served: 300.0,
        unplaced: 0.0,
        admitted: 310.0,
        retry_rates: [300.0, 4.0, 2.0, 0.0],
        members: vec![told(1), told(700)],
    }
}

#[test]
fn it_comes_back_within_its_steps_and_cut_it_is_dropped() {
    let mut bytes = vec![REPORT_VERSION];
    assert!(write(&word(), &mut bytes, 200) && write(&word(), &mut bytes, 200));
    let full = bytes.len() + 20;
    assert!(!write(&word(), &mut bytes, full));
    let back = read(&bytes);
    assert_eq!(back.len(), 2);
    let near = |one: f64, two: f64| (one - two).abs() <= 0.04 * one + 1e-9;
    assert!(back[0].offered.iter().zip(&word().offered).all(|(a, b)| a.0 == b.0 && near(a.1, b.1)));
    assert!(near(back[0].served, 300.0) && back[0].unplaced == 0.0 && near(back[0].members[1].capacity, 6.0));
    assert!(
        near(back[0].retry_rates[0], 300.0)
            && near(back[0].retry_rates[2], 2.0)
            && back[0].retry_rates[3] == 0.0
    );
    assert_eq!((back[0].router, back[0].sequence, back[0].age), (0xdead_beef, 65_535, word().age));
    for length in 0..bytes.len() {
        assert!(read(&bytes[..length]).len() < 2);
    }
}
