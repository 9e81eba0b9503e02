//! Networks in CIDR form, from which routers may join that are not listed.

use std::fmt::{self, Display, Formatter};
use std::net::IpAddr;

const IPV4_BITS: u8 = 32;
const IPV6_BITS: u8 = 128;

/// A network in CIDR form.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Network {
    /// Any address in it.
    pub address: IpAddr,
    /// How many leading bits of the address all addresses in it share.
    pub prefix_bits: u8,
}

impl Network {
    /// Does it contain this address? An IPv4 network has no IPv6 address, nor the reverse.
    pub fn contains(&self, ip: IpAddr) -> bool {
        let (address, address_bits) = left_aligned_bits(ip);
        let (network, network_bits) = left_aligned_bits(self.address);
        let prefix_bits = self.prefix_bits.min(address_bits);
        address_bits == network_bits
            && (prefix_bits == 0 || (address ^ network) >> (IPV6_BITS - prefix_bits) == 0)
    }
}

/// As in `10.0.0.0/8`.
impl Display for Network {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.address, self.prefix_bits)
    }
}

/// An address as the high bits of a number, and how many bits it has.
fn left_aligned_bits(ip: IpAddr) -> (u128, u8) {
    match ip {
        IpAddr::V4(ip) => (u128::from(u32::from(ip)) << (IPV6_BITS - IPV4_BITS), IPV4_BITS),
        IpAddr::V6(ip) => (u128::from(ip), IPV6_BITS),
    }
}
