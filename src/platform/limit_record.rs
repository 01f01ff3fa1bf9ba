//! Records by which entries share the limits that endpoints name.

use hyper::body::Bytes;

use crate::direct;
use crate::platform::record;
use crate::units;

/// Prefix of the keys, before the id of the endpoint. The records are in the topic of the
/// rollout reports, which all entries follow already.
const KEY_PREFIX: &str = "limits/";

#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Value {
    rate: units::Rate,
    started: units::Millis,
}

/// Decodes a limit; `None` where the record is another one or invalid. A removed record means
/// that the endpoint names no limit.
#[must_use]
pub fn decode(key: &str, value: Option<&Bytes>) -> Option<direct::LimitReport> {
    let endpoint = key.strip_prefix(KEY_PREFIX)?.parse().ok()?;
    let limit = value
        .map(|value| serde_json::from_slice::<Value>(value))
        .transpose()
        .inspect_err(|err| log::warn!("store: ignoring invalid limit record {key}: {err}."))
        .ok()?;
    Some(direct::LimitReport {
        endpoint,
        limit: limit.map(|value| direct::NamedLimit {
            rate: value.rate,
            started: value.started,
        }),
    })
}

/// Encodes a limit; one that is over removes the record of the endpoint. Returns `None` where
/// the key would be too long for a record.
pub fn encode(report: &direct::LimitReport) -> serde_json::Result<Option<Bytes>> {
    let key = format!("{KEY_PREFIX}{}", report.endpoint);
    let value = match &report.limit {
        Some(limit) => serde_json::to_vec(&Value {
            rate: limit.rate,
            started: limit.started,
        })?,
        None => Vec::new(),
    };
    Ok(record::with_key(&key, &value))
}
