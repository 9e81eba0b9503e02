//! The other routers: who is alive, what is said to them and heard from them.
//!
//! It owns these invariants: the core's idea of how many routers there are, and which of them this is, follows the
//! membership's; words on members go to those that are alive and come from those that may speak. It must never judge who
//! is alive, nor what a word is worth.

use super::*;
use ladderpass_admission::{AdmissionController, admission_draw};
use ladderpass_membership::router_hash;
use ladderpass_membership::{Change, FIRST_BYTE, LocalRouter as Me, Membership, Settings, View};
use ladderpass_retry_budget::{RetryBudget, RetryRates};
use ladderpass_routing::{MemberLoad, OverloadState};
use std::fmt::Write;

pub(super) struct Peers {
    membership: Membership,
    view: View,
    wake: Time,
    /// Until then those that are listed count as there: a router that has just started has not found them yet.
    settled_at: Time,
    listed: usize,
    out: Vec<(SocketAddr, Vec<u8>)>,
    /// By this router's index of a group: the number that all know it by.
    cells: Vec<u32>,
    /// None: each router sheds for itself.
    concert: Option<AdmissionController>,
    /// None: further call-outs cost nothing.
    budgets: Option<RetryBudget>,
    /// What this router has refused for all, and when the log told of it last.
    refused: u64,
    figures_at: Time,
    figures_every: Span,
}

const SETTLES: Span = Span::from_millis(2000);
/// Routers that one line of the log names.
const NAMED: usize = 6;
/// Ranks of the fleet go by utility alone: each RPC costs all the same.
const UNIT: f64 = 1e-4;
/// Bytes that go along with a datagram of the membership.
const LOAD: usize = 150;

impl Peers {
    pub(super) fn new(now: Time, launch: &Launch) -> Option<Peers> {
        let peers = launch.operator.peers.as_ref()?;
        if peers.legacy_form {
            tracing::warn!(
                "peers.me and peers.all are the form of before: write peers.listen and peers.listed"
            );
        }
        let own = Me { address: peers.address, started_unix_ms: now.nanos() / 1_000_000 };
        let settings = Settings { faulty: launch.faulty.membership(), ..Settings::default() };
        // Another chance than the core's, for routers with one seed: they must not draw the same order.
        let seed = launch.seed ^ now.nanos() as u64 ^ u64::from(peers.address.port()) << 48;
        let membership = Membership::start(now, seed, own, &peers.listed, &peers.networks, settings);
        Some(Peers {
            view: membership.view(),
            wake: now,
            settled_at: now + SETTLES,
            listed: peers.listed.iter().filter(|&&address| address != peers.address).count() + 1,
            concert: (launch.operator.shared_admission).then(|| {
                AdmissionController::start(now, router_hash(peers.address), launch.faulty.admission())
            }),
            budgets: (launch.operator.shared_retry_budget)
                .then(|| RetryBudget::start(now, launch.faulty.retry_budget())),
            cells: Vec::new(),
            refused: 0,
            figures_at: now,
            figures_every: launch.operator.log.metrics_interval,
            membership,
            out: Vec::new(),
        })
    }

    pub(super) fn wake(&self) -> Time {
        self.concert.as_ref().map_or(self.wake, |concert| concert.wake_at().min(self.wake))
    }

    /// What all refuse of its group, and its session's lot; told of as asked. Is it sure to be refused?
    pub(super) fn weigh(
        &mut self,
        now: Time,
        arrival: &mut Arrival,
        session: &str,
        rank: impl Fn(&Arrival, &OverloadState) -> u32,
    ) -> (bool, u32) {
        let Some((concert, group)) = self.shedding(arrival.group) else { return (false, 0) };
        let (floor, pressure) = concert.threshold(group);
        let strain = OverloadState {
            pressure,
            admission_threshold: floor,
            cost_secs: UNIT,
            exceeds_fair_share: false,
            queueing_delay: Span::ZERO,
        };
        let rank = rank(arrival, &strain);
        concert.record_offered(group, rank);
        let lot = admission_draw(session.as_bytes(), now);
        (arrival.fleet_overload, arrival.admission_draw) = (Some(strain), Some(lot));
        let refused = f64::from(rank) + lot < floor;
        self.refused += u64::from(refused);
        (refused, rank)
    }

    /// What all shed by, and the number that all know a group by.
    fn shedding(&mut self, group: u32) -> Option<(&mut AdmissionController, u32)> {
        Some((self.concert.as_mut()?, *self.cells.get(group as usize)?))
    }

    /// What further call-outs are paid from, likewise.
    fn spending(&mut self, group: u32) -> Option<(&mut RetryBudget, u32)> {
        Some((self.budgets.as_mut()?, *self.cells.get(group as usize)?))
    }

    /// The first call-out of an RPC goes.
    pub(super) fn first(&mut self, group: u32) {
        if let Some((budgets, group)) = self.spending(group) {
            budgets.record_first_attempt(group);
        }
    }

    /// Is a further call-out of an RPC of this rank paid for?
    pub(super) fn pays(&mut self, group: u32, rank: u32) -> bool {
        self.spending(group).is_none_or(|(budgets, group)| budgets.try_withdraw(group, rank))
    }

    /// One that was paid for was answered well.
    pub(super) fn helped(&mut self, group: u32) {
        if let Some((budgets, group)) = self.spending(group) {
            budgets.record_success(group);
        }
    }

    /// One that was paid for is not made.
    pub(super) fn gives_back(&mut self, group: u32) {
        if let Some((budgets, group)) = self.spending(group) {
            budgets.refund(group);
        }
    }

    pub(super) fn served(&mut self, group: u32) {
        if let Some((concert, group)) = self.shedding(group) {
            concert.record_served(group);
        }
    }

    pub(super) fn unsent(&mut self, group: u32) {
        if let Some((concert, group)) = self.shedding(group) {
            concert.record_unplaced(group);
        }
    }
}

impl Reducer {
    /// Routers that it takes for alive, itself among them, and a number for just these; None: it talks to nobody.
    pub fn fleet_view(&self) -> Option<(usize, u32)> {
        self.peers.as_ref().map(|peers| (peers.view.count, peers.view.digest))
    }

    /// What all routers reckon together, by group.
    pub fn admission_metrics(&self) -> Vec<ladderpass_admission::GroupMetrics> {
        self.peers
            .iter()
            .filter_map(|peers| peers.concert.as_ref())
            .flat_map(AdmissionController::metrics)
            .collect()
    }

    /// Datagrams for other routers; they are taken as they are sent.
    pub fn take_datagrams(&mut self) -> Vec<(SocketAddr, Vec<u8>)> {
        self.peers.as_mut().map_or(Vec::new(), |peers| std::mem::take(&mut peers.out))
    }

    /// A datagram: a word on routers by its first byte, else words on members as all programs exchange them.
    pub(super) fn whispered(&mut self, now: Time, from: SocketAddr, bytes: &[u8]) {
        let Some(peers) = self.peers.as_deref_mut() else { return };
        if bytes.first() == Some(&FIRST_BYTE) {
            peers.membership.on_datagram(now, from, bytes);
            let loads = peers.membership.take_piggybacked();
            if let Some(concert) = &mut peers.concert {
                loads.iter().for_each(|load| concert.on_reports(now, load));
            }
            return self.regard(now);
        }
        if !peers.membership.may_gossip(now, from) {
            return;
        }
        let Ok(text) = std::str::from_utf8(bytes) else { return };
        for news in self.circle.decode(text, now) {
            self.router.on_peer_update(now, news);
        }
    }

    /// Words of the core for all other routers.
    pub(super) fn whisper(&mut self, now: Time, news: &[ladderpass_routing::MemberUpdate]) {
        let texts = self.circle.encode(news, &self.names);
        let Some(peers) = self.peers.as_deref_mut() else { return };
        for to in peers.membership.gossip_targets(now) {
            peers.out.extend(texts.iter().map(|text| (to, text.clone().into_bytes())));
        }
        self.effects.push(Effect::SendDatagrams);
    }

    pub(super) fn tend_peers(&mut self, now: Time) {
        self.tend_concert(now);
        let Some(peers) = self.peers.as_deref_mut().filter(|peers| peers.wake <= now) else { return };
        peers.membership.tick(now);
        self.regard(now);
    }

    /// What all routers reckon together goes to the core, and this one's words to the others.
    fn tend_concert(&mut self, now: Time) {
        let Some(peers) = self.peers.as_deref_mut() else { return };
        let Some(concert) = peers.concert.as_mut().filter(|concert| concert.wake_at() <= now) else { return };
        if peers.cells.len() != self.groups.len() {
            peers.cells = vec![0; self.groups.len()];
            for (&cell, &index) in &self.groups {
                if let Some(number) = peers.cells.get_mut(index as usize) {
                    *number = (cell ^ cell >> 32) as u32;
                }
            }
        }
        let cells = &peers.cells;
        // By the number that all know a group by.
        let known = |group: u32| cells.get(group as usize).copied().unwrap_or_default();
        let seen = self.router.member_loads(now).map(|seen| MemberLoad { group: known(seen.group), ..seen });
        let seen: Vec<MemberLoad> = seen.collect();
        if let Some(facts) = concert.tick(now, &seen) {
            facts
                .in_flight
                .iter()
                .for_each(|&(member, limit)| self.router.set_concurrency_limit(member, limit));
        }
        if let Some(budgets) = &mut peers.budgets {
            let heard = |group| {
                concert
                    .peer_retry_rates(now, group)
                    .map(|(rates, weight)| (RetryRates::from_rates(rates), weight))
            };
            budgets.rebalance(now, concert.alive_peers(), heard);
            for &group in cells {
                concert.set_retry_rates(group, budgets.own_rates(group).rates());
            }
        }
        peers.membership.set_piggyback(concert.encode_reports(now, LOAD));
        if now - peers.figures_at < peers.figures_every {
            return;
        }
        peers.figures_at = now;
        for figures in concert.metrics() {
            tracing::info!(
                target: "ladderpass::fleet",
                "floor {:.2} in group {}: asked {:.0}, let in {:.0}, served {:.0}, unsent {:.0}; {} words, {} bounded, \
                 {} alive; room {:.1}, part {:.3}; refused {}",
                figures.threshold,
                figures.group,
                figures.offered,
                figures.admitted,
                figures.served,
                figures.unplaced,
                figures.reports,
                figures.clamped_reports,
                peers.view.count,
                figures.capacity,
                figures.quota,
                peers.refused
            );
        }
        self.tell_budgets();
    }

    fn tell_budgets(&self) {
        let figures = self.peers.iter().filter_map(|peers| peers.budgets.as_ref());
        for figures in figures.flat_map(RetryBudget::metrics) {
            tracing::info!(
                target: "ladderpass::fleet",
                "further call-outs in group {}: {:.3} of first ones may be paid; all: {:.0} first, {:.1} wanted, {:.1} paid, \
                 {:.1} helped; part {:.2}, saved {:.2}; refused {}",
                figures.group,
                figures.ratio,
                figures.fleet.first_attempts,
                figures.fleet.retries_wanted,
                figures.fleet.retries_granted,
                figures.fleet.retries_succeeded,
                figures.quota,
                figures.balance,
                figures.denied
            );
        }
    }

    pub(super) fn leave_peers(&mut self, now: Time) {
        if let Some(peers) = self.peers.as_deref_mut() {
            peers.membership.leave(now);
            self.regard(now);
        }
    }

    /// Takes up what the membership has come to.
    fn regard(&mut self, now: Time) {
        let Some(peers) = self.peers.as_deref_mut() else { return };
        peers.wake = peers.membership.wake_at();
        let out = peers.membership.take_outgoing();
        if !out.is_empty() {
            peers.out.extend(out);
            self.effects.push(Effect::SendDatagrams);
        }
        if peers.membership.take_address_conflict() {
            tracing::warn!("fleet: another life of this address was heard; its clock may have gone back");
        }
        let view = peers.membership.view();
        let settling = now < peers.settled_at;
        let count = if settling { view.count.max(peers.listed) } else { view.count };
        self.router.set_router_position(view.position as u32, count as u32);
        let changes = peers.membership.take_changes();
        if changes.is_empty() && view == peers.view {
            return;
        }
        for (who, change) in changes.iter().filter(|(_, change)| *change == Change::Suspected) {
            tracing::debug!("fleet: {who} {}", word(*change));
        }
        let moved = (view.position, view.count, view.digest)
            != (peers.view.position, peers.view.count, peers.view.digest);
        if let Some(concert) = &mut peers.concert {
            concert.set_alive(peers.membership.peers(now).map(|peer| router_hash(peer.address)));
        }
        let came_or_went = changes.iter().any(|(_, change)| *change != Change::Suspected);
        peers.view = view;
        if moved || came_or_went {
            tracing::info!(
                "fleet: view {:08x} of {}, this is {}{}",
                view.digest,
                view.count,
                view.position,
                names(&changes)
            );
        }
    }

    /// What the log's figures say of the others.
    pub(super) fn tell_peers(&self) {
        let Some(peers) = &self.peers else { return };
        let (view, counts) = (peers.view, peers.membership.counts());
        tracing::info!(
            "fleet: {} alive, {} suspected, {} gone, doubt {}; datagrams sent {} ({} bytes), heard {}, dropped {}",
            view.count,
            view.suspected,
            view.gone,
            peers.membership.local_health(),
            counts.sent,
            counts.bytes,
            counts.received,
            counts.dropped
        );
    }
}

fn word(change: Change) -> &'static str {
    match change {
        Change::Joined => "joined",
        Change::Suspected => "is suspected",
        Change::Refuted => "is back",
        Change::Died => "died",
        Change::Left => "left",
    }
}

/// Who came and went, as far as there is room for it.
fn names(changes: &[(SocketAddr, Change)]) -> String {
    let told = changes.iter().filter(|(_, change)| *change != Change::Suspected);
    let mut text = String::new();
    for (who, change) in told.clone().take(NAMED) {
        // Writing to a string can't fail.
        let _ = write!(text, "; {who} {}", word(*change));
    }
    let more = told.count().saturating_sub(NAMED);
    if more > 0 {
        let _ = write!(text, "; {more} more");
    }
    text
}
