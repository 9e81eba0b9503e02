//! The endpoint lists that the simulator has sent. Later events refer to an endpoint list by number.

use crate::events::ListLine;
use std::collections::HashMap;

/// The endpoint lists by their numbers on the wire.
pub type EndpointLists = HashMap<u32, Vec<ListLine<'static>>>;
