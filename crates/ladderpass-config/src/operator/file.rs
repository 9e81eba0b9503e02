//! The structure of the operator's file. Only this module maps the keys of the file to the names in the code.
//!
//! Values that are checked later are wrapped in [`Spanned`], so that an error can name their line.

use serde::Deserialize;
use serde_saphyr::Spanned;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct OperatorFile {
    pub(super) log: Option<LogSection>,
    pub(super) overload: Option<OverloadSection>,
    pub(super) peers: Option<PeersSection>,
    pub(super) fleet: Option<FleetSection>,
    pub(super) members: Option<MembersSection>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct LogSection {
    pub(super) format: Option<Spanned<String>>,
    #[serde(rename = "figures")]
    pub(super) metrics_interval: Option<Spanned<String>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct PeersSection {
    pub(super) listen: Option<Spanned<String>>,
    pub(super) address: Option<Spanned<String>>,
    pub(super) listed: Option<Vec<Spanned<String>>>,
    pub(super) networks: Option<Vec<Spanned<String>>>,
    #[serde(rename = "me")]
    pub(super) legacy_index: Option<Spanned<u32>>,
    #[serde(rename = "all")]
    pub(super) legacy_list: Option<Vec<Spanned<String>>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct FleetSection {
    #[serde(rename = "sheds")]
    pub(super) shared_admission: Spanned<bool>,
    #[serde(rename = "budgets")]
    pub(super) shared_retry_budget: Option<Spanned<bool>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct MembersSection {
    pub(super) zone: Option<Spanned<String>>,
    #[serde(rename = "sizes")]
    pub(super) weights_are_concurrency: Option<bool>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct OverloadSection {
    pub(super) enabled: Option<bool>,
    pub(super) delay: Option<DelayBand>,
    pub(super) cpu: Option<ShareBand>,
    pub(super) memory: Option<ShareBand>,
    #[serde(rename = "rings")]
    pub(super) buffers: Option<ShareBand>,
    pub(super) descriptors: Option<ShareBand>,
    pub(super) rise: Option<Spanned<String>>,
    pub(super) fall: Option<Spanned<String>>,
    pub(super) calm_after: Option<Spanned<String>>,
    #[serde(rename = "look")]
    pub(super) sample_interval: Option<Spanned<String>>,
    #[serde(rename = "fair")]
    pub(super) fair_share_multiple: Option<Spanned<f64>>,
    #[serde(rename = "slow_reader")]
    pub(super) slow_reader_timeout: Option<Spanned<String>>,
    pub(super) slow_reader_bytes: Option<Spanned<String>>,
}

/// The range of a delay over which the overload pressure rises: there is none up to `from`, and four fifths of the full
/// pressure at `full`. Both durations are written with their units.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct DelayBand {
    pub(super) from: Option<Spanned<String>>,
    pub(super) full: Option<Spanned<String>>,
}

/// The range of a resource's use over which the overload pressure rises: there is none up to `from`, and full pressure
/// from `full` on. Both are shares of what is allowed of the resource.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ShareBand {
    pub(super) from: Option<Spanned<f64>>,
    pub(super) full: Option<Spanned<f64>>,
}
