//! Converts the settings object of the users' protocol into the types of the routing core, and checks each value.
//! Reading stops at the first error.

use crate::errors::{SettingsError, parse};
use crate::settings::{Allowed, Extra, ReportShape, Service, Shape};
use ladderpass_routing::{Consistency, Deployment, Idempotency, Method, PrimaryInList, Span, Time};
use serde_json::Value;

/// The largest value that the settings may set for `Contract.TipMultiple`, the multiple of its present capacity that a
/// member in slow start can process during `Deployment::overload_window`.
const MAX_OVERLOAD_MULTIPLE: f64 = 1000.0;

/// The settings of a deployment that a router needs.
#[derive(Clone, Debug)]
pub struct DeploymentSettings {
    /// The settings on which routing decisions are based.
    pub deployment: Deployment,
    /// The names of the methods, in the order of `deployment.methods`.
    pub method_names: Vec<String>,
    /// Whether an answer carries the member's replication position. In the answer to a write, this is the position of
    /// the write's commit.
    pub answers_report_position: bool,
    /// The time from which the simulator counts replication positions, and from which all routers count the times in
    /// gossip messages.
    pub clock_origin: Time,
    /// The names of the values (columns) in a member's load report, in the order of the values.
    pub report_columns: Vec<String>,
    /// The time after which a connection to a member that is not yet established counts as failed.
    pub connect_timeout: Option<Span>,
    /// The time after which a member closes an idle connection of the router.
    pub idle_timeout: Option<Span>,
    /// Whether the weights in the endpoint list are the concurrency with which the members are registered.
    pub weights_are_concurrency: bool,
    /// The zone of this router.
    pub zone: Option<String>,
    /// The maximum number of RPCs that a router may have in flight.
    pub max_in_flight: Option<u64>,
    /// How long a member may still be sent new RPCs after the notice that the member drains.
    pub drain_grace: Option<Span>,
}

/// Reads and checks the settings object.
///
/// # Errors
/// Returns an error for the first value that is missing, has a wrong type or is not allowed.
pub fn read(settings: &Value) -> Result<DeploymentSettings, SettingsError> {
    let settings: Shape = parse(settings)?;
    check_limits(&settings)?;
    Ok(DeploymentSettings {
        deployment: read_deployment(&settings)?,
        method_names: settings.methods.iter().map(|method| method.name.clone()).collect(),
        answers_report_position: settings.extra.answers_report_position.unwrap_or(true),
        clock_origin: Time::from_nanos(settings.extra.clock_origin.unwrap_or(0)),
        report_columns: settings.load_report.and_then(|report| report.columns).unwrap_or_default(),
        connect_timeout: read_positive_span("Allowed.ConnectTimeout", settings.allowed.connect_timeout)?,
        idle_timeout: read_positive_span("Allowed.ConnIdle", settings.allowed.idle_timeout)?,
        weights_are_concurrency: settings.weights.as_deref() == Some("nominal"),
        zone: settings.zone,
        max_in_flight: settings.allowed.max_in_flight,
        drain_grace: read_positive_span("Contract.DrainGrace", settings.contract.drain_grace)?,
    })
}

fn check_limits(settings: &Shape) -> Result<(), SettingsError> {
    if settings.methods.is_empty() {
        return Err(SettingsError::NoMethods);
    }
    if settings.allowed.max_attempts == Some(0) {
        return Err(SettingsError::NoAttempts);
    }
    check_range("Contract.ColdFrom", settings.contract.slow_start_capacity, 1.0)?;
    check_range("Contract.TipMultiple", settings.contract.overload_multiple, MAX_OVERLOAD_MULTIPLE)
}

/// Checks that the number in the setting `key` is from 0 to `max`. A missing setting is allowed.
fn check_range(key: &'static str, value: Option<f64>, max: f64) -> Result<(), SettingsError> {
    match value.filter(|value| !(0.0..=max).contains(value)) {
        Some(value) => Err(SettingsError::OutOfRange { key, value, min: 0.0, max }),
        None => Ok(()),
    }
}

fn read_deployment(settings: &Shape) -> Result<Deployment, SettingsError> {
    let Shape { allowed, contract, extra, load_report, .. } = settings;
    let methods = settings.methods.iter().enumerate();
    let methods = methods.map(|(index, method)| read_method(index, method, extra));
    let health_checks = allowed.health_checks.unwrap_or(false);
    let reports_have_position = load_report.as_ref().is_none_or(ReportShape::has_position);
    Ok(Deployment {
        methods: methods.collect::<Result<_, _>>()?,
        primary_in_list: read_primary_in_list(extra.primary_in_list.as_deref())?,
        session_write_age_carried: extra.session_tokens.as_deref() != Some("remembered"),
        endpoint_poll_interval: read_endpoint_poll_interval(settings)?,
        router_count: settings.router_count.unwrap_or(1),
        health_checks,
        health_checks_report_position: health_checks && reports_have_position,
        router_index: settings.router_index.unwrap_or(0),
        gossip: allowed.gossip.unwrap_or(false),
        max_attempts: allowed.max_attempts.unwrap_or(1),
        max_retry_after: read_max_retry_after(allowed)?,
        tick: read_span("Tick", settings.tick)?,
        slow_start_capacity: contract.slow_start_capacity.unwrap_or(1.0),
        slow_start_duration: read_span("Contract.WarmWithin", contract.slow_start_duration)?,
        overload_window: read_span("Contract.OverloadFor", contract.overload_window)?,
        overload_multiple: contract.overload_multiple.unwrap_or(1.0),
        removal_is_advisory: contract.removal_is_advisory.unwrap_or(false),
    })
}

fn read_primary_in_list(mode: Option<&str>) -> Result<PrimaryInList, SettingsError> {
    match mode {
        None | Some("off") => Ok(PrimaryInList::Absent),
        Some("late") => Ok(PrimaryInList::Delayed),
        Some("start") => Ok(PrimaryInList::AtStart),
        Some(other) => Err(unknown_value("Extra.RoleInList", other)),
    }
}

/// Returns the maximum time between two polls of the endpoint list, or `None` where discovery sends the list without
/// being polled.
fn read_endpoint_poll_interval(settings: &Shape) -> Result<Option<Span>, SettingsError> {
    match settings.discovery_mode.as_deref() {
        Some("subscribe") => {
            let interval =
                read_positive_span("Contract.MustAskIn", settings.contract.endpoint_poll_interval)?;
            // With a poll interval of zero the endpoint list would be polled without a pause.
            Ok(Some(interval.ok_or(SettingsError::NoPollInterval)?))
        }
        None | Some("automatic") => Ok(None),
        Some(other) => Err(unknown_value("RegistryMode", other)),
    }
}

fn read_max_retry_after(allowed: &Allowed) -> Result<Span, SettingsError> {
    match allowed.retry_after {
        Some(true) => read_span("Allowed.MaxRetryAfter", allowed.max_retry_after),
        _ => Ok(Span::ZERO),
    }
}

fn read_method(index: usize, method: &Service, extra: &Extra) -> Result<Method, SettingsError> {
    Ok(Method {
        consistency: read_consistency(index, extra)?,
        idempotency: read_idempotency(index, method)?,
        soft_deadline: read_soft_deadline(index, method)?,
        utility: read_utility(index, method)?,
        late_utility_share: method.late_utility_share.unwrap_or(0.0),
    })
}

fn read_soft_deadline(index: usize, method: &Service) -> Result<Span, SettingsError> {
    let key = format!("Services[{index}].Slo");
    let soft_deadline = read_positive_span(&key, Some(method.soft_deadline))?;
    soft_deadline.ok_or(SettingsError::NotPositive { key })
}

/// Returns the utility of an answer that a method gives within its soft deadline, which is 1 if the settings do not set
/// it.
fn read_utility(index: usize, method: &Service) -> Result<f64, SettingsError> {
    let utility = method.utility.unwrap_or(1.0);
    if utility >= 0.0 {
        Ok(utility)
    } else {
        Err(SettingsError::Negative { key: format!("Services[{index}].Worth") })
    }
}

fn read_consistency(index: usize, extra: &Extra) -> Result<Consistency, SettingsError> {
    let key = format!("Extra.ReadLevel[{index}]");
    let Some(level) = extra.consistency.get(index) else { return Err(SettingsError::Missing { key }) };
    match level.as_str() {
        "any" => Ok(Consistency::Any),
        "bounded" => Ok(Consistency::BoundedStaleness(read_max_staleness(index, extra)?)),
        "session" => Ok(Consistency::Session),
        "fresh" => Ok(Consistency::Fresh),
        "write" => Ok(Consistency::Write),
        other => Err(SettingsError::UnknownValue { key, value: other.to_owned() }),
    }
}

fn read_max_staleness(index: usize, extra: &Extra) -> Result<Span, SettingsError> {
    let key = format!("Extra.MaxAge[{index}]");
    let max_staleness = extra.max_staleness.as_ref().and_then(|ages| ages.get(index).copied().flatten());
    if max_staleness.is_none() {
        return Err(SettingsError::Missing { key });
    }
    read_span(&key, max_staleness)
}

fn read_idempotency(index: usize, method: &Service) -> Result<Idempotency, SettingsError> {
    let scope = method.deduplication_scope.as_deref();
    match method.effect.as_str() {
        "pure" => Ok(Idempotency::Idempotent),
        "token" => Ok(Idempotency::IdempotencyKey {
            across_groups: scope == Some("all"),
            window: match scope {
                Some("all" | "cell") => {
                    read_span(&format!("Services[{index}].KeyTtl"), method.idempotency_key_ttl)?
                }
                // If idempotency keys are recognized neither by the whole group nor by all members, a member that gets
                // a retry may not know of the first attempt, and would run the RPC a second time.
                _ => Span::ZERO,
            },
        }),
        "side_effect" => Ok(Idempotency::NonIdempotent),
        other => Err(unknown_value(&format!("Services[{index}].Effect"), other)),
    }
}

fn unknown_value(key: &str, value: &str) -> SettingsError {
    SettingsError::UnknownValue { key: key.to_owned(), value: value.to_owned() }
}

/// Reads a duration in nanoseconds. An absent value is read as zero, and a negative one is an error.
fn read_span(key: &str, nanos: Option<i64>) -> Result<Span, SettingsError> {
    match nanos.unwrap_or(0) {
        nanos if nanos < 0 => Err(SettingsError::NegativeDuration { key: key.to_owned(), nanos }),
        nanos => Ok(Span::from_nanos(nanos)),
    }
}

/// Reads a duration in nanoseconds. Returns `None` if the value is absent or zero. A negative value is an error.
fn read_positive_span(key: &str, nanos: Option<i64>) -> Result<Option<Span>, SettingsError> {
    Ok(Some(read_span(key, nanos)?).filter(|&span| span > Span::ZERO))
}
