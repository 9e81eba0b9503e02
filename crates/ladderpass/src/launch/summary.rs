//! The output of `ladderpass check`: the effective configuration, defaults included, with one value per line.

use super::Launch;
use ladderpass_config::operator::{Operator, Peers};
use ladderpass_overload::Settings;
use ladderpass_routing::{Consistency, Idempotency, Span};
use std::fmt::Write;

/// A text table with one key and its value per line.
#[derive(Default)]
struct Table(String);

impl Table {
    fn add(&mut self, key: &str, value: impl Into<String>) {
        // Writing to a string can't fail.
        let _ = writeln!(self.0, "{key:<34} {}", value.into());
    }
}

/// Returns the effective configuration with one value per line.
pub(super) fn summarize(launch: &Launch) -> String {
    let mut table = Table::default();
    add_launch(&mut table, launch);
    add_methods(&mut table, launch);
    let operator = &launch.operator;
    table.add("log.format", if operator.log.json { "json" } else { "text" });
    table.add("log.figures", format!("{} ms", whole_millis(operator.log.metrics_interval)));
    add_peers(&mut table, operator.peers.as_ref());
    add_shared_and_members(&mut table, operator);
    add_overload(&mut table, operator.overload.as_ref());
    table.0
}

fn add_launch(table: &mut Table, launch: &Launch) {
    let allowed = &launch.resource_limits;
    let endpoints = &launch.cached_endpoints;
    table.add("name", &launch.fixed.name);
    table.add("listen", launch.fixed.listen.to_string());
    table.add("discovery", launch.discovery.to_string());
    let known = format!("{} (generation {})", endpoints.instances.len(), endpoints.generation);
    table.add("known members", known);
    table.add("limits.cores", allowed.cores.to_string());
    let memory = format!("{} MiB, rings {} MiB", allowed.memory_bytes >> 20, allowed.buffer_bytes >> 20);
    table.add("limits.memory", memory);
    table.add("limits.sockets", format!("{}, clients {}", allowed.descriptors, launch.limits.clients));
}

fn add_methods(table: &mut Table, launch: &Launch) {
    let settings = &launch.settings;
    for (name, method) in settings.method_names.iter().zip(&settings.deployment.methods) {
        let text = format!(
            "{}, {}, utility {}, soft deadline {} ms",
            describe_consistency(method.consistency),
            describe_idempotency(method.idempotency),
            method.utility,
            whole_millis(method.soft_deadline)
        );
        table.add(&format!("method {name}"), text);
    }
}

/// Describes a consistency level. Operators may compare the output of two versions, so these words stay when names in
/// the code change.
fn describe_consistency(consistency: Consistency) -> String {
    match consistency {
        Consistency::Any => "Any".to_owned(),
        Consistency::BoundedStaleness(max) => format!("Bounded(Span({}))", max.nanos()),
        Consistency::Session => "Session".to_owned(),
        Consistency::Fresh => "Fresh".to_owned(),
        Consistency::Write => "Write".to_owned(),
    }
}

/// Describes the idempotency of a method. Operators may compare the output of two versions, so these words stay when
/// names in the code change.
fn describe_idempotency(idempotency: Idempotency) -> String {
    match idempotency {
        Idempotency::Idempotent => "Idempotent".to_owned(),
        Idempotency::IdempotencyKey { across_groups, window } => {
            format!("Tokened {{ anywhere: {across_groups}, window: Span({}) }}", window.nanos())
        }
        Idempotency::NonIdempotent => "NonIdempotent".to_owned(),
    }
}

fn add_peers(table: &mut Table, peers: Option<&Peers>) {
    let Some(peers) = peers else { return table.add("peers", "off: no messages between routers") };
    let (address, listen, listed) = (peers.address, peers.listen, peers.listed.len());
    table.add("peers", format!("{address}, listening at {listen}, {listed} listed"));
    let networks: Vec<String> = peers.networks.iter().map(|network| network.to_string()).collect();
    let networks = if networks.is_empty() { "only listed routers".into() } else { networks.join(", ") };
    table.add("peers.networks", networks);
    if peers.legacy_form {
        table.add("peers.me, peers.all", "deprecated: use listen and listed instead");
    }
}

fn add_shared_and_members(table: &mut Table, operator: &Operator) {
    let separate = "off: each router separately";
    table.add("fleet.sheds", if operator.shared_admission { "all routers together" } else { separate });
    table.add("fleet.budgets", if operator.shared_retry_budget { "of all routers" } else { separate });
    table.add("members.zone", operator.zone.as_deref().unwrap_or("off: all members are equally near"));
    table.add("members.sizes", if operator.weights_are_concurrency { "by the list's weight" } else { "off" });
}

fn add_overload(table: &mut Table, settings: Option<&Settings>) {
    let Some(settings) = settings else {
        return table.add("overload", "off: the router does not detect overload");
    };
    let delay = settings.delay;
    table.add("overload.delay", format!("from {} full {}", rounded_ms(delay.from), rounded_ms(delay.full)));
    for (key, band) in [
        ("cpu", settings.cpu),
        ("memory", settings.memory),
        ("rings", settings.buffers),
        ("descriptors", settings.descriptors),
    ] {
        let text = format!("from {} full {} of what is allowed", band.from, band.full);
        table.add(&format!("overload.{key}"), text);
    }
    for (key, span) in [
        ("rise", settings.rise),
        ("fall", settings.fall),
        ("calm_after", settings.calm_after),
        ("slow_reader", settings.slow_reader_timeout),
        ("look", settings.sample_interval),
    ] {
        table.add(&format!("overload.{key}"), rounded_ms(span.secs()));
    }
    table.add("overload.fair", format!("{} fair shares", settings.fair_share_multiple));
    table.add("overload.slow_reader_bytes", format!("{} KiB", settings.slow_reader_bytes >> 10));
}

fn whole_millis(span: Span) -> i64 {
    span.nanos() / 1_000_000
}

fn rounded_ms(seconds: f64) -> String {
    format!("{:.0} ms", seconds * 1e3)
}
