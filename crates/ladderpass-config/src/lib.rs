//! The settings object of a deployment, read and checked once: into the core's [`Deployment`], and into the
//! facts that a front needs beside it ([`DeploymentSettings`]). Faults name the key. Unknown keys are passed over.
//!
//! It must never decide anything, nor hold a value that the settings don't give.

pub mod faults;
pub mod gossip;
pub mod names;
pub mod operator;

pub use faults::Faults;
use ladderpass_routing::{Consistency, Deployment, Idempotency, Method, PrimaryInList, Span, Time};
use serde::{Deserialize, Deserializer};
use serde_json::Value;

/// What every front needs to know of its deployment.
#[derive(Clone, Debug)]
pub struct DeploymentSettings {
    pub deployment: Deployment,
    /// Names of the methods, in the order of `deployment.methods`.
    pub method_names: Vec<String>,
    /// Answers tell a position, or the commit of a write.
    pub answers_report_position: bool,
    /// Where positions are counted from, on the bench's wire.
    pub clock_origin: Time,
    /// Names of the values in a load report.
    pub report_columns: Vec<String>,
    /// A connection that is not up by then never came.
    pub connect_timeout: Option<Span>,
    /// A connection idle for this long is closed by the member.
    pub idle_timeout: Option<Span>,
    /// Sizes in the list are the registered ones.
    pub weights_are_concurrency: bool,
    /// The zone of this instance.
    pub zone: Option<String>,
    /// Most RPCs that an instance may hold.
    pub max_in_flight: Option<u64>,
    /// Nothing new goes to a member later than this after it was told to fade.
    pub drain_grace: Option<Span>,
}

/// Columns of a load report that the core uses.
pub const POSITION_COLUMN: &str = "x0";
pub const PRIMARY_COLUMN: &str = "x1";
pub const IN_FLIGHT_COLUMN: &str = "rif";

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Shape {
    allowed: Allowed,
    balancers: Option<u32>,
    contract: Contract,
    extra: Extra,
    me: Option<u32>,
    az: Option<String>,
    weights: Option<String>,
    registry_mode: Option<String>,
    report: Option<ReportShape>,
    services: Vec<Service>,
    tick: Option<i64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Allowed {
    attempts_cap: Option<u32>,
    conn_idle: Option<i64>,
    connect_timeout: Option<i64>,
    max_retry_after: Option<i64>,
    may_tell: Option<bool>,
    most_held: Option<u64>,
    probes: Option<bool>,
    retry_after: Option<bool>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Contract {
    cold_from: Option<f64>,
    drain_grace: Option<i64>,
    must_ask_in: Option<i64>,
    overload_for: Option<i64>,
    soft_removal: Option<bool>,
    tip_multiple: Option<f64>,
    warm_within: Option<i64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Extra {
    max_age: Option<Vec<Option<i64>>>,
    progress_told: Option<bool>,
    read_level: Vec<String>,
    role_in_list: Option<String>,
    tokens: Option<String>,
    zero: Option<i64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct ReportShape {
    columns: Option<Vec<String>>,
    how: Option<String>,
}

impl ReportShape {
    fn tells_position(&self) -> bool {
        let told = self.columns.as_ref().is_none_or(|columns| columns.iter().any(|c| c == POSITION_COLUMN));
        told && self.how.as_deref() != Some("off")
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Service {
    name: String,
    slo: i64,
    effect: String,
    dedup_scope: Option<String>,
    key_ttl: Option<i64>,
    late_worth: Option<f64>,
    worth: Option<f64>,
}

/// Reads a value; the fault names the key.
pub fn parse<'de, T, D>(from: D) -> Result<T, String>
where
    T: Deserialize<'de>,
    D: Deserializer<'de, Error = serde_json::Error>,
{
    serde_path_to_error::deserialize(from).map_err(|fault| match fault.path().to_string().as_str() {
        "." => fault.inner().to_string(),
        path => format!("{path}: {}", fault.inner()),
    })
}

/// Reads the settings object.
pub fn read(settings: &Value) -> Result<DeploymentSettings, String> {
    let shape: Shape = parse(settings)?;
    let Shape { allowed, contract, extra, .. } = &shape;
    if shape.services.is_empty() {
        return Err("Services: must name at least one".into());
    }
    if allowed.attempts_cap == Some(0) {
        return Err("Allowed.AttemptsCap: must be at least 1".into());
    }
    if let Some(part) = contract.cold_from.filter(|part| !(0.0..=1.0).contains(part)) {
        return Err(format!("Contract.ColdFrom: {part} is not from 0 to 1"));
    }
    if let Some(multiple) = contract.tip_multiple.filter(|multiple| !(0.0..=1000.0).contains(multiple)) {
        return Err(format!("Contract.TipMultiple: {multiple} is not from 0 to 1000"));
    }
    let mut methods = Vec::new();
    for (index, service) in shape.services.iter().enumerate() {
        methods.push(method(index, service, extra)?);
    }
    let deployment = Deployment {
        methods,
        primary_in_list: match extra.role_in_list.as_deref() {
            None | Some("off") => PrimaryInList::Absent,
            Some("late") => PrimaryInList::Delayed,
            Some("start") => PrimaryInList::AtStart,
            Some(other) => return Err(format!("Extra.RoleInList: unknown value {other:?}")),
        },
        session_write_age_carried: extra.tokens.as_deref() != Some("remembered"),
        endpoint_poll_interval: match shape.registry_mode.as_deref() {
            // Guards against a list that is asked for without a pause: zero would be one call after the other.
            Some("subscribe") => {
                let most = positive("Contract.MustAskIn", contract.must_ask_in)?;
                Some(most.ok_or("Contract.MustAskIn: must be above 0 where RegistryMode is subscribe")?)
            }
            None | Some("automatic") => None,
            Some(other) => return Err(format!("RegistryMode: unknown value {other:?}")),
        },
        router_count: shape.balancers.unwrap_or(1),
        health_checks: allowed.probes.unwrap_or(false),
        health_checks_report_position: allowed.probes.unwrap_or(false)
            && shape.report.as_ref().is_none_or(ReportShape::tells_position),
        router_index: shape.me.unwrap_or(0),
        gossip: allowed.may_tell.unwrap_or(false),
        max_attempts: allowed.attempts_cap.unwrap_or(1),
        max_retry_after: match allowed.retry_after {
            Some(true) => span("Allowed.MaxRetryAfter", allowed.max_retry_after)?,
            _ => Span::ZERO,
        },
        tick: span("Tick", shape.tick)?,
        slow_start_capacity: contract.cold_from.unwrap_or(1.0),
        slow_start_duration: span("Contract.WarmWithin", contract.warm_within)?,
        overload_window: span("Contract.OverloadFor", contract.overload_for)?,
        overload_multiple: contract.tip_multiple.unwrap_or(1.0),
        removal_is_advisory: contract.soft_removal.unwrap_or(false),
    };
    Ok(DeploymentSettings {
        deployment,
        method_names: shape.services.iter().map(|service| service.name.clone()).collect(),
        answers_report_position: extra.progress_told.unwrap_or(true),
        clock_origin: Time::from_nanos(extra.zero.unwrap_or(0)),
        report_columns: shape.report.as_ref().and_then(|report| report.columns.clone()).unwrap_or_default(),
        connect_timeout: positive("Allowed.ConnectTimeout", allowed.connect_timeout)?,
        idle_timeout: positive("Allowed.ConnIdle", allowed.conn_idle)?,
        weights_are_concurrency: shape.weights.as_deref() == Some("nominal"),
        zone: shape.az.clone(),
        max_in_flight: allowed.most_held,
        drain_grace: positive("Contract.DrainGrace", contract.drain_grace)?,
    })
}

fn method(index: usize, service: &Service, extra: &Extra) -> Result<Method, String> {
    let level = extra.read_level.get(index).ok_or_else(|| format!("Extra.ReadLevel[{index}] is missing"))?;
    let max_age = extra.max_age.as_ref().and_then(|ages| ages.get(index).copied().flatten());
    Ok(Method {
        consistency: match level.as_str() {
            "any" => Consistency::Any,
            "bounded" => {
                let key = format!("Extra.MaxAge[{index}]");
                max_age.ok_or_else(|| format!("{key} is missing"))?;
                Consistency::BoundedStaleness(span(&key, max_age)?)
            }
            "session" => Consistency::Session,
            "fresh" => Consistency::Fresh,
            "write" => Consistency::Write,
            other => return Err(format!("Extra.ReadLevel[{index}]: unknown value {other:?}")),
        },
        idempotency: match service.effect.as_str() {
            "pure" => Idempotency::Idempotent,
            "token" => Idempotency::IdempotencyKey {
                across_groups: service.dedup_scope.as_deref() == Some("all"),
                // Guards rule 2: where neither the group nor all drop repeats, a member of the group may not know of the
                // first.
                window: match service.dedup_scope.as_deref() {
                    Some("all" | "cell") => span(&format!("Services[{index}].KeyTtl"), service.key_ttl)?,
                    _ => Span::ZERO,
                },
            },
            "side_effect" => Idempotency::NonIdempotent,
            other => return Err(format!("Services[{index}].Effect: unknown value {other:?}")),
        },
        soft_deadline: positive(&format!("Services[{index}].Slo"), Some(service.slo))?
            .ok_or_else(|| format!("Services[{index}].Slo: must be above 0"))?,
        utility: Some(service.worth.unwrap_or(1.0))
            .filter(|worth| *worth >= 0.0)
            .ok_or_else(|| format!("Services[{index}].Worth: must not be negative"))?,
        late_utility_share: service.late_worth.unwrap_or(0.0),
    })
}

/// A span that may be absent, but not negative.
fn span(key: &str, nanos: Option<i64>) -> Result<Span, String> {
    match nanos.unwrap_or(0) {
        negative if negative < 0 => Err(format!("{key}: {negative} is negative")),
        nanos => Ok(Span::from_nanos(nanos)),
    }
}

fn positive(key: &str, nanos: Option<i64>) -> Result<Option<Span>, String> {
    Ok(Some(span(key, nanos)?).filter(|&span| span > Span::ZERO))
}
