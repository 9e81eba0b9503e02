//! The section `peers`: the routers that exchange gossip. The section also has a legacy form: a fixed list of all
//! routers' addresses, and this router's index in the list.

use super::errors::{FoundErrors, OperatorFileError, ValueProblem, line};
use super::file::PeersSection;
use super::units::{parse_address, parse_network};
use ladderpass_membership::Network;
use serde_saphyr::Spanned;
use std::net::SocketAddr;

/// The maximum number of router addresses in a list of the section `peers`.
const MAX_ADDRESSES: usize = 1000;

/// The addresses between which routers exchange gossip by datagrams. The gossip tells which routers are alive, and what
/// they have observed of the members.
#[derive(Clone, Debug, PartialEq)]
pub struct Peers {
    /// The address at which this router receives datagrams.
    pub listen: SocketAddr,
    /// The address to which the other routers send datagrams for this router. This address may differ from `listen`, as
    /// behind address translation.
    pub address: SocketAddr,
    /// Addresses at which other routers may be found. The routers that are found there tell this router about routers
    /// that are not listed.
    pub listed: Vec<SocketAddr>,
    /// Networks from which routers may join whose addresses are not listed.
    pub networks: Vec<Network>,
    /// Whether the section `peers` has the legacy form: a fixed list of router addresses, and this router's index in
    /// the list.
    pub legacy_form: bool,
}

/// Reads the section `peers`. Returns `None` if the address at which this router receives datagrams is missing or can't
/// be read.
pub(super) fn read_peers(section: PeersSection, errors: &mut FoundErrors) -> Option<Peers> {
    if let (Some(index), Some(list)) = (&section.legacy_index, &section.legacy_list) {
        return read_legacy_peers(index, list, errors);
    }
    check_form(&section, errors);
    let listen = parse_optional_address(section.listen.as_ref(), "peers.listen", errors);
    let address = parse_optional_address(section.address.as_ref(), "peers.address", errors);
    let listed = section.listed.unwrap_or_default();
    let networks = section.networks.unwrap_or_default();
    if let Some(listen) = section.listen.as_ref().filter(|_| listed.is_empty() && networks.is_empty()) {
        let problem = ValueProblem::NoOtherRouters;
        errors.combinations.push(OperatorFileError::at(listen, "peers.listed", problem));
    }
    let parse_network = |text| errors.ok_or_push(parse_network(text, "peers.networks"));
    let networks = networks.iter().filter_map(parse_network).collect();
    let listed = parse_addresses(&listed, "peers.listed", errors);
    let listen = listen?;
    Some(Peers { listen, address: address.unwrap_or(listen), listed, networks, legacy_form: false })
}

/// Checks that the section `peers` has the address of this router, and not just one of the two keys of the legacy form.
fn check_form(section: &PeersSection, errors: &mut FoundErrors) {
    let first_of_list = section.legacy_list.iter().flatten().next();
    let legacy_line = section.legacy_index.as_ref().map(line).or(first_of_list.map(line));
    if let Some(line) = legacy_line {
        let problem = ValueProblem::IncompleteLegacyForm;
        errors.combinations.push(OperatorFileError::at_line(line, "peers", problem));
    } else if section.listen.is_none() {
        let first_value = section.address.as_ref().or(section.listed.iter().flatten().next());
        let line = first_value.map_or(0, line);
        let problem = ValueProblem::MissingAddress;
        errors.combinations.push(OperatorFileError::at_line(line, "peers.listen", problem));
    }
}

/// Reads the legacy form of the section `peers`: a list of router addresses that is the same at all routers and in the
/// same order, and this router's index in the list.
fn read_legacy_peers(
    index: &Spanned<u32>,
    list: &[Spanned<String>],
    errors: &mut FoundErrors,
) -> Option<Peers> {
    let listed = parse_addresses(list, "peers.all", errors);
    if list.len() < 2 {
        let problem = ValueProblem::LegacyListLength { count: list.len(), max: MAX_ADDRESSES };
        errors.combinations.push(OperatorFileError::at(index, "peers.all", problem));
    } else if index.value as usize >= list.len() {
        let problem = ValueProblem::LegacyIndex { index: index.value, last: list.len() - 1 };
        errors.combinations.push(OperatorFileError::at(index, "peers.me", problem));
    }
    let own = listed.get(index.value as usize).copied()?;
    Some(Peers { listen: own, address: own, listed, networks: Vec::new(), legacy_form: true })
}

/// Parses an address. Returns `None` if the file does not have the address, or if the address is not allowed. In the
/// second case, also adds an error to `errors`.
fn parse_optional_address(
    text: Option<&Spanned<String>>,
    key: &str,
    errors: &mut FoundErrors,
) -> Option<SocketAddr> {
    errors.ok_or_push(parse_address(text?, key))
}

/// Parses the addresses of a list, and returns the distinct ones, at most [`MAX_ADDRESSES`]. Adds an error to `errors`
/// for each address that is not allowed, for each address that the list repeats, and for a list that is too long.
fn parse_addresses(texts: &[Spanned<String>], key: &str, errors: &mut FoundErrors) -> Vec<SocketAddr> {
    let mut addresses = Vec::new();
    for text in texts {
        let Some(address) = errors.ok_or_push(parse_address(text, key)) else { continue };
        if addresses.contains(&address) {
            errors.values.push(OperatorFileError::at(text, key, ValueProblem::DuplicateAddress(address)));
        } else if addresses.len() == MAX_ADDRESSES {
            let problem = ValueProblem::TooManyAddresses { max: MAX_ADDRESSES };
            errors.values.push(OperatorFileError::at(text, key, problem));
            break;
        } else {
            addresses.push(address);
        }
    }
    addresses
}
