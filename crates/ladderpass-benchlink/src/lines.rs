//! The shape of the wire's lines. Unknown fields are passed over.

use serde::Deserialize;
use serde_json::Value;
use std::borrow::Cow;

/// Every event line: each kind uses the fields that the wire gives it.
#[derive(Deserialize)]
pub struct Line<'a> {
    #[serde(borrow)]
    pub kind: Cow<'a, str>,
    #[serde(rename = "AtTime")]
    pub at: Option<i64>,
    #[serde(rename = "Who", borrow)]
    pub who: Option<Cow<'a, str>>,
    #[serde(rename = "Salt")]
    pub salt: Option<Value>,
    #[serde(rename = "Info")]
    pub info: Option<Info>,
    #[serde(rename = "Buffer")]
    pub buffer: Option<u32>,
    #[serde(rename = "Entries", borrow)]
    pub entries: Option<Vec<ListLine<'a>>>,
    #[serde(rename = "How", borrow)]
    pub how: Option<Cow<'a, str>>,
    #[serde(rename = "RequestId", borrow)]
    pub id: Option<Cow<'a, str>>,
    #[serde(rename = "Service", borrow)]
    pub method: Option<Cow<'a, str>>,
    #[serde(rename = "Resent", default)]
    pub resent: Option<bool>,
    #[serde(rename = "TokenMs")]
    pub last_write_ms: Option<f64>,
    #[serde(rename = "Due")]
    pub due: Option<i64>,
    #[serde(rename = "Key", borrow)]
    pub session: Option<Cow<'a, str>>,
    #[serde(rename = "Cluster")]
    pub group: Option<f64>,
    #[serde(rename = "Attempt")]
    pub callout: Option<u32>,
    #[serde(rename = "Node", borrow)]
    pub node: Option<Cow<'a, str>>,
    #[serde(rename = "StateCode", borrow)]
    pub code: Option<Cow<'a, str>>,
    #[serde(rename = "Elapsed")]
    pub took: Option<i64>,
    #[serde(rename = "Complete", default)]
    pub complete: Option<bool>,
    #[serde(rename = "Note")]
    pub note: Option<i64>,
    #[serde(rename = "Pressure")]
    pub report: Option<Vec<Option<f64>>>,
    #[serde(rename = "Handle")]
    pub handle: Option<i64>,
}

#[derive(Clone, Deserialize)]
pub struct ListLine<'a> {
    #[serde(rename = "Node", borrow)]
    pub node: Cow<'a, str>,
    #[serde(rename = "ClassOfHost", borrow, default)]
    pub kind: Cow<'a, str>,
    #[serde(rename = "IsPrimary", default)]
    pub primary: Option<f64>,
    #[serde(rename = "Shard")]
    pub group: f64,
    #[serde(rename = "StageState", borrow)]
    pub standing: Cow<'a, str>,
    #[serde(rename = "Born", default)]
    pub born: Option<i64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Info {
    pub allowed: Allowed,
    pub balancers: Option<u32>,
    pub contract: Contract,
    pub extra: Extra,
    pub registry_mode: Option<String>,
    #[serde(default)]
    pub report: ReportShape,
    pub services: Vec<Service>,
    pub tick: Option<i64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Allowed {
    pub attempts_cap: Option<u32>,
    pub max_retry_after: Option<i64>,
    pub probes: Option<bool>,
    pub retry_after: Option<bool>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Contract {
    pub cold_from: Option<f64>,
    pub must_ask_in: Option<i64>,
    pub overload_for: Option<i64>,
    pub soft_removal: Option<bool>,
    pub warm_within: Option<i64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Extra {
    pub checks: Option<String>,
    pub max_age: Option<Vec<Option<i64>>>,
    pub progress_told: Option<bool>,
    pub read_level: Vec<String>,
    pub role_in_list: Option<String>,
    pub tokens: Option<String>,
    pub wait: Option<i64>,
    pub zero: Option<i64>,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct ReportShape {
    #[serde(default)]
    pub columns: Option<Vec<String>>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Service {
    pub name: String,
    pub slo: i64,
    pub effect: String,
    pub dedup_scope: Option<String>,
    pub key_ttl: Option<i64>,
    pub late_worth: Option<f64>,
    pub worth: Option<f64>,
}
