//! The deduplication scope of methods in the settings object.

use ladderpass_routing::{Idempotency, Span};
use serde_json::json;

fn idempotency_with_scope(scope: Option<&str>) -> Idempotency {
    let settings = json!({
        "Allowed": {"AttemptsCap": 6}, "Balancers": 1, "Contract": {}, "RegistryMode": "automatic",
        "Extra": {"ReadLevel": ["write"]},
        "Services": [{"Name": "w", "Slo": 750_000_000, "Effect": "token", "DedupScope": scope, "KeyTtl": 5_000_000_000_i64}],
    });
    let settings = ladderpass_config::read(&settings).unwrap_or_else(|error| panic!("{error}"));
    settings.deployment.methods[0].idempotency
}

/// With the deduplication scope `all`, every member drops duplicates of an RPC. With the scope `cell`, every member of
/// the group to which the first attempt was sent does so. With any other scope, some members of that group may not know
/// of the first attempt, so no retry is sent.
#[test]
fn a_deduplication_scope_other_than_the_group_or_all_members_allows_no_retry() {
    let window = Span::from_millis(5000);
    assert_eq!(
        idempotency_with_scope(Some("all")),
        Idempotency::IdempotencyKey { across_groups: true, window }
    );
    assert_eq!(
        idempotency_with_scope(Some("cell")),
        Idempotency::IdempotencyKey { across_groups: false, window }
    );
    for scope in [Some("zone"), Some("half"), None] {
        assert_eq!(
            idempotency_with_scope(scope),
            Idempotency::IdempotencyKey { across_groups: false, window: Span::ZERO },
            "{scope:?}"
        );
    }
}
