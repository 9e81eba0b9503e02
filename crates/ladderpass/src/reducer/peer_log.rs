//! Logs which routers are alive, and the metrics of shared admission control and of the shared retry budget.

use ladderpass_admission::GroupMetrics as AdmissionMetrics;
use ladderpass_membership::{Change, Membership, View};
use ladderpass_retry_budget::GroupMetrics as RetryMetrics;
use std::fmt::Write;
use std::net::SocketAddr;

/// The maximum number of routers that one log line names.
const MAX_NAMED_ROUTERS: usize = 6;

/// Logs this router's view of which routers are alive, and the changes that led to this view. The testbed parses this
/// line, also in logs of earlier versions of the router.
pub(super) fn log_view(view: &View, changes: &[(SocketAddr, Change)]) {
    let changes = changes_text(changes);
    tracing::info!("fleet: view {:08x} of {}, this is {}{changes}", view.digest, view.count, view.position);
}

pub(super) fn log_membership(view: &View, membership: &Membership) {
    let counts = membership.counts();
    tracing::info!(
        alive = view.count,
        suspected = view.suspected,
        gone = view.gone,
        local_health = membership.local_health(),
        datagrams_sent = counts.sent,
        bytes_sent = counts.bytes,
        datagrams_received = counts.received,
        datagrams_dropped = counts.dropped,
        "membership"
    );
}

pub(super) fn log_admission(metrics: &AdmissionMetrics, alive: usize, rejected: u64) {
    tracing::info!(
        target: "ladderpass::fleet",
        threshold = %format_args!("{:.2}", metrics.threshold),
        group = metrics.group,
        offered = %format_args!("{:.0}", metrics.offered),
        admitted = %format_args!("{:.0}", metrics.admitted),
        served = %format_args!("{:.0}", metrics.served),
        unplaced = %format_args!("{:.0}", metrics.unplaced),
        reports = metrics.reports,
        clamped_reports = metrics.clamped_reports,
        alive,
        capacity = %format_args!("{:.1}", metrics.capacity),
        quota = %format_args!("{:.3}", metrics.quota),
        rejected,
        "admission"
    );
}

pub(super) fn log_retry_budget(metrics: &RetryMetrics) {
    tracing::info!(
        target: "ladderpass::fleet",
        group = metrics.group,
        ratio = %format_args!("{:.3}", metrics.ratio),
        first_attempts = %format_args!("{:.0}", metrics.fleet.first_attempts),
        retries_wanted = %format_args!("{:.1}", metrics.fleet.retries_wanted),
        retries_granted = %format_args!("{:.1}", metrics.fleet.retries_granted),
        retries_succeeded = %format_args!("{:.1}", metrics.fleet.retries_succeeded),
        quota = %format_args!("{:.2}", metrics.quota),
        balance = %format_args!("{:.2}", metrics.balance),
        denied = metrics.denied,
        "retry budget"
    );
}

fn change_text(change: Change) -> &'static str {
    match change {
        Change::Joined => "joined",
        Change::Suspected => "is suspected",
        Change::Refuted => "is back",
        Change::Died => "died",
        Change::Left => "left",
    }
}

/// Describes the membership changes other than suspicions, for at most `MAX_NAMED_ROUTERS` routers.
fn changes_text(changes: &[(SocketAddr, Change)]) -> String {
    let named = changes.iter().filter(|(_, change)| *change != Change::Suspected);
    let mut text = String::new();
    for (address, change) in named.clone().take(MAX_NAMED_ROUTERS) {
        // Writing to a string can't fail.
        let _ = write!(text, "; {address} {}", change_text(*change));
    }
    let more = named.count().saturating_sub(MAX_NAMED_ROUTERS);
    if more > 0 {
        let _ = write!(text, "; {more} more");
    }
    text
}
