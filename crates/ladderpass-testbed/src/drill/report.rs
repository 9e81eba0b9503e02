//! What a drill came to: a table, JSON lines and charts by time.
//!
//! It owns how a drill's results look. It must never change one.

use super::Drill;
use super::play::Played;
use crate::charts::{self, Line};
use crate::load::Counts;
use ladderpass_invariants::Answer;
use ladderpass_routing::{Span, Time};
use std::collections::HashMap;
use std::io::{self, Write};
use std::path::Path;

/// Seconds of the load.
fn secs(played: &Played, at: Time) -> f64 {
    (at - played.outcome.began).secs()
}

impl Played {
    /// What became of the RPCs that were sent to these routers.
    pub fn of(&self, drill: &Drill, routers: &[usize]) -> Counts {
        let mut counts = Counts::default();
        let grace = Span::from_millis(i64::from(drill.grace_ms));
        for entry in self.outcome.journal.iter().filter(|entry| routers.contains(&entry.router)) {
            counts.due += 1;
            let soft = drill.scenario.methods.get(entry.method).map_or(0.0, |method| method.soft_deadline_ms);
            match entry.answered {
                Some((at, ..)) if at > entry.until + grace => counts.late += 1,
                Some((at, Answer::Ok, _)) => {
                    counts.ok += 1;
                    counts.good += u64::from(at <= entry.sent + Span::from_secs_f64(soft / 1e3));
                }
                Some((_, Answer::Rejected, _)) => counts.pushed_back += 1,
                Some((_, Answer::Failed, _)) => counts.aborted += 1,
                None => counts.unanswered += 1,
            }
        }
        counts
    }

    /// How many routers each counts on, by time: the steps of its view.
    pub fn counts(&self, router: usize) -> Vec<(f64, f64)> {
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

    /// Call-outs that a member began, by tenth of a second.
    pub fn work(&self, member: u32) -> Vec<(f64, f64)> {
        let mut slices = vec![0.0; self.outcome.slices.len() + 1];
        for ran in self.truth.executions.iter().filter(|ran| ran.member == member) {
            let nth = (secs(self, ran.at) * 10.0).floor();
            if nth >= 0.0
                && let Some(slice) = slices.get_mut(nth as usize)
            {
                *slice += 10.0;
            }
        }
        slices.into_iter().enumerate().map(|(nth, rate)| (nth as f64 / 10.0, rate)).collect()
    }

    pub fn utility(&self) -> Vec<(f64, f64)> {
        self.outcome.slices.iter().map(|slice| (slice.at_s, slice.utility * 10.0)).collect()
    }

    pub fn pushed_back(&self, method: usize) -> Vec<(f64, f64)> {
        let rate = |slice: &crate::load::Slice| {
            slice.counts.get(method).map_or(0.0, |counts| counts.pushed_back as f64 * 10.0)
        };
        self.outcome.slices.iter().map(|slice| (slice.at_s, rate(slice))).collect()
    }

    /// A line a thing, for people.
    pub fn table(&self, drill: &Drill) -> String {
        let total = self.outcome.total();
        let lost = self.outcome.journal.iter().filter(|entry| entry.lost.is_some()).count();
        let mut lines = vec![
            format!(
                "RPCs {}, ok {}, pushed back {}, aborted {}, late {}, unanswered {}, unsent {}; connections ended under {lost}",
                total.due,
                total.ok,
                total.pushed_back,
                total.aborted,
                total.late,
                total.unanswered,
                total.unsent
            ),
            {
                let (first, further) = self.callouts(f64::MIN, f64::MAX);
                let part = further as f64 / first.max(1) as f64;
                format!(
                    "call-outs that came {}, further ones {further} ({part:.3} of first ones); that ran {}",
                    first + further,
                    self.truth.executions.len()
                )
            },
        ];
        if let Some(settled) = self.settled {
            lines.push(format!("the routers found each other within {:.2} s", settled.secs()));
        }
        for (at, name) in &self.done {
            lines.push(format!("{:6.2} s  {name}", secs(self, *at)));
        }
        for router in 0..drill.routers {
            let last = self.views.get(router).and_then(|views| views.last());
            let view =
                last.map_or("none".to_owned(), |view| format!("{:08x} of {}", view.digest, view.count));
            let sent = self.sent.get(router).map_or(0, |(from, to)| to.datagrams - from.datagrams);
            lines.push(format!(
                "r{router}: {}, view {view}, {} views in all, {:.1} datagrams a second, CPU {:.2} s",
                if self.alive[router] { "runs" } else { "ended" },
                self.views.get(router).map_or(0, Vec::len),
                sent as f64 / drill.secs().max(1e-9),
                self.cpu[router],
            ));
        }
        lines.extend(self.datagram_hits.iter().map(|(name, hits)| format!("{name} acted {hits} times")));
        lines.extend(self.fallen.iter().map(|text| format!("FALLEN {text}")));
        lines.push(format!("{} rules broken", self.violations.len()));
        lines.extend(self.violations.iter().take(10).map(|violation| format!("BROKEN {violation}")));
        lines.join("\n")
    }

    /// Call-outs that came to members within seconds of the load, first ones and further ones of the same RPC, as the
    /// members saw them.
    pub fn callouts(&self, from: f64, to: f64) -> (usize, usize) {
        let mut seen: HashMap<&str, (u32, bool)> = HashMap::new();
        let (mut first, mut further) = (0, 0);
        for came in &self.truth.arrivals {
            let before = seen.insert(&came.id, (came.member, came.rejected));
            // One that waited there past its time is on the record twice: when it came, and when it was given up.
            if before == Some((came.member, false)) && came.rejected {
                continue;
            }
            if (from..to).contains(&secs(self, came.at)) {
                *(if before.is_some() { &mut further } else { &mut first }) += 1;
            }
        }
        (first, further)
    }

    /// JSON lines and charts to a folder.
    pub fn write(&self, drill: &Drill, out: &Path) -> io::Result<()> {
        std::fs::create_dir_all(out)?;
        let mut file = io::BufWriter::new(std::fs::File::create(out.join("drill.jsonl"))?);
        for slice in &self.outcome.slices {
            writeln!(file, "{}", serde_json::to_string(slice).map_err(io::Error::other)?)?;
        }
        for (at, name) in &self.done {
            writeln!(file, "{}", serde_json::json!({"at_s": secs(self, *at), "deed": name}))?;
        }
        for (router, views) in self.views.iter().enumerate() {
            for view in views {
                let line = serde_json::json!({"at_s": secs(self, view.at), "router": router,
                    "view": format!("{:08x}", view.digest), "count": view.count});
                writeln!(file, "{line}")?;
            }
        }
        for (at, member) in &self.truth.health_checks {
            writeln!(file, "{}", serde_json::json!({"at_s": secs(self, *at), "probed": member}))?;
        }
        for entry in &self.outcome.journal {
            let answered = entry.answered.map(|(at, answer, _)| (secs(self, at), answer.report_word()));
            let line = serde_json::json!({"sent_s": secs(self, entry.sent), "rpc": entry.number, "router": entry.router, "until_s": secs(self, entry.until), "lost_s": entry.lost.map(|at| secs(self, at)),
                "method": entry.method, "answered": answered});
            writeln!(file, "{line}")?;
        }
        for violation in &self.violations {
            writeln!(file, "{}", serde_json::json!({"broken": violation.to_string()}))?;
        }
        file.flush()?;
        let names: Vec<String> = (0..drill.routers).map(|nth| format!("r{nth}")).collect();
        let views: Vec<Line<'_>> =
            names.iter().enumerate().map(|(nth, name)| (name.as_str(), self.counts(nth))).collect();
        if views.iter().any(|(_, points)| !points.is_empty()) {
            charts::lines(
                &out.join("views.svg"),
                "How many routers each counts on",
                ("seconds", "routers"),
                &views,
                false,
            )?;
        }
        let served: Vec<Line<'_>> = vec![("utility served", self.utility())];
        charts::lines(&out.join("utility.svg"), "Utility", ("seconds", "a second"), &served, false)?;
        let methods: Vec<Line<'_>> = drill
            .scenario
            .methods
            .iter()
            .enumerate()
            .map(|(nth, method)| (method.name.as_str(), self.pushed_back(nth)))
            .collect();
        charts::lines(&out.join("pushed-back.svg"), "Pushed back", ("seconds", "a second"), &methods, false)?;
        let names: Vec<String> =
            (0..drill.scenario.member_count()).map(|member| format!("member {member}")).collect();
        let work: Vec<Line<'_>> =
            names.iter().zip(0..).map(|(name, member)| (name.as_str(), self.work(member))).collect();
        charts::lines(&out.join("work.svg"), "Begun at members", ("seconds", "a second"), &work, false)
    }
}
