//! The list: the watch of discovery, its move to another address, and members as the list tells them.
//!
//! It owns these invariants: one watch, at most one call before it that may still be answered, and at most one watch of
//! another address that serves until it has answered; an index stands for one
//! member until the core has forgotten it and its last connection is over. It must never judge a member: the core does.

use super::*;

impl Reducer {
    /// Takes over what a running process can. A new address of discovery is asked at once, whatever pause the core
    /// had in mind.
    pub(super) fn told(&mut self, now: Time, launch: Launch) {
        for key in self.fixed.differing(&launch.fixed) {
            tracing::warn!("told anew: {key} has changed, which takes a restart");
        }
        tracing::info!("told anew: discovery is {}", launch.discovery);
        self.limits = launch.limits;
        self.govern(now, &launch.operator, launch.resource_limits);
        if launch.discovery == self.discovery {
            return;
        }
        self.discovery = launch.discovery;
        self.moved_watch = true;
        // The watch that has answered last goes on serving; one that is only asked for is of no use.
        let of_no_use = match self.watch.take() {
            Some(id) if self.has_answered(id) => self.old_watch.replace(id),
            asked_for => asked_for,
        };
        of_no_use.into_iter().chain(self.late_watch).for_each(|id| self.drop_conn(id));
        // By way of the core, so that a pause that it had in mind doesn't end in the middle of this call.
        self.router.on_endpoint_update(now, EndpointUpdate::Failed { silent: true });
    }

    pub(super) fn has_answered(&self, id: ConnectionId) -> bool {
        matches!(self.conns.get(&id).map(|conn| &conn.peer), Some(Peer::Discovery(reader)) if reader.has_read_listing())
    }

    fn is_within(&self, id: ConnectionId) -> bool {
        matches!(self.conns.get(&id).map(|conn| &conn.peer), Some(Peer::Discovery(reader)) if reader.is_within_object())
    }

    pub(super) fn ask_list(&mut self, now: Time) {
        if let Some(old) = self.watch {
            self.drop_conn(old);
        }
        let id = self.next_id();
        self.watch = Some(id);
        self.asked_at = now;
        self.open(id, Some(now + self.limits.watch_answer_timeout), Peer::Discovery(WatchReader::default()));
        self.effects.push(Effect::Connect(id, self.discovery));
    }

    pub(super) fn look_at_watch(&mut self, now: Time, id: ConnectionId) {
        // Guards against a list that begins and never ends: what goes on coming then is no news.
        let mut moved_on = !self.is_within(id);
        loop {
            let Some(conn) = self.conns.get_mut(&id) else { return };
            let Peer::Discovery(reader) = &mut conn.peer else { return };
            match reader.read_listing(&mut conn.input, self.limits.discovery_line_bytes) {
                // A late call keeps the time that it has left.
                Ok(None) if self.late_watch == Some(id) => return,
                // Guards against a call that is answered with a head, or the beginning of a list, and no more: it may
                // take as long as a watch may be silent, and goes on within the time of a first answer.
                Ok(None) if !self.has_answered(id) => {
                    let most = self.asked_at + self.limits.watch_silence_timeout;
                    return self.set_deadline(id, Some(most.min(now + self.limits.watch_answer_timeout)));
                }
                Ok(None) if moved_on || !self.is_within(id) => {
                    return self.set_deadline(id, Some(now + self.limits.watch_silence_timeout));
                }
                Ok(None) => return,
                Ok(Some(listing)) => {
                    moved_on = true;
                    if !self.is_first_to_answer(id) {
                        return self.drop_conn(id);
                    }
                    if self.watch == Some(id) {
                        self.silent_since = None;
                    }
                    let first = self.watch == Some(id) && std::mem::take(&mut self.moved_watch);
                    // Guards against a list that counts from lower at discovery's new address, which would be refused
                    // for ever: a whole one is taken as it is, mere changes are asked for again as a whole.
                    if first && listing.generation < self.generation {
                        self.generation = 0;
                        if !listing.reset {
                            return self.watch_over(now, id, "changes of another list", true);
                        }
                    }
                    let meanwhile = self.old_watch == Some(id);
                    if self.weigh_older(now, &listing) {
                        return self.watch_over(now, id, "an older list", true);
                    }
                    if let Err(fault) = self.listed(now, &listing, false, meanwhile) {
                        return self.watch_failed(now, id, &fault);
                    }
                    if let Some(old) = self.old_watch.filter(|_| first) {
                        self.drop_conn(old);
                    }
                }
                Err(error) => return self.watch_failed(now, id, &error.to_string()),
            }
        }
    }

    /// Guards against a crowded discovery, which takes long for each call, and puts the next at the end of its line: of two
    /// calls that which is answered first is the watch.
    fn is_first_to_answer(&mut self, id: ConnectionId) -> bool {
        let Some(late) = self.late_watch else { return true };
        if late != id {
            if self.watch == Some(id) {
                self.drop_conn(late);
            }
            return true;
        }
        let newer = self.watch.take();
        if newer.is_some_and(|newer| self.has_answered(newer)) {
            self.watch = newer;
            return false;
        }
        newer.into_iter().for_each(|newer| self.drop_conn(newer));
        (self.watch, self.late_watch) = (Some(id), None);
        true
    }

    /// Guards against a discovery that has started to count anew, whose lists would be refused for ever. No list
    /// is late for longer than the protocol lets news be: that long after the list here was told, an older one
    /// that is whole is taken as it is. Guards as well against a single one from long ago: true for the first in
    /// a row, which is refused, and the whole asked for at once.
    fn weigh_older(&mut self, now: Time, listing: &Listing) -> bool {
        let before = std::mem::replace(&mut self.older, listing.generation < self.generation);
        if !self.older {
            self.told_at = now;
        } else if before && listing.reset && now - self.told_at >= self.limits.notified_within {
            (self.generation, self.older, self.told_at) = (0, false, now);
        }
        self.older && !before
    }

    /// A watch that had answered has fallen silent, or a call that follows one has no answer: it is asked again at once,
    /// for as long as what is missed doesn't count as told yet.
    pub(super) fn watch_is_silent(&mut self, now: Time, id: ConnectionId) {
        if self.watch == Some(id) && self.has_answered(id) {
            self.silent_since = Some(now - self.limits.watch_silence_timeout);
        }
        let silent = self.silent_since.is_some_and(|since| now - since <= self.limits.notified_within);
        let late_until = self.asked_at + self.limits.late_watch_timeout;
        if self.watch == Some(id) && !self.has_answered(id) && now < late_until {
            tracing::warn!("the list: no answer yet");
            self.late_watch.into_iter().for_each(|late| self.drop_conn(late));
            self.late_watch = self.watch.take();
            self.set_deadline(id, Some(late_until));
            return self.router.on_endpoint_update(now, EndpointUpdate::Failed { silent });
        }
        self.watch_over(now, id, "silence", silent);
    }

    pub(super) fn watch_failed(&mut self, now: Time, id: ConnectionId, why: &str) {
        self.watch_over(now, id, why, false);
    }

    fn watch_over(&mut self, now: Time, id: ConnectionId, why: &str, silent: bool) {
        tracing::warn!("the list: {why}");
        let before = self.old_watch == Some(id) || self.late_watch == Some(id);
        self.drop_conn(id);
        // Its successor is being asked for already.
        if before {
            return;
        }
        self.router.on_endpoint_update(now, EndpointUpdate::Failed { silent });
    }

    pub(super) fn listed(
        &mut self,
        now: Time,
        listing: &Listing,
        remembered: bool,
        meanwhile: bool,
    ) -> Result<(), String> {
        if listing.generation < self.generation {
            return Err(format!("generation {} after {}", listing.generation, self.generation));
        }
        let mut entries = Vec::with_capacity(listing.instances.len());
        for instance in &listing.instances {
            let address = instance.host_port.parse::<SocketAddr>();
            let known = self.names.get(&instance.instance_id);
            let index = match (known, address) {
                (Some(index), Ok(address)) => {
                    self.moved(now, index as usize, address);
                    if let Some(member) = self.members.get_mut(index as usize) {
                        member.forgotten = false;
                    }
                    index
                }
                // One that goes needs no address, and one that is not known needs not go.
                (Some(index), Err(_)) if instance.state() == EndpointState::Removed => index,
                (None, _) if instance.state() == EndpointState::Removed => continue,
                (None, Ok(address)) => {
                    let index = self.names.intern(&instance.instance_id);
                    let (idle, coming) = (Vec::new(), VecDeque::new());
                    let member = Member { address, idle, coming, links: 0, forgotten: false };
                    match self.members.get_mut(index as usize) {
                        Some(old) => *old = member,
                        None => self.members.push(member),
                    }
                    index
                }
                (_, Err(_)) => return Err(format!("hostPort {:?} is no address", instance.host_port)),
            };
            entries.push(Endpoint {
                member: MemberId(index),
                group: group_index(&mut self.groups, instance.cell),
                primary: instance.is_primary(),
                state: match instance.state() {
                    EndpointState::Draining if self.faulty.is(Faulty::IgnoresDrains) => EndpointState::Active,
                    standing => standing,
                },
                // By the clock here; none starts in the future.
                started_at: instance
                    .started_at()
                    .map(|born| now.min(born - self.reference_clock.confirmed()))
                    .filter(|_| !self.faulty.is(Faulty::IgnoresWarmUp)),
                machine_kind: self.kinds.intern(&instance.machine_type),
                concurrency: instance.weight.filter(|&weight| self.sizes && weight > 0.0),
                zone: if self.zoned { self.zones.intern(&instance.zone) } else { 0 },
                id_hash: self.circle.id_hashes.insert(&instance.instance_id, index),
            });
        }
        self.generation = listing.generation;
        tracing::info!("list {}: {} entries, whole: {}", listing.generation, entries.len(), listing.reset);
        // Guards against what the old watch tells being taken for the answer of the new address, which then would never
        // be asked again.
        let news = match (remembered || meanwhile, listing.reset) {
            (true, false) if meanwhile => EndpointUpdate::ChangesDuringMove(&entries),
            (true, _) => EndpointUpdate::Cached(&entries),
            (false, true) => EndpointUpdate::Complete(&entries),
            (false, false) => EndpointUpdate::Changes(&entries),
        };
        self.router.on_endpoint_update(now, news);
        self.call_back(now);
        Ok(())
    }
}
