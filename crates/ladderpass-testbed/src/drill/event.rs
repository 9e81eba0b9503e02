//! A fault event of a drill: what is done to routers, members or the links between them, and when.

use ladderpass_fault_injection::{DatagramRule, Rule};
use ladderpass_routing::Time;
use serde::Deserialize;

/// A fault event: one thing that is done at a time.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FaultEvent {
    /// Seconds from the start of the load.
    pub at: f64,
    /// How long it lasts, in seconds, if it ends by itself: `freeze`, `split`, `cut`, `mute`, `hog`, `datagrams`.
    #[serde(rename = "for")]
    pub lasts: f64,
    /// Routers that get SIGKILL.
    pub kill: Vec<String>,
    /// Routers that get SIGSTOP, and SIGCONT at its end.
    pub freeze: Vec<String>,
    /// Routers that get SIGTERM.
    pub term: Vec<String>,
    /// Routers that get SIGHUP.
    pub hup: Vec<String>,
    /// Routers that are restarted at their old addresses.
    pub start: Vec<String>,
    /// Offset of the wall clock of routers that are restarted, in milliseconds.
    pub clock_ms: i32,
    /// How many threads burn CPU.
    pub hog: usize,
    /// Sides between which nothing passes: routers, `member-N`, `discovery`. Those on no side reach all.
    pub split: Vec<Vec<String>>,
    /// Pairs between which nothing passes: two routers, a router and a member or discovery, `front` and a router.
    pub cut: Vec<(String, String)>,
    /// Routers whose datagrams are lost.
    pub mute: Vec<String>,
    /// A rule on datagrams among routers.
    pub datagrams: Option<DatagramRule>,
    /// A rule of the fault tool on the routers' links: `r0>member-1`, `r0>discovery`.
    pub rule: Option<Rule>,
    /// The member that all routers are notified drains.
    pub drain: Option<u32>,
    /// The member that ends.
    pub ends: Option<u32>,
    /// The member that starts again.
    pub begins: Option<u32>,
    /// A router, and a line that discovery sends it as it is.
    pub line: Option<(String, String)>,
}

impl FaultEvent {
    /// Its name in tables.
    pub fn name(&self) -> String {
        let mut parts = Vec::new();
        for (action, routers) in [
            ("kill", &self.kill),
            ("freeze", &self.freeze),
            ("term", &self.term),
            ("hup", &self.hup),
            ("start", &self.start),
            ("mute", &self.mute),
        ] {
            if !routers.is_empty() {
                parts.push(format!("{action} {}", routers.join(" ")));
            }
        }
        if self.hog > 0 {
            parts.push(format!("hog {}", self.hog));
        }
        if !self.split.is_empty() {
            let sides: Vec<String> = self.split.iter().map(|side| side.join(" ")).collect();
            parts.push(format!("split {}", sides.join(" | ")));
        }
        for (one, other) in &self.cut {
            parts.push(format!("cut {one} {other}"));
        }
        parts.extend(self.datagrams.as_ref().map(|rule| format!("datagrams {}", rule.name)));
        parts.extend(self.rule.as_ref().map(|rule| format!("rule {}", rule.name)));
        parts.extend(self.drain.map(|member| format!("drain member-{member}")));
        parts.extend(self.ends.map(|member| format!("end member-{member}")));
        parts.extend(self.begins.map(|member| format!("start member-{member}")));
        parts.extend(self.line.as_ref().map(|(router, _)| format!("line to {router}")));
        parts.join(", ")
    }

    /// Can it have an end?
    pub(super) fn can_end(&self) -> bool {
        !self.freeze.is_empty()
            || !self.split.is_empty()
            || !self.cut.is_empty()
            || !self.mute.is_empty()
            || self.hog > 0
            || self.datagrams.is_some()
    }
}

/// The begin or the end of a fault event.
#[derive(Clone, Debug, PartialEq)]
pub struct LoggedEvent {
    /// When it was.
    pub at: Time,
    /// What it is called in tables.
    pub name: String,
}
