//! Checks of plans and rules. A rule that can never act is an error, so that nobody waits for its effect.

use super::{Action, Plan, Rule};
use crate::errors::{PlanError, PlanProblem};
use crate::protocol::MESSAGE_KINDS;

/// The longest delay or pause of an action, in milliseconds.
const MAX_DELAY_MS: f64 = 3_600_000.0;
/// The highest number of bytes that an action may change or add.
const MAX_RANDOM_BYTES: u32 = 65_536;

impl Plan {
    /// Checks the plan's links, datagram ends and rules.
    ///
    /// # Errors
    ///
    /// If the plan is invalid; the error names the first invalid key.
    pub fn check(&self) -> Result<(), PlanError> {
        for (index, link) in self.links.iter().enumerate() {
            for (key, address) in [("listen", link.listen), ("to", link.to)] {
                if !address.ip().is_loopback() {
                    let key = format!("links[{index}].{key}");
                    return Err(PlanError::invalid(key, PlanProblem::NotLoopback(address)));
                }
            }
            if self.links[..index].iter().any(|other| other.name == link.name) {
                let problem = PlanProblem::DuplicateName(link.name.clone());
                return Err(PlanError::invalid(format!("links[{index}].name"), problem));
            }
        }
        self.datagram_plan().check_under("datagrams")?;
        for (index, rule) in self.rules.iter().enumerate() {
            rule.check(self).map_err(|error| error.within(&format!("rules[{index}]")))?;
            if self.rules[..index].iter().any(|other| other.name == rule.name) {
                let problem = PlanProblem::DuplicateName(rule.name.clone());
                return Err(PlanError::invalid(format!("rules[{index}].name"), problem));
            }
        }
        Ok(())
    }
}

impl Rule {
    /// Checks that the rule is valid in this plan and can act.
    ///
    /// # Errors
    ///
    /// If the rule is invalid; the error names the first invalid key.
    pub fn check(&self, plan: &Plan) -> Result<(), PlanError> {
        self.check_names(plan)?;
        if self.when.connection == Some(0) || self.when.nth == Some(0) {
            return Err(PlanError::invalid("when", PlanProblem::CountedFromZero));
        }
        self.check_opening()?;
        self.action.check()
    }

    fn check_names(&self, plan: &Plan) -> Result<(), PlanError> {
        if let Some(link) = &self.link
            && !plan.links.iter().any(|other| other.name == *link)
        {
            return Err(PlanError::invalid("link", PlanProblem::UnknownLink(link.clone())));
        }
        if let Some(kind) = &self.when.message
            && !MESSAGE_KINDS.contains(&kind.as_str())
        {
            let problem = PlanProblem::UnknownName { name: kind.clone(), allowed: MESSAGE_KINDS.join(", ") };
            return Err(PlanError::invalid("when.message", problem));
        }
        if let Some(other) = &self.when.after_rule
            && (*other == self.name || !plan.rules.iter().any(|rule| rule.name == *other))
        {
            return Err(PlanError::invalid("when.seen", PlanProblem::UnknownRule(other.clone())));
        }
        Ok(())
    }

    fn check_opening(&self) -> Result<(), PlanError> {
        let action = self.action.name();
        match (self.when.opens, self.action.acts_at_opening()) {
            (true, false) => return Err(PlanError::invalid("do", PlanProblem::NotAtOpening(action))),
            (false, true) => return Err(PlanError::invalid("do", PlanProblem::OnlyAtOpening(action))),
            _ => {}
        }
        if self.when.opens
            && (self.when.message.is_some() || self.when.contains.is_some() || self.when.byte.is_some())
        {
            return Err(PlanError::invalid("when.opens", PlanProblem::NoBytesAtOpening));
        }
        Ok(())
    }
}

impl Action {
    fn check(&self) -> Result<(), PlanError> {
        let is_delay = |ms: f64| ms.is_finite() && (0.0..=MAX_DELAY_MS).contains(&ms);
        let out_of_range = |key: String, value: f64, allowed: &'static str| {
            Err(PlanError::invalid(key, PlanProblem::OutOfRange { value, allowed }))
        };
        match *self {
            Action::Delay { ms, .. } if !is_delay(ms) => {
                out_of_range("do.delay.ms".into(), ms, "0 to 3600000")
            }
            Action::Slice { gap_ms } if !is_delay(gap_ms) => {
                out_of_range("do.slice.gap_ms".into(), gap_ms, "0 to 3600000")
            }
            Action::Rate { bytes_per_s: 0 } => {
                Err(PlanError::invalid("do.rate.bytes_per_s", PlanProblem::ZeroRate))
            }
            Action::Noise { bytes } | Action::Garble { bytes } if bytes == 0 || bytes > MAX_RANDOM_BYTES => {
                out_of_range(format!("do.{}.bytes", self.name()), f64::from(bytes), "1 to 65536")
            }
            _ => Ok(()),
        }
    }
}
