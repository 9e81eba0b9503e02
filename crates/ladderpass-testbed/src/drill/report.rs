//! Reports of a drill: counts, a table of text, JSON lines, and charts over time.

use super::Drill;
use super::play::DrillRecord;
use crate::charts::{self, Line};
use crate::load::{Counts, RpcRecord, Slice};
use ladderpass_invariants::Answer;
use ladderpass_routing::{Span, Time};
use serde_json::{Value, json};
use std::collections::HashMap;
use std::io::{self, Write};
use std::path::Path;

/// Number of time slices in a second, which converts counts of a slice into rates.
const SLICES_PER_SECOND: f64 = 10.0;
/// Maximum number of violations in the table.
const MAX_VIOLATIONS_SHOWN: usize = 10;

/// Numbers of attempts that arrived at members.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AttemptCounts {
    /// First attempts of RPCs that arrived at members.
    pub first: usize,
    /// Further attempts that arrived at members, of RPCs that had a first attempt.
    pub retries: usize,
}

/// Returns a time in seconds from the start of the load.
fn secs(record: &DrillRecord, at: Time) -> f64 {
    (at - record.outcome.began).secs()
}

impl DrillRecord {
    /// Counts the outcomes of the RPCs that were sent to the given routers, from the journal of the load.
    pub fn counts_of(&self, drill: &Drill, routers: &[usize]) -> Counts {
        let mut counts = Counts::default();
        let grace = Span::from_millis(i64::from(drill.grace_ms));
        for entry in self.outcome.journal.iter().filter(|entry| routers.contains(&entry.router)) {
            counts.due += 1;
            let method = drill.scenario.methods.get(entry.method);
            let soft_deadline_ms = method.map_or(0.0, |method| method.soft_deadline_ms);
            let Some(answered) = entry.answered else {
                counts.unanswered += 1;
                continue;
            };
            let soft_deadline = entry.sent + Span::from_secs_f64(soft_deadline_ms / 1e3);
            match answered.answer {
                _ if answered.at > entry.deadline + grace => counts.late += 1,
                Answer::Ok => {
                    counts.ok += 1;
                    counts.good += u64::from(answered.at <= soft_deadline);
                }
                Answer::Rejected => counts.rejected += 1,
                Answer::Failed => counts.aborted += 1,
            }
        }
        counts
    }

    /// Returns how many routers a router believed to be alive, as a step curve over seconds.
    pub fn live_router_counts(&self, router: usize) -> Vec<(f64, f64)> {
        let mut points: Vec<(f64, f64)> = Vec::new();
        for view in self.views.get(router).into_iter().flatten() {
            let at = secs(self, view.at);
            if let Some(&(_, before)) = points.last() {
                points.push((at, before));
            }
            points.push((at, view.count as f64));
        }
        points
    }

    /// Returns the attempts per second that a member ran, over seconds.
    pub fn attempt_rate(&self, member: u32) -> Vec<(f64, f64)> {
        let mut slices = vec![0.0; self.outcome.slices.len() + 1];
        for execution in self.execution_log.executions.iter().filter(|execution| execution.member == member) {
            let index = (secs(self, execution.at) * SLICES_PER_SECOND).floor();
            if index >= 0.0
                && let Some(slice) = slices.get_mut(index as usize)
            {
                *slice += SLICES_PER_SECOND;
            }
        }
        let point = |(index, rate): (usize, f64)| (index as f64 / SLICES_PER_SECOND, rate);
        slices.into_iter().enumerate().map(point).collect()
    }

    /// Returns the utility per second, over seconds.
    pub fn utility(&self) -> Vec<(f64, f64)> {
        self.outcome.slices.iter().map(|slice| (slice.at_s, slice.utility * SLICES_PER_SECOND)).collect()
    }

    /// Returns the rejections per second of a method, over seconds.
    pub fn rejection_rate(&self, method: usize) -> Vec<(f64, f64)> {
        let rate = |slice: &Slice| {
            slice.counts.get(method).map_or(0.0, |counts| counts.rejected as f64 * SLICES_PER_SECOND)
        };
        self.outcome.slices.iter().map(|slice| (slice.at_s, rate(slice))).collect()
    }

    /// Returns the results as text, with one fact per line.
    pub fn table(&self, drill: &Drill) -> String {
        let mut lines = vec![self.rpcs_line(), self.attempts_line()];
        if let Some(settled) = self.settled {
            lines.push(format!("the routers found each other within {:.2} s", settled.secs()));
        }
        for event in &self.event_log {
            lines.push(format!("{:6.2} s  {}", secs(self, event.at), event.name));
        }
        lines.extend((0..drill.routers).map(|router| self.router_line(drill, router)));
        lines.extend(self.datagram_hits.iter().map(|(name, hits)| format!("{name} acted {hits} times")));
        lines.extend(self.router_failures.iter().map(|text| format!("FALLEN {text}")));
        lines.push(format!("{} rules broken", self.violations.len()));
        let violations = self.violations.iter().take(MAX_VIOLATIONS_SHOWN);
        lines.extend(violations.map(|violation| format!("BROKEN {violation}")));
        lines.join("\n")
    }

    fn rpcs_line(&self) -> String {
        let total = self.outcome.total();
        let lost = self.outcome.journal.iter().filter(|entry| entry.lost.is_some()).count();
        format!(
            "RPCs {}, ok {}, pushed back {}, aborted {}, late {}, unanswered {}, unsent {}; connections ended under {lost}",
            total.due, total.ok, total.rejected, total.aborted, total.late, total.unanswered, total.unsent
        )
    }

    fn attempts_line(&self) -> String {
        let AttemptCounts { first, retries } = self.attempts(f64::MIN, f64::MAX);
        let retry_ratio = retries as f64 / first.max(1) as f64;
        format!(
            "call-outs that came {}, further ones {retries} ({retry_ratio:.3} of first ones); that ran {}",
            first + retries,
            self.execution_log.executions.len()
        )
    }

    fn router_line(&self, drill: &Drill, router: usize) -> String {
        let last = self.views.get(router).and_then(|views| views.last());
        let view = last.map_or("none".to_owned(), |view| format!("{:08x} of {}", view.digest, view.count));
        let sent = self.sent.get(router).map_or(0, |sent| sent.after.datagrams - sent.before.datagrams);
        format!(
            "r{router}: {}, view {view}, {} views in all, {:.1} datagrams a second, CPU {:.2} s",
            if self.alive[router] { "runs" } else { "ended" },
            self.views.get(router).map_or(0, Vec::len),
            sent as f64 / drill.secs().max(1e-9),
            self.cpu_seconds[router],
        )
    }

    /// Counts the attempts that arrived at members in `from..to`, in seconds from the start of the load.
    pub fn attempts(&self, from: f64, to: f64) -> AttemptCounts {
        let mut previous: HashMap<&str, (u32, bool)> = HashMap::new();
        let mut counts = AttemptCounts::default();
        for arrival in &self.execution_log.arrivals {
            let before = previous.insert(&arrival.id, (arrival.member, arrival.rejected));
            // An attempt that expired in the member's queue has two records, one of its arrival and one of its
            // rejection.
            if before == Some((arrival.member, false)) && arrival.rejected {
                continue;
            }
            if (from..to).contains(&secs(self, arrival.at)) {
                *(if before.is_some() { &mut counts.retries } else { &mut counts.first }) += 1;
            }
        }
        counts
    }

    /// Writes `drill.jsonl` and the charts to a folder, which is created if it does not exist.
    ///
    /// # Errors
    /// If a file can't be written.
    pub fn write(&self, drill: &Drill, folder: &Path) -> io::Result<()> {
        std::fs::create_dir_all(folder)?;
        self.write_lines(&folder.join("drill.jsonl"))?;
        self.write_charts(drill, folder)
    }

    fn write_lines(&self, path: &Path) -> io::Result<()> {
        let mut file = io::BufWriter::new(std::fs::File::create(path)?);
        for slice in &self.outcome.slices {
            writeln!(file, "{}", serde_json::to_string(slice).map_err(io::Error::other)?)?;
        }
        for event in &self.event_log {
            writeln!(file, "{}", json!({"at_s": secs(self, event.at), "deed": event.name}))?;
        }
        for (router, views) in self.views.iter().enumerate() {
            for view in views {
                let digest = format!("{:08x}", view.digest);
                let at_s = secs(self, view.at);
                let line = json!({"at_s": at_s, "router": router, "view": digest, "count": view.count});
                writeln!(file, "{line}")?;
            }
        }
        for (at, member) in &self.execution_log.health_checks {
            writeln!(file, "{}", json!({"at_s": secs(self, *at), "probed": member}))?;
        }
        for entry in &self.outcome.journal {
            writeln!(file, "{}", self.rpc_line(entry))?;
        }
        for violation in &self.violations {
            writeln!(file, "{}", json!({"broken": violation.to_string()}))?;
        }
        file.flush()
    }

    /// Returns an entry of the journal as JSON.
    fn rpc_line(&self, entry: &RpcRecord) -> Value {
        let answered =
            entry.answered.map(|answered| (secs(self, answered.at), answered.answer.report_word()));
        json!({
            "sent_s": secs(self, entry.sent),
            "rpc": entry.number,
            "router": entry.router,
            "until_s": secs(self, entry.deadline),
            "lost_s": entry.lost.map(|at| secs(self, at)),
            "method": entry.method,
            "answered": answered,
        })
    }

    fn write_charts(&self, drill: &Drill, folder: &Path) -> io::Result<()> {
        let names: Vec<String> = (0..drill.routers).map(|router| format!("r{router}")).collect();
        let views: Vec<Line<'_>> = names
            .iter()
            .enumerate()
            .map(|(router, name)| Line::new(name, self.live_router_counts(router)))
            .collect();
        if views.iter().any(|line| !line.points.is_empty()) {
            let axes = ("seconds", "routers");
            charts::lines(&folder.join("views.svg"), "How many routers each counts on", axes, &views, false)?;
        }
        let per_second = ("seconds", "a second");
        let served: Vec<Line<'_>> = vec![Line::new("utility served", self.utility())];
        charts::lines(&folder.join("utility.svg"), "Utility", per_second, &served, false)?;
        let methods = drill.scenario.methods.iter().enumerate();
        let rejections: Vec<Line<'_>> =
            methods.map(|(index, method)| Line::new(&method.name, self.rejection_rate(index))).collect();
        charts::lines(&folder.join("pushed-back.svg"), "Pushed back", per_second, &rejections, false)?;
        let names: Vec<String> =
            (0..drill.scenario.member_count()).map(|member| format!("member {member}")).collect();
        let work: Vec<Line<'_>> =
            names.iter().zip(0..).map(|(name, member)| Line::new(name, self.attempt_rate(member))).collect();
        charts::lines(&folder.join("work.svg"), "Begun at members", per_second, &work, false)
    }
}
