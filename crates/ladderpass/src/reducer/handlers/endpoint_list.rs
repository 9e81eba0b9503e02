//! Applies endpoint lists: reads their entries, gives members indexes and addresses, and passes the update to the
//! routing core, which decides how to use the members.

use crate::discovery::{Instance, Listing};
use crate::faulty::Faulty;
use crate::reducer::Reducer;
use crate::reducer::log_target;
use ladderpass_routing::{Endpoint, EndpointState, EndpointUpdate, MemberId, Time};
use std::fmt::{self, Display, Formatter};
use std::net::SocketAddr;

/// Why an endpoint list is rejected.
#[derive(Debug)]
pub(in crate::reducer) enum ListingError {
    OlderGeneration { offered: u64, current: u64 },
    InvalidAddress(String),
}

impl Display for ListingError {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match self {
            ListingError::OlderGeneration { offered, current } => {
                write!(formatter, "generation {offered} is older than generation {current}")
            }
            ListingError::InvalidAddress(address) => {
                write!(formatter, "hostPort {address:?} is not an address with a port")
            }
        }
    }
}

impl Reducer {
    /// Applies an endpoint list. `is_cached` means that the list was read from the configuration, and `is_previous`
    /// means that the list comes from the address that discovery had before it moved to its present address.
    pub(in crate::reducer) fn apply_listing(
        &mut self,
        now: Time,
        listing: &Listing,
        is_cached: bool,
        is_previous: bool,
    ) -> Result<(), ListingError> {
        let (offered, current) = (listing.generation, self.discovery.generation());
        if offered < current {
            return Err(ListingError::OlderGeneration { offered, current });
        }
        let mut entries = Vec::with_capacity(listing.instances.len());
        for instance in &listing.instances {
            if let Some(member) = self.update_member(now, instance)? {
                entries.push(self.endpoint_from(now, instance, member));
            }
        }
        self.discovery.set_generation(offered);
        tracing::info!(
            target: log_target::ENDPOINT_LIST,
            generation = offered,
            entries = entries.len(),
            complete = listing.reset,
            "endpoint list"
        );
        // A list from the previous address of discovery must not count as an answer of the new address, because the
        // routing core stops polling the new address once that address has answered.
        let update = match (is_cached || is_previous, listing.reset) {
            (true, false) if is_previous => EndpointUpdate::ChangesDuringMove(&entries),
            (true, _) => EndpointUpdate::Cached(&entries),
            (false, true) => EndpointUpdate::Complete(&entries),
            (false, false) => EndpointUpdate::Changes(&entries),
        };
        self.router.on_endpoint_update(now, update);
        self.withdraw_from_inactive_members(now);
        Ok(())
    }

    /// Sets the address of an entry's member, adding the member if it is new, and returns the member's index. Returns
    /// `None` if the entry removes a member that is not known.
    fn update_member(&mut self, now: Time, instance: &Instance) -> Result<Option<u32>, ListingError> {
        let address = instance.host_port.parse::<SocketAddr>();
        let known = self.members.names().get(&instance.instance_id);
        let is_removed = instance.state() == EndpointState::Removed;
        match (known, address) {
            (Some(index), Ok(address)) => {
                self.change_member_address(now, index as usize, address);
                self.members.set_retired(index as usize, false);
                Ok(Some(index))
            }
            // An entry that removes a member needs no valid address.
            (Some(index), Err(_)) if is_removed => Ok(Some(index)),
            (None, _) if is_removed => Ok(None),
            (None, Ok(address)) => Ok(Some(self.members.add(&instance.instance_id, address))),
            (_, Err(_)) => Err(ListingError::InvalidAddress(instance.host_port.clone())),
        }
    }

    fn endpoint_from(&mut self, now: Time, instance: &Instance, member: u32) -> Endpoint {
        let clock_difference = self.reference_clock.confirmed();
        let indexes = &mut self.endpoints;
        Endpoint {
            member: MemberId(member),
            group: indexes.intern_group(instance.cell),
            primary: instance.is_primary(),
            state: match instance.state() {
                EndpointState::Draining if self.faulty.is(Faulty::IgnoresDrains) => EndpointState::Active,
                state => state,
            },
            // The start time, given by the member's clock, is converted to this router's clock. It is limited to the
            // present, because no member starts in the future.
            started_at: instance
                .started_at()
                .map(|started_at| now.min(started_at - clock_difference))
                .filter(|_| !self.faulty.is(Faulty::IgnoresWarmUp)),
            machine_kind: indexes.intern_machine_kind(&instance.machine_type),
            concurrency: indexes.concurrency(instance.weight),
            zone: indexes.intern_zone(&instance.zone),
            id_hash: self.gossip_codec.id_hashes.insert(&instance.instance_id, member),
        }
    }
}
