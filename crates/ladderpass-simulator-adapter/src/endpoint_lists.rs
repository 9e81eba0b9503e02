//! Endpoint lists that the simulator has sent, for events that name them by number.

use crate::events::ListLine;
use std::collections::HashMap;

/// Endpoint lists by their numbers on the wire.
pub type EndpointLists = HashMap<u32, Vec<ListLine<'static>>>;
