//! Deliberately faulty routers, one switch each: what the checkers of the rules are tried on. No release has the feature.
//!
//! It owns the switches. It must never be on in a build without the feature `faulty`.

use ladderpass_admission as concert;
use ladderpass_membership as membership;
use ladderpass_retry_budget as budgets;
use ladderpass_routing::Span;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Faulty {
    #[default]
    Nowhere,
    /// Takes a write whose connection ended behind it for one that never ran.
    Resends,
    AnswersTwice,
    /// Goes on with an RPC for a second past its client's time.
    AnswersLate,
    /// Passes on a row whose column is not as long as it says.
    PassesOnTornRows,
    /// Takes every position that it is told for the present.
    IgnoresLag,
    /// Goes on sending to members that want nothing new, and to cold ones as to warm ones.
    IgnoresDrains,
    IgnoresWarmUp,
    /// Uses a connection again that may still hold an answer.
    ReusesUnquiet,
    /// Serves what there is where a length can't be.
    TrustsLengths,
    /// Ends at SIGTERM with what it holds.
    LosesAtStop,
    /// A fault of its idea of who is alive.
    Membership(membership::Faulty),
    /// One of its part in what all routers shed.
    Concert(concert::Faulty),
    /// One of its part in what all routers may spend.
    Budgets(budgets::Faulty),
}

impl Faulty {
    /// By its name in `LADDERPASS_FAULTY`.
    pub fn read(name: Option<String>) -> Result<Faulty, String> {
        match name.as_deref().filter(|_| cfg!(feature = "faulty")) {
            None => Ok(Faulty::Nowhere),
            Some("resends") => Ok(Faulty::Resends),
            Some("answers-twice") => Ok(Faulty::AnswersTwice),
            Some("answers-late") => Ok(Faulty::AnswersLate),
            Some("passes-on-torn-rows") => Ok(Faulty::PassesOnTornRows),
            Some("ignores-lag") => Ok(Faulty::IgnoresLag),
            Some("ignores-drains") => Ok(Faulty::IgnoresDrains),
            Some("ignores-warm-up") => Ok(Faulty::IgnoresWarmUp),
            Some("reuses-unquiet") => Ok(Faulty::ReusesUnquiet),
            Some("trusts-lengths") => Ok(Faulty::TrustsLengths),
            Some("loses-at-stop") => Ok(Faulty::LosesAtStop),
            Some("never-suspects") => Ok(Faulty::Membership(membership::Faulty::NeverSuspects)),
            Some("believes-the-first-rumour") => {
                Ok(Faulty::Membership(membership::Faulty::ConfirmsImmediately))
            }
            Some("forgets-incarnations") => Ok(Faulty::Membership(membership::Faulty::IgnoresIncarnations)),
            Some("keeps-the-deads-turns") => Ok(Faulty::Membership(membership::Faulty::CountsDeadRouters)),
            Some("ignores-the-floor") => Ok(Faulty::Concert(concert::Faulty::IgnoresThreshold)),
            Some("tells-tenfold") => Ok(Faulty::Concert(concert::Faulty::ReportsTenfold)),
            Some("keeps-the-deads-words") => Ok(Faulty::Concert(concert::Faulty::KeepsReportsOfDeadRouters)),
            Some("spends-without-asking") => Ok(Faulty::Budgets(budgets::Faulty::GrantsEveryRetry)),
            Some("never-gives-back") => Ok(Faulty::Budgets(budgets::Faulty::NeverRefunds)),
            Some(other) => Err(format!("LADDERPASS_FAULTY: {other:?} is no switch")),
        }
    }

    /// Never without the feature, which lets the compiler leave the fault out.
    pub fn is(self, other: Faulty) -> bool {
        cfg!(feature = "faulty") && self == other
    }
    pub fn of_budgets(self) -> budgets::Faulty {
        match self {
            Faulty::Budgets(faulty) if cfg!(feature = "faulty") => faulty,
            _ => budgets::Faulty::Nowhere,
        }
    }

    pub fn of_concert(self) -> concert::Faulty {
        match self {
            Faulty::Concert(faulty) if cfg!(feature = "faulty") => faulty,
            _ => concert::Faulty::Nowhere,
        }
    }

    pub fn of_membership(self) -> membership::Faulty {
        match self {
            Faulty::Membership(faulty) if cfg!(feature = "faulty") => faulty,
            _ => membership::Faulty::Nowhere,
        }
    }
}

/// How far the wall clock of a build for the lab is off, by `LADDERPASS_CLOCK_MS`: a machine whose clock was stepped.
pub fn clock(told: Option<String>) -> Result<Span, String> {
    let Some(text) = told.filter(|_| cfg!(feature = "faulty")) else { return Ok(Span::ZERO) };
    let ms = text.parse::<i32>().map_err(|_| format!("LADDERPASS_CLOCK_MS: {text:?} is no number"))?;
    Ok(Span::from_millis(i64::from(ms)))
}
