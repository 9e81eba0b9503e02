//! The structure of the settings object of the users' protocol. Only this module maps the users' keys to the names in
//! the code.
//!
//! Times and durations are in nanoseconds, as integers. Unknown keys are ignored. serde prints the names of the structs
//! in its errors, so the structs keep the names that operators know.

use serde::Deserialize;

/// The column of a load report with the member's replication position, in seconds from `clock_origin`.
pub const POSITION_COLUMN: &str = "x0";
/// The column of a load report with 1 if the member is the primary, and otherwise 0.
pub const PRIMARY_COLUMN: &str = "x1";
/// The column of a load report with the number of RPCs in flight at the member.
pub const IN_FLIGHT_COLUMN: &str = "rif";

/// The settings object.
#[derive(Deserialize)]
pub(crate) struct Shape {
    #[serde(rename = "Allowed")]
    pub(crate) allowed: Allowed,
    #[serde(rename = "Balancers")]
    pub(crate) router_count: Option<u32>,
    #[serde(rename = "Contract")]
    pub(crate) contract: Contract,
    #[serde(rename = "Extra")]
    pub(crate) extra: Extra,
    #[serde(rename = "Me")]
    pub(crate) router_index: Option<u32>,
    #[serde(rename = "Az")]
    pub(crate) zone: Option<String>,
    #[serde(rename = "Weights")]
    pub(crate) weights: Option<String>,
    #[serde(rename = "RegistryMode")]
    pub(crate) discovery_mode: Option<String>,
    #[serde(rename = "Report")]
    pub(crate) load_report: Option<ReportShape>,
    #[serde(rename = "Services")]
    pub(crate) methods: Vec<Service>,
    #[serde(rename = "Tick")]
    pub(crate) tick: Option<i64>,
}

/// What the settings allow a router to do, such as retries, gossip and health checks.
#[derive(Deserialize)]
pub(crate) struct Allowed {
    #[serde(rename = "AttemptsCap")]
    pub(crate) max_attempts: Option<u32>,
    #[serde(rename = "ConnIdle")]
    pub(crate) idle_timeout: Option<i64>,
    #[serde(rename = "ConnectTimeout")]
    pub(crate) connect_timeout: Option<i64>,
    #[serde(rename = "MaxRetryAfter")]
    pub(crate) max_retry_after: Option<i64>,
    #[serde(rename = "MayTell")]
    pub(crate) gossip: Option<bool>,
    #[serde(rename = "MostHeld")]
    pub(crate) max_in_flight: Option<u64>,
    #[serde(rename = "Probes")]
    pub(crate) health_checks: Option<bool>,
    #[serde(rename = "RetryAfter")]
    pub(crate) retry_after: Option<bool>,
}

/// What members and discovery guarantee to a router.
#[derive(Deserialize)]
pub(crate) struct Contract {
    #[serde(rename = "ColdFrom")]
    pub(crate) slow_start_capacity: Option<f64>,
    #[serde(rename = "DrainGrace")]
    pub(crate) drain_grace: Option<i64>,
    #[serde(rename = "MustAskIn")]
    pub(crate) endpoint_poll_interval: Option<i64>,
    #[serde(rename = "OverloadFor")]
    pub(crate) overload_window: Option<i64>,
    #[serde(rename = "SoftRemoval")]
    pub(crate) removal_is_advisory: Option<bool>,
    #[serde(rename = "TipMultiple")]
    pub(crate) overload_multiple: Option<f64>,
    #[serde(rename = "WarmWithin")]
    pub(crate) slow_start_duration: Option<i64>,
}

/// The settings of replication: consistency levels by method, replication positions, session tokens, and whether the
/// endpoint list names the primary.
#[derive(Deserialize)]
pub(crate) struct Extra {
    #[serde(rename = "MaxAge")]
    pub(crate) max_staleness: Option<Vec<Option<i64>>>,
    #[serde(rename = "ProgressTold")]
    pub(crate) answers_report_position: Option<bool>,
    #[serde(rename = "ReadLevel")]
    pub(crate) consistency: Vec<String>,
    #[serde(rename = "RoleInList")]
    pub(crate) primary_in_list: Option<String>,
    #[serde(rename = "Tokens")]
    pub(crate) session_tokens: Option<String>,
    #[serde(rename = "Zero")]
    pub(crate) clock_origin: Option<i64>,
}

/// What members report in health checks.
#[derive(Deserialize)]
pub(crate) struct ReportShape {
    #[serde(rename = "Columns")]
    pub(crate) columns: Option<Vec<String>>,
    #[serde(rename = "How")]
    pub(crate) mode: Option<String>,
}

impl ReportShape {
    /// Returns whether a load report contains the member's replication position.
    pub(crate) fn has_position(&self) -> bool {
        let in_columns = self
            .columns
            .as_ref()
            .is_none_or(|columns| columns.iter().any(|column| column == POSITION_COLUMN));
        in_columns && self.mode.as_deref() != Some("off")
    }
}

/// The settings of a method.
#[derive(Deserialize)]
pub(crate) struct Service {
    #[serde(rename = "Name")]
    pub(crate) name: String,
    #[serde(rename = "Slo")]
    pub(crate) soft_deadline: i64,
    #[serde(rename = "Effect")]
    pub(crate) effect: String,
    #[serde(rename = "DedupScope")]
    pub(crate) deduplication_scope: Option<String>,
    #[serde(rename = "KeyTtl")]
    pub(crate) idempotency_key_ttl: Option<i64>,
    #[serde(rename = "LateWorth")]
    pub(crate) late_utility_share: Option<f64>,
    #[serde(rename = "Worth")]
    pub(crate) utility: Option<f64>,
}
