//! Proofs of finished subsystems: each prints one table, and falls short or holds as a whole.
//!
//! It owns what a proof asks. It must never loosen a figure to a seed, nor hold one that the run can measure.

pub mod capacity;
pub mod faults;
pub mod fleet_budgets;
pub mod fleet_overload;
pub mod fleet_ramp;
pub mod membership;
pub mod overload;

use crate::drill::Drill;
use crate::drill::play::{DrillRecord, Programs, play};
use ladderpass_emulator::Scenario;
use std::io;
use std::time::Instant;

/// The table of a proof: what was asked, what was measured.
pub struct Table {
    name: &'static str,
    rows: Vec<(String, String, String, Option<bool>)>,
    began: Instant,
}

impl Table {
    pub fn new(name: &'static str) -> Table {
        Table { name, rows: Vec::new(), began: Instant::now() }
    }

    /// A figure that must hold.
    pub fn ask(
        &mut self,
        what: impl Into<String>,
        wanted: impl Into<String>,
        got: impl Into<String>,
        holds: bool,
    ) {
        self.rows.push((what.into(), wanted.into(), got.into(), Some(holds)));
    }

    /// A figure that is told beside them.
    pub fn tell(&mut self, what: impl Into<String>, got: impl Into<String>) {
        self.rows.push((what.into(), String::new(), got.into(), None));
    }

    /// Prints it; whether all of it holds.
    pub fn print(&self) -> bool {
        let width = self.rows.iter().map(|row| row.0.chars().count()).max().unwrap_or(0);
        println!("{}, in {:.0} s", self.name, self.began.elapsed().as_secs_f64());
        for (what, wanted, got, holds) in &self.rows {
            let mark = match holds {
                Some(true) => "holds",
                Some(false) => "SHORT",
                None => "",
            };
            let pad = " ".repeat(width - what.chars().count());
            println!("  {what}{pad}  {wanted:<24}  {got:<44}  {mark}");
        }
        let short = self.rows.iter().filter(|row| row.3 == Some(false)).count();
        println!(
            "  {}",
            if short == 0 { "all of it holds".to_owned() } else { format!("{short} fall short") }
        );
        short == 0
    }
}

fn named(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

/// That no rule was broken, by the clients' journal and the members' truth.
fn kept(table: &mut Table, what: &str, played: &DrillRecord) {
    let told: Vec<String> = played
        .violations
        .iter()
        .map(ToString::to_string)
        .chain(played.router_failures.iter().cloned())
        .collect();
    let total = played.outcome.total();
    let silent = total.late + total.unanswered;
    let lost = played.outcome.journal.iter().filter(|entry| entry.lost.is_some()).count();
    let text = match told.first() {
        None => format!("none in {} RPCs; {silent} unanswered, {lost} with a killed router", total.due),
        Some(first) => format!("{}: {}", told.len(), first.chars().take(120).collect::<String>()),
    };
    table.ask(format!("{what}: rules broken"), "none", text, told.is_empty());
}

/// Three members that work on two RPCs at a time, 20 ms each on average: 300 a second fit. With the shares of reads and writes.
fn hard_pressed(shares: [f64; 2]) -> Scenario {
    let mut scenario = Scenario { cores: 2, ..Scenario::default() };
    for (method, share) in scenario.methods.iter_mut().zip(shares) {
        (method.work_ms, method.share, method.value_bytes) = (20.0, share, 16);
    }
    scenario
}

/// Played side by side, so that what else the machine does hits all alike.
fn plays<const N: usize>(
    drills: [&Drill; N],
    programs: Programs<'_>,
    seed: u64,
) -> io::Result<[DrillRecord; N]> {
    let played: Vec<DrillRecord> = std::thread::scope(|scope| {
        let lanes = drills.map(|drill| scope.spawn(move || play(drill, programs, seed)));
        lanes.into_iter().map(lane).collect::<io::Result<_>>()
    })?;
    played.try_into().map_err(|_| io::Error::other("as many were played"))
}

/// What a lane gave; one that failed by itself is a fault like any other.
fn lane<T>(handle: std::thread::ScopedJoinHandle<'_, io::Result<T>>) -> io::Result<T> {
    handle.join().unwrap_or_else(|_| Err(io::Error::other("a lane of the proof failed")))
}

/// Datagrams and bytes that a router of a drill sent a second, on average.
fn datagrams_of(drill: &Drill, played: &DrillRecord) -> (f64, f64) {
    let per = |of: fn(&ladderpass_fault_injection::TrafficCounts) -> u64| {
        let sum: u64 = played.sent.iter().map(|sent| of(&sent.after) - of(&sent.before)).sum();
        sum as f64 / drill.routers as f64 / drill.secs()
    };
    (per(|sent| sent.datagrams), per(|sent| sent.bytes))
}
