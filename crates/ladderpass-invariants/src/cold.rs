//! Rule 4: no cold member is pushed over. In any window of the settings' overload time a member gets no more RPCs, by the
//! sum of all routers, than it bears by its age, and 2 roots of that and 2 in which chance may come out.

use crate::{Checker, Event, MemberNo, Violation, What};
use ladderpass_routing::{Span, Time};
use std::collections::{HashMap, VecDeque};

#[derive(Default)]
pub struct Cold {
    members: HashMap<MemberNo, Kept>,
    /// The most that a window lay above what a member bore and the few, in roots of what it bore.
    roots: Option<f64>,
}

impl Cold {
    /// How near it came: `ROOTS` are allowed. Far below, where nothing came to a cold member.
    pub fn roots(&self) -> f64 {
        self.roots.unwrap_or(f64::NEG_INFINITY)
    }
}

struct Kept {
    started: Event,
    capacity: f64,
    cold_from: f64,
    warm_within: Span,
    overload_for: Span,
    /// Call-outs of the window, and whether it has been told of.
    window: VecDeque<Time>,
    told: Option<Time>,
}

/// Windows are looked at that end up to so long after a member is warm.
const AFTER: Span = Span::from_millis(500);
/// What is put down to chance: so many roots of what it bears, and so many.
const ROOTS: f64 = 2.0;
const FEW: f64 = 2.0;

impl Kept {
    /// What it has borne by an age, in seconds of its whole capacity. Before its start as at its start: the budget is one
    /// of a whole window, which a burst right after the start may spend.
    fn borne(&self, age: f64) -> f64 {
        let warm = self.warm_within.secs().max(1e-9);
        let climbed = age.clamp(0.0, warm);
        self.cold_from * age.min(warm)
            + (1.0 - self.cold_from) * climbed * climbed / (2.0 * warm)
            + (age - warm).max(0.0)
    }

    /// What it bears in the window that ends at a time.
    fn bears(&self, at: Time) -> f64 {
        let age = (at - self.started.at).secs();
        self.capacity * (self.borne(age) - self.borne(age - self.overload_for.secs()))
    }
}

impl Checker for Cold {
    fn see(&mut self, event: &Event, broken: &mut Vec<Violation>) {
        match event.what {
            What::Started { member, capacity, cold_from, warm_within, overload_for } => {
                let (window, told) = (VecDeque::new(), None);
                let kept =
                    Kept { started: *event, capacity, cold_from, warm_within, overload_for, window, told };
                self.members.insert(member, kept);
            }
            What::CalledOut { rpc, member } => {
                let Some(kept) = self.members.get_mut(&member) else { return };
                if event.at - kept.started.at > kept.warm_within + AFTER {
                    self.members.remove(&member);
                    return;
                }
                // The window that ends with this call-out holds the most of all that hold it and none later.
                kept.window.push_back(event.at);
                while kept.window.front().is_some_and(|&at| event.at - at >= kept.overload_for) {
                    kept.window.pop_front();
                }
                let bears = kept.bears(event.at);
                let most = bears + ROOTS * bears.sqrt() + FEW;
                let roots = (kept.window.len() as f64 - bears - FEW) / bears.sqrt().max(1e-9);
                self.roots = Some(self.roots.map_or(roots, |before| before.max(roots)));
                let fresh = kept.told.is_none_or(|told| event.at - told > kept.overload_for);
                if kept.window.len() as f64 > most && fresh {
                    kept.told = Some(event.at);
                    let (count, secs) = (kept.window.len(), kept.overload_for.secs());
                    let text = format!(
                        "cold member {member} gets {count} RPCs within {secs} s and bears {bears:.1}, {most:.1} by chance"
                    );
                    let proof = vec![kept.started, *event];
                    broken.push(Violation { rule: 4, rpc: Some(rpc), member: Some(member), text, proof });
                }
            }
            _ => {}
        }
    }

    fn kept(&self) -> usize {
        self.members.len() + self.members.values().map(|kept| kept.window.len()).sum::<usize>()
    }
}
