//! Fault events of a drill: what is done to routers, members or the links between them, and when.

use ladderpass_fault_injection::{DatagramRule, Rule};
use ladderpass_routing::Time;
use serde::Deserialize;

/// A fault event: one action at one time.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FaultEvent {
    /// When the event begins, in seconds from the start of the load.
    pub at: f64,
    /// Duration in seconds, after which the event is undone. With a duration of 0 the event stays in force. Only
    /// `freeze`, `split`, `cut`, `mute`, `hog` and `datagrams` can have a duration.
    #[serde(rename = "for")]
    pub lasts: f64,
    /// Routers that are killed with SIGKILL.
    pub kill: Vec<String>,
    /// Routers that get SIGSTOP at the begin of the event and SIGCONT at its end.
    pub freeze: Vec<String>,
    /// Routers that get SIGTERM.
    pub term: Vec<String>,
    /// Routers that get SIGHUP.
    pub hup: Vec<String>,
    /// Routers that are restarted at their old addresses.
    pub start: Vec<String>,
    /// Offset of the wall clock of routers that are restarted, in milliseconds.
    pub clock_ms: i32,
    /// Number of threads that use CPU in a busy loop.
    pub hog: usize,
    /// Sides of a network split, between which nothing passes. A side lists routers, `member-N` and `discovery`.
    /// Places on no side still reach all others.
    pub split: Vec<Vec<String>>,
    /// Pairs of places between which nothing passes: two routers, a router and a member or discovery, or `front` (the
    /// clients) and a router.
    pub cut: Vec<(String, String)>,
    /// Routers whose outgoing datagrams are dropped.
    pub mute: Vec<String>,
    /// A rule of the fault tool on datagrams between routers.
    pub datagrams: Option<DatagramRule>,
    /// A rule of the fault tool on the routers' links, which are named like `r0>member-1` and `r0>discovery`.
    pub rule: Option<Rule>,
    /// A member that starts draining. Discovery notifies all routers.
    pub drain: Option<u32>,
    /// A member that crashes.
    pub ends: Option<u32>,
    /// A crashed member that is restarted.
    pub begins: Option<u32>,
    /// A router and a line that discovery sends it unchanged.
    pub line: Option<(String, String)>,
}

impl FaultEvent {
    /// Returns the event's name in tables: its action, with the routers, places or members concerned.
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

    /// Returns whether the event's action can be undone after a duration.
    pub(super) fn can_end(&self) -> bool {
        !self.freeze.is_empty()
            || !self.split.is_empty()
            || !self.cut.is_empty()
            || !self.mute.is_empty()
            || self.hog > 0
            || self.datagrams.is_some()
    }
}

/// The begin or the end of a fault event, as it was carried out.
#[derive(Clone, Debug, PartialEq)]
pub struct LoggedEvent {
    /// When the event began or ended.
    pub at: Time,
    /// Name of the event in tables.
    pub name: String,
}
