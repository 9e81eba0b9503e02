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
    pub info: Option<Value>,
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
    #[serde(rename = "Payload", borrow)]
    pub payload: Option<Cow<'a, str>>,
    #[serde(rename = "Handle")]
    pub handle: Option<i64>,
}

#[derive(Clone, Deserialize)]
pub struct ListLine<'a> {
    #[serde(rename = "Node", borrow)]
    pub node: Cow<'a, str>,
    #[serde(rename = "ClassOfHost", borrow, default)]
    pub kind: Cow<'a, str>,
    #[serde(rename = "Site", borrow, default)]
    pub zone: Cow<'a, str>,
    #[serde(rename = "IsPrimary", default)]
    pub primary: Option<f64>,
    #[serde(rename = "Size", default)]
    pub size: Option<f64>,
    #[serde(rename = "Shard")]
    pub group: f64,
    #[serde(rename = "StageState", borrow)]
    pub standing: Cow<'a, str>,
    #[serde(rename = "Born", default)]
    pub born: Option<i64>,
}
