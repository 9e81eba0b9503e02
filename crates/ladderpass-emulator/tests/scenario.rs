//! Tests that the error for an invalid scenario names the invalid key.

use ladderpass_emulator::Scenario;

#[test]
fn each_error_names_the_invalid_key_on_one_line() {
    for (text, expected_key) in [
        ("cores: 0", "cores"),
        ("groups: x", "groups"),
        ("colour: red", "colour"),
        ("methods: []", "methods"),
        ("connect_ms: -1", "connect_ms"),
        (
            "methods: [{name: a, soft_deadline_ms: 5, utility: 1, share: 1, value_bytes: 70000}]",
            "methods.a.value_bytes",
        ),
    ] {
        let error = Scenario::read(text).expect_err(text).to_string();
        assert!(error.contains(expected_key) && !error.contains('\n'), "{text}: {error}");
    }
    assert_eq!(Scenario::read("replicas: 4").expect("valid scenario").member_count(), 5);
}
