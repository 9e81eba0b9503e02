//! Values with a unit or a range in the operator's file: durations, shares, sizes, addresses and networks.
//!
//! A function whose name begins with `set_` leaves the field unchanged if the file does not have the key, or if the
//! value is not allowed.

use super::errors::{OperatorFileError, ValueProblem};
use ladderpass_membership::Network;
use ladderpass_routing::Span;
use serde_saphyr::Spanned;
use std::net::{IpAddr, SocketAddr};
use std::ops::RangeInclusive;

const IPV4_BITS: u8 = 32;
const IPV6_BITS: u8 = 128;
const ALLOWED_SLOW_READER_BYTES: RangeInclusive<u64> = 4 << 10..=1 << 30;

/// Sets a field to a duration, such as `250ms`. `allowed_ms` is the allowed range in milliseconds.
pub(super) fn set_duration(
    field: &mut Span,
    key: &str,
    value: Option<Spanned<String>>,
    allowed_ms: RangeInclusive<i64>,
) -> Result<(), OperatorFileError> {
    let Some(value) = value else { return Ok(()) };
    let (min_ms, max_ms) = allowed_ms.into_inner();
    let error = || {
        let problem = ValueProblem::Duration { value: value.value.clone(), min_ms, max_ms };
        OperatorFileError::at(&value, key, problem)
    };
    let duration = humantime::parse_duration(value.value.trim()).map_err(|_| error())?;
    let millis = duration.as_secs_f64() * 1e3;
    if millis < min_ms as f64 || millis > max_ms as f64 {
        return Err(error());
    }
    *field = Span::from_secs_f64(duration.as_secs_f64());
    Ok(())
}

/// Sets a field to a share of a resource. The share must be above 0 and at most `max`.
pub(super) fn set_share(
    field: &mut f64,
    key: &str,
    value: Option<Spanned<f64>>,
    max: f64,
) -> Result<(), OperatorFileError> {
    let Some(value) = value else { return Ok(()) };
    if !(value.value > 0.0 && value.value <= max) {
        return Err(OperatorFileError::at(&value, key, ValueProblem::Share { value: value.value, max }));
    }
    *field = value.value;
    Ok(())
}

/// Sets the maximum size of the unread answers of one client, such as `64 KiB`.
pub(super) fn set_slow_reader_bytes(
    field: &mut usize,
    value: Option<Spanned<String>>,
) -> Result<(), OperatorFileError> {
    let Some(value) = value else { return Ok(()) };
    let has_unit = value.value.ends_with('B');
    let size = value.value.parse::<bytesize::ByteSize>().ok().filter(|_| has_unit);
    let bytes = size.map(|size| size.as_u64()).filter(|bytes| ALLOWED_SLOW_READER_BYTES.contains(bytes));
    let Some(bytes) = bytes else {
        let problem = ValueProblem::SlowReaderBytes(value.value.clone());
        return Err(OperatorFileError::at(&value, "overload.slow_reader_bytes", problem));
    };
    *field = bytes as usize;
    Ok(())
}

/// Parses an address that other routers can send to. It must have a port, and must not be the unspecified address.
pub(super) fn parse_address(text: &Spanned<String>, key: &str) -> Result<SocketAddr, OperatorFileError> {
    let address = text.value.parse::<SocketAddr>().ok();
    let usable = address.filter(|address| address.port() > 0 && !address.ip().is_unspecified());
    usable.ok_or_else(|| OperatorFileError::at(text, key, ValueProblem::Address(text.value.clone())))
}

/// Parses a network, such as `10.0.0.0/8`.
pub(super) fn parse_network(text: &Spanned<String>, key: &str) -> Result<Network, OperatorFileError> {
    let network = text.value.split_once('/').and_then(|(address, prefix_bits)| {
        let address = address.parse::<IpAddr>().ok()?;
        let prefix_bits = prefix_bits.parse::<u8>().ok()?;
        let max_bits = if address.is_ipv4() { IPV4_BITS } else { IPV6_BITS };
        (prefix_bits <= max_bits).then_some(Network { address, prefix_bits })
    });
    network.ok_or_else(|| OperatorFileError::at(text, key, ValueProblem::Network(text.value.clone())))
}
