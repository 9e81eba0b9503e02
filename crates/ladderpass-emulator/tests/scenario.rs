//! Scenarios: what is refused names its key.

use ladderpass_emulator::Scenario;

#[test]
fn faults_name_the_key() {
    for (text, wanted) in [
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
        let fault = Scenario::read(text).expect_err(text);
        assert!(fault.contains(wanted) && !fault.contains('\n'), "{text}: {fault}");
    }
    assert_eq!(Scenario::read("replicas: 4").expect("allowed").members(), 5);
}
