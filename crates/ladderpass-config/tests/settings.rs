//! What the platform's settings say of methods.

use ladderpass_routing::{Idempotency, Span};
use serde_json::json;

fn effect_of(scope: Option<&str>) -> Idempotency {
    let settings = json!({
        "Allowed": {"AttemptsCap": 6}, "Balancers": 1, "Contract": {}, "RegistryMode": "automatic",
        "Extra": {"ReadLevel": ["write"]},
        "Services": [{"Name": "w", "Slo": 750_000_000, "Effect": "token", "DedupScope": scope, "KeyTtl": 5_000_000_000_i64}],
    });
    let facts = ladderpass_config::read(&settings).unwrap_or_else(|fault| panic!("{fault}"));
    facts.deployment.methods[0].idempotency
}

/// Repeats are dropped by all members, or by the group of the first attempt. Where neither is said they may be dropped
/// by a part of the group alone: then none is sent.
#[test]
fn a_scope_that_is_not_the_group_or_all_allows_no_repeat() {
    let window = Span::from_millis(5000);
    assert_eq!(effect_of(Some("all")), Idempotency::IdempotencyKey { across_groups: true, window });
    assert_eq!(effect_of(Some("cell")), Idempotency::IdempotencyKey { across_groups: false, window });
    for scope in [Some("zone"), Some("half"), None] {
        assert_eq!(
            effect_of(scope),
            Idempotency::IdempotencyKey { across_groups: false, window: Span::ZERO },
            "{scope:?}"
        );
    }
}
