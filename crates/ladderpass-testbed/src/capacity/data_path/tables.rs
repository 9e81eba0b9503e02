//! Tables of the effects that are not linear, which the slopes don't show. The effects are measured on the router's own
//! code in simulated time.

use super::reducer_slopes::{health_check_tick_cpu_us, steady_counts};
use super::reference_size::{CLIENTS, MEMBERS};
use super::simulation::{Shape, Simulation};
use ladderpass_routing::Span;

const WARM_UP: Span = Span::from_millis(15_000);
const SPAN: Span = Span::from_millis(40_000);

/// Returns all tables as text.
///
/// # Errors
/// If a simulation can't be started.
pub fn tables(seed: u64) -> Result<String, String> {
    let base = Shape::of(78);
    let mut text = client_idle_table(&base, seed)?;
    text += &answer_time_table(&base, seed)?;
    text += &staleness_table(&base, seed)?;
    text += &full_members_table(&base, seed)?;
    text += &startup_table(seed)?;
    text += &health_check_tick_table(seed)?;
    Ok(text)
}

/// Returns a table of reopened and open client connections by the idle timeout of clients.
fn client_idle_table(base: &Shape, seed: u64) -> Result<String, String> {
    let mut text =
        String::from("| rest until closed, s | opened anew, of statements | open of 5,900 | refused |\n");
    text += "|---|---|---|---|\n";
    for idle in [2.1, 5.0, 10.0, 30.0, 60.0] {
        let shape = Shape { client_idle_timeout: Some(Span::from_secs_f64(idle)), ..base.clone() };
        let counts = steady_counts(&shape, Span::from_secs_f64(idle.max(15.0)), SPAN, seed)?;
        let (opened, open) = (
            counts.clients_reopened / counts.statements,
            counts.client_connections / base.clients as f64 * CLIENTS,
        );
        text += &format!("| {idle} | {:.1}% | {open:.0} | {:.0} |\n", opened * 100.0, counts.failed);
    }
    Ok(text)
}

/// Returns a table of connections to members by the answer time of members.
fn answer_time_table(base: &Shape, seed: u64) -> Result<String, String> {
    let mut text = String::new();
    text += "\n| answer time, ms | connections a pair | most of a pair | made a second at 940 | refused |\n";
    text += "|---|---|---|---|---|\n";
    for ms in [1, 5, 20, 50, 200, 400] {
        let counts = steady_counts(
            &Shape { answer_time: Span::from_millis(ms), ..base.clone() },
            WARM_UP,
            SPAN,
            seed,
        )?;
        let (pairs, anew) = (base.members() as f64, counts.member_connections_opened / counts.seconds);
        text += &format!(
            "| {ms} | {:.3} | {} | {:.2} | {:.2}% |\n",
            counts.member_connections / pairs,
            counts.max_connections_of_member,
            anew / pairs * MEMBERS,
            counts.failed / (counts.served + counts.failed).max(1.0) * 100.0
        );
    }
    Ok(text)
}

/// Returns a table of reads at primaries and health checks by the statement rate and the maximum staleness of reads.
fn staleness_table(base: &Shape, seed: u64) -> Result<String, String> {
    let mut text = String::new();
    text +=
        "\n| statements a pair and s | data no older than, s | reads at the primary | probes a statement ";
    text += "| mean wait, ms | connections a pair | refused |\n|---|---|---|---|---|---|---|\n";
    for (rate, bound) in
        [(0.05, 2.0), (0.14, 2.0), (0.553, 0.8), (0.553, 2.0), (0.553, 5.0), (2.2, 2.0), (8.8, 2.0)]
    {
        let shape =
            Shape { rate: rate * base.members() as f64, max_read_age_ms: bound * 1e3, ..base.clone() };
        let counts = steady_counts(&shape, WARM_UP, SPAN, seed)?;
        let answered = (counts.served + counts.failed).max(1.0);
        text += &format!(
            "| {rate} | {bound} | {:.1}% | {:.2} | {:.2} | {:.3} | {:.2}% |\n",
            counts.reads_at_primary / counts.reads * 100.0,
            counts.health_checks / counts.statements,
            counts.total_latency_s / answered * 1e3,
            counts.member_connections / base.members() as f64,
            counts.failed / answered * 100.0,
        );
    }
    Ok(text)
}

/// Returns a table of failed statements by the fraction of members that have no connection left for the router.
fn full_members_table(base: &Shape, seed: u64) -> Result<String, String> {
    let mut text = String::new();
    text +=
        "\n| members full for this router | statements refused | reads at the primary | connects/s at 940 ";
    text += "| mean wait, ms |\n|---|---|---|---|---|\n";
    for full in [0.0, 0.1, 0.36, 0.79] {
        let counts = steady_counts(&Shape { full_probability: full, ..base.clone() }, WARM_UP, SPAN, seed)?;
        let answered = (counts.served + counts.failed).max(1.0);
        text += &format!(
            "| {:.0}% | {:.1}% | {:.1}% | {:.1} | {:.2} |\n",
            full * 100.0,
            counts.failed / answered * 100.0,
            counts.reads_at_primary / counts.reads * 100.0,
            counts.member_connections_opened / counts.seconds / base.members() as f64 * MEMBERS,
            counts.total_latency_s / answered * 1e3,
        );
    }
    Ok(text)
}

/// Returns a table of the first seconds of a router at the reference size.
fn startup_table(seed: u64) -> Result<String, String> {
    let mut text = String::new();
    text +=
        "\n| second after the start, at the size | connects | probes | statements served | mean wait, ms |\n";
    text += "|---|---|---|---|---|\n";
    let mut simulation = Simulation::new(&Shape::of(313), seed)?;
    for second in 1..=10 {
        let counts = simulation.run(Span::from_millis(1000));
        text += &format!(
            "| {second} | {:.0} | {:.0} | {:.0} | {:.2} |\n",
            counts.member_connections_opened,
            counts.health_checks,
            counts.served,
            counts.total_latency_s / counts.served.max(1.0) * 1e3
        );
    }
    Ok(text)
}

/// Returns a table of the CPU time of ticks with health checks by members, with and without the sharing of health
/// checks among routers.
fn health_check_tick_table(seed: u64) -> Result<String, String> {
    let mut text = String::new();
    text += "\n| members | us of CPU of a pass, each alone | where probes are shared |\n|---|---|---|\n";
    for groups in [39, 78, 156, 313] {
        let alone = Shape::of(groups);
        let shared = Shape { shares_health_checks: true, ..alone.clone() };
        text += &format!(
            "| {} | {:.1} | {:.1} |\n",
            alone.members(),
            health_check_tick_cpu_us(&alone, 9, seed)?,
            health_check_tick_cpu_us(&shared, 9, seed)?
        );
    }
    Ok(text)
}
