//! What is believed of each router, and which word outweighs which.
//!
//! It owns these invariants: a belief changes to a higher incarnation, or to a graver state of the same one, and never
//! back; a suspicion has an end; what is kept is bounded, and the dead go first. It must never ask or send anything.

pub use crate::message::State;
use crate::message::{Incarnation, StateUpdate};
use crate::settings::{Faulty, Settings};
use ladderpass_routing::{Span, Time};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// What is believed of another router.
#[derive(Clone, Debug)]
pub(crate) struct Belief {
    pub state: State,
    pub incarnation: Incarnation,
    /// Since when this router takes it for alive, or for gone.
    pub since: Time,
    /// When it last answered this router itself, to a question of this life.
    pub answered: Time,
    /// Who suspects it, and since when; kept while it is suspected.
    pub suspicion: Option<Suspicion>,
    /// A death that this router found while it heard nobody: it may as well be this one that was cut off.
    pub unsure: bool,
}

#[derive(Clone, Debug)]
pub(crate) struct Suspicion {
    pub since: Time,
    pub accusers: Vec<u16>,
    pub until: Time,
}

/// What a word has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    Joined,
    Suspected,
    /// It contradicted a suspicion, or is back.
    Refuted,
    Died,
    Left,
}

/// How sure it is that a router is there.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Confidence {
    /// It answered this router so long ago.
    Answered(Span),
    /// Others say so.
    Reported,
    /// Some router had no answer from it; so much time is left to contradict.
    Suspected(Span),
}

/// A router that is taken for alive.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Peer {
    pub address: SocketAddr,
    /// Its start, in milliseconds of its own clock: another number is another life.
    pub started_ms: u64,
    pub since: Time,
    pub confidence: Confidence,
}

pub(crate) struct Table {
    pub own: SocketAddr,
    pub routers: BTreeMap<SocketAddr, Belief>,
    pub settings: Settings,
    /// Of the living others: how many, and what they come to. None: to be counted anew.
    sum: Option<(usize, u32)>,
}

impl Table {
    pub fn new(own: SocketAddr, settings: Settings) -> Table {
        Table { own, routers: BTreeMap::new(), settings, sum: None }
    }

    /// Guards a message's cost against the size of the fleet: it is counted once a change, not once a message.
    fn sum(&mut self) -> (usize, u32) {
        let counted = |table: &Table| {
            let alive = table.alive().map(|(&who, belief)| hash(who, belief.incarnation.0));
            alive.fold((0, 0), |(count, sum), hash| (count + 1, sum ^ hash))
        };
        match self.sum {
            Some(sum) => sum,
            None => *self.sum.insert(counted(self)),
        }
    }

    pub fn alive(&self) -> impl Iterator<Item = (&SocketAddr, &Belief)> {
        self.routers.iter().filter(|(_, belief)| !belief.state.is_gone())
    }

    pub fn gone(&self) -> impl Iterator<Item = &SocketAddr> {
        self.routers.iter().filter(|(_, belief)| belief.state.is_gone()).map(|(who, _)| who)
    }

    pub fn is_alive(&self, who: SocketAddr) -> bool {
        self.routers.get(&who).is_some_and(|belief| !belief.state.is_gone())
    }

    /// Routers that are taken for alive, this one among them.
    pub fn count(&mut self) -> usize {
        self.sum().0 + 1
    }

    pub fn word(&self, who: SocketAddr) -> Option<StateUpdate> {
        let belief = self.routers.get(&who)?;
        let accuser = belief.suspicion.as_ref().and_then(|suspicion| suspicion.accusers.first());
        let (state, incarnation) = (belief.state, belief.incarnation);
        Some(StateUpdate {
            router: who,
            state,
            incarnation,
            suspected_by: accuser.copied().unwrap_or_default(),
        })
    }

    /// What the view comes to: the same for two routers that believe the same of the same ones.
    pub fn digest(&mut self, own: Incarnation) -> u32 {
        self.sum().1 ^ hash(self.own, own.0)
    }

    /// How long a suspicion lasts with so many who share it. It grows with the fleet, as what contradicts it needs time
    /// to get round, and shrinks with those who found the same by themselves: a router that is alone with what it finds
    /// is more often at fault itself.
    pub fn patience(&mut self, accusers: usize) -> Span {
        let (count, settings) = (self.count(), self.settings);
        let least = settings.min_suspicion * (count as f64).log10().max(1.0);
        let most = least * settings.max_suspicion_factor;
        // Fewer routers than these can't confirm it.
        let wanted = settings.confirmations.min(count.saturating_sub(2)).max(1);
        let others = accusers.saturating_sub(1).min(wanted);
        let part = ((others + 1) as f64).ln() / ((wanted + 1) as f64).ln();
        most - (most - least) * part
    }

    /// Takes a word for true where it outweighs what is believed. `Some` where that changes whom this router counts on.
    pub fn hear(&mut self, now: Time, word: &StateUpdate) -> Option<Change> {
        let faulty = self.settings.faulty;
        let Some(belief) = self.routers.get(&word.router) else { return self.meet(now, word) };
        let newer = word.incarnation > belief.incarnation;
        let graver = word.incarnation == belief.incarnation && word.state > belief.state;
        // What this router thought while it heard nobody counts for less than any word.
        let unsure = belief.unsure && word.incarnation == belief.incarnation && !word.state.is_gone();
        let confirms = word.state == State::Suspect
            && belief.state == State::Suspect
            && word.incarnation == belief.incarnation;
        if confirms {
            self.accuse(word.router, word.suspected_by);
            return None;
        }
        if !(newer || graver || unsure || faulty == Faulty::IgnoresIncarnations) {
            return None;
        }
        match word.state {
            State::Alive => self.clear(now, word),
            State::Suspect => self.suspect(now, word),
            // What answered this router a moment ago is heard before it is given up: the word may be of the other side
            // of a split, or of one that could not hear it.
            State::Dead if self.answers(now, word) => {
                let accuser = mark(word.router);
                self.suspect(now, &StateUpdate { state: State::Suspect, suspected_by: accuser, ..*word })
            }
            State::Dead | State::Left => self.bury(now, word.router, word.incarnation, word.state),
        }
    }

    fn answers(&self, now: Time, word: &StateUpdate) -> bool {
        let lately = self.settings.probe_interval * 4.0;
        let answers = |belief: &Belief| now - belief.answered < lately && !belief.state.is_gone();
        self.settings.faulty != Faulty::ConfirmsImmediately
            && self.routers.get(&word.router).is_some_and(answers)
    }

    fn meet(&mut self, now: Time, word: &StateUpdate) -> Option<Change> {
        if word.router == self.own || !self.make_room(word.state) {
            return None;
        }
        let belief = Belief {
            state: if word.state == State::Suspect { State::Alive } else { word.state },
            incarnation: word.incarnation,
            since: now,
            answered: Time::NEVER,
            suspicion: None,
            unsure: false,
        };
        self.routers.insert(word.router, belief);
        self.sum = None;
        match word.state {
            State::Alive => Some(Change::Joined),
            State::Suspect => {
                self.suspect(now, word);
                Some(Change::Joined)
            }
            // A grave is kept, so that a late word does not bring it back.
            State::Dead | State::Left => None,
        }
    }

    /// The longest gone make place; of the living none does.
    fn make_room(&mut self, state: State) -> bool {
        if self.routers.len() < self.settings.max_routers {
            return true;
        }
        let gone = self.routers.iter().filter(|(_, belief)| belief.state.is_gone());
        let oldest = gone.min_by_key(|(_, belief)| belief.since).map(|(&who, _)| who);
        match oldest {
            Some(oldest) if !state.is_gone() => self.routers.remove(&oldest).is_some(),
            _ => false,
        }
    }

    fn clear(&mut self, now: Time, word: &StateUpdate) -> Option<Change> {
        self.sum = None;
        let belief = self.routers.get_mut(&word.router)?;
        let was = belief.state;
        if was.is_gone() || belief.incarnation.started_ms() != word.incarnation.started_ms() {
            belief.since = now;
            belief.answered = Time::NEVER;
        }
        (belief.state, belief.incarnation) = (State::Alive, word.incarnation);
        (belief.suspicion, belief.unsure) = (None, false);
        (was != State::Alive).then_some(Change::Refuted)
    }

    pub fn suspect(&mut self, now: Time, word: &StateUpdate) -> Option<Change> {
        match self.settings.faulty {
            Faulty::NeverSuspects => return None,
            Faulty::ConfirmsImmediately => {
                return self.bury(now, word.router, word.incarnation, State::Dead);
            }
            _ => {}
        }
        self.sum = None;
        let belief = self.routers.get_mut(&word.router)?;
        let was_gone = belief.state.is_gone();
        if was_gone {
            belief.since = now;
        }
        (belief.state, belief.incarnation) = (State::Suspect, word.incarnation);
        belief.unsure = false;
        belief.suspicion = Some(Suspicion { since: now, accusers: Vec::new(), until: now });
        self.accuse(word.router, word.suspected_by);
        Some(if was_gone { Change::Refuted } else { Change::Suspected })
    }

    /// One more who found no answer.
    pub fn accuse(&mut self, who: SocketAddr, accuser: u16) {
        let most = self.settings.confirmations + 1;
        let suspicion = |belief: &Belief| belief.suspicion.clone();
        let Some(mut suspicion) = self.routers.get(&who).and_then(suspicion) else { return };
        if !suspicion.accusers.contains(&accuser) && suspicion.accusers.len() < most {
            suspicion.accusers.push(accuser);
        }
        suspicion.until = suspicion.since + self.patience(suspicion.accusers.len());
        if let Some(belief) = self.routers.get_mut(&who) {
            belief.suspicion = Some(suspicion);
        }
    }

    pub fn bury(
        &mut self,
        now: Time,
        who: SocketAddr,
        incarnation: Incarnation,
        state: State,
    ) -> Option<Change> {
        self.sum = None;
        let belief = self.routers.get_mut(&who)?;
        let was = belief.state;
        (belief.state, belief.incarnation, belief.suspicion) = (state, incarnation, None);
        belief.unsure = false;
        if was.is_gone() {
            return None;
        }
        belief.since = now;
        Some(if state == State::Left { Change::Left } else { Change::Died })
    }

    /// Suspicions whose time is over.
    pub fn expired(&self, now: Time) -> Vec<SocketAddr> {
        let over = |belief: &Belief| belief.suspicion.as_ref().is_some_and(|s| s.until <= now);
        self.routers.iter().filter(|(_, belief)| over(belief)).map(|(&who, _)| who).collect()
    }

    /// This router did not run for so long: what it has not heard meanwhile proves nothing.
    pub fn extend(&mut self, by: Span) {
        for suspicion in self.routers.values_mut().filter_map(|belief| belief.suspicion.as_mut()) {
            suspicion.since = suspicion.since + by;
            suspicion.until = suspicion.until + by;
        }
    }

    /// Those that are suspected have their time to contradict from now on.
    pub fn suspect_anew(&mut self, now: Time) {
        for suspicion in self.routers.values_mut().filter_map(|belief| belief.suspicion.as_mut()) {
            suspicion.until = now + (suspicion.until - suspicion.since);
            suspicion.since = now;
        }
    }

    /// Graves that have stood for long enough.
    pub fn forget(&mut self, now: Time) {
        let keep = self.settings.forget_dead_after;
        self.routers.retain(|_, belief| !belief.state.is_gone() || now - belief.since < keep);
    }

    pub fn peer(&self, now: Time, who: SocketAddr) -> Option<Peer> {
        let belief = self.routers.get(&who).filter(|belief| !belief.state.is_gone())?;
        let sure = match &belief.suspicion {
            Some(suspicion) => Confidence::Suspected((suspicion.until - now).max(Span::ZERO)),
            None if belief.answered != Time::NEVER => Confidence::Answered(now - belief.answered),
            None => Confidence::Reported,
        };
        Some(Peer {
            address: who,
            started_ms: belief.incarnation.started_ms(),
            since: belief.since,
            confidence: sure,
        })
    }
}

/// A number that stands for a router and another one; spread evenly (splitmix64).
pub(crate) fn hash(who: SocketAddr, number: u64) -> u32 {
    let ip = match who.ip() {
        std::net::IpAddr::V4(ip) => u128::from(u32::from(ip)),
        std::net::IpAddr::V6(ip) => u128::from(ip),
    };
    let parts = [(ip >> 64) as u64, ip as u64, u64::from(who.port()), number];
    let mixed = parts.into_iter().fold(0u64, |sum, part| {
        let mut z = (sum ^ part).wrapping_add(0x9e37_79b9_7f4a_7c15);
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    });
    (mixed >> 32) as u32
}

/// What stands for a router among those who suspect another.
pub(crate) fn mark(who: SocketAddr) -> u16 {
    hash(who, 0) as u16
}
