//! Tests of the encoding and decoding of load reports.

use ladderpass_admission::{
    GroupReport, MemberReport, OfferedRate, REPORT_VERSION, append_report, decode_reports,
};
use ladderpass_retry_budget::RetryRates;
use ladderpass_routing::Span;

fn report() -> GroupReport {
    let member = |id_hash| MemberReport { id_hash, in_flight: 2.5, latency_ratio: 1.4, capacity: 6.0 };
    GroupReport {
        router: 0xdead_beef,
        sequence: 65_535,
        age: Span::from_millis(150),
        group: 3,
        offered: vec![
            OfferedRate { priority: 200, per_second: 75.0 },
            OfferedRate { priority: 190, per_second: 0.5 },
        ],
        served: 300.0,
        unplaced: 0.0,
        admitted: 310.0,
        retry_rates: RetryRates {
            first_attempts: 300.0,
            retries_wanted: 4.0,
            retries_granted: 2.0,
            retries_succeeded: 0.0,
        },
        members: vec![member(1), member(700)],
    }
}

#[test]
fn reports_are_decoded_within_the_resolution_and_truncated_ones_are_dropped() {
    let mut bytes = vec![REPORT_VERSION];
    assert!(append_report(&report(), &mut bytes, 200) && append_report(&report(), &mut bytes, 200));
    let too_small = bytes.len() + 20;
    assert!(!append_report(&report(), &mut bytes, too_small));
    let decoded = decode_reports(&bytes);
    assert_eq!(decoded.len(), 2);
    let is_near = |one: f64, two: f64| (one - two).abs() <= 0.04 * one + 1e-9;
    let is_same = |(one, two): (&OfferedRate, &OfferedRate)| {
        one.priority == two.priority && is_near(one.per_second, two.per_second)
    };
    assert!(decoded[0].offered.iter().zip(&report().offered).all(is_same));
    assert!(
        is_near(decoded[0].served, 300.0)
            && decoded[0].unplaced == 0.0
            && is_near(decoded[0].members[1].capacity, 6.0)
    );
    assert!(
        is_near(decoded[0].retry_rates.first_attempts, 300.0)
            && is_near(decoded[0].retry_rates.retries_granted, 2.0)
            && decoded[0].retry_rates.retries_succeeded == 0.0
    );
    assert_eq!((decoded[0].router, decoded[0].sequence, decoded[0].age), (0xdead_beef, 65_535, report().age));
    for length in 0..bytes.len() {
        assert!(decode_reports(&bytes[..length]).len() < 2);
    }
}
