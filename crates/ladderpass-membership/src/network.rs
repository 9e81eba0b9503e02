//! Networks in CIDR form from which routers that are not listed may join.

use std::fmt::{self, Display, Formatter};
use std::net::IpAddr;

const IPV4_BITS: u8 = 32;
const IPV6_BITS: u8 = 128;

/// A network in CIDR form.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Network {
    /// An address in the network. Bits after the prefix are ignored.
    pub address: IpAddr,
    /// The number of leading bits that all addresses in the network have in common.
    pub prefix_bits: u8,
}

impl Network {
    /// Whether the network contains this address. An IPv4 network contains no IPv6 address, and an IPv6 network no IPv4
    /// address.
    pub fn contains(&self, ip: IpAddr) -> bool {
        let (address, address_bits) = left_aligned_bits(ip);
        let (network, network_bits) = left_aligned_bits(self.address);
        let prefix_bits = self.prefix_bits.min(address_bits);
        address_bits == network_bits
            && (prefix_bits == 0 || (address ^ network) >> (IPV6_BITS - prefix_bits) == 0)
    }
}

/// Formats the network as in `10.0.0.0/8`.
impl Display for Network {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.address, self.prefix_bits)
    }
}

/// Returns an address in the high bits of a number, and how many bits the address has.
fn left_aligned_bits(ip: IpAddr) -> (u128, u8) {
    match ip {
        IpAddr::V4(ip) => (u128::from(u32::from(ip)) << (IPV6_BITS - IPV4_BITS), IPV4_BITS),
        IpAddr::V6(ip) => (u128::from(ip), IPV6_BITS),
    }
}
