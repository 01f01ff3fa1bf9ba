//! Records by which entries share the limits that endpoints name.

use hyper::body::Bytes;

use crate::direct;
use crate::platform::record;
use crate::units;

/// Prefix of the keys, before the id of the endpoint. The records are in the topic of the
/// rollout reports, which all entries follow already.
pub(super) const KEY_PREFIX: &str = "limits/";

#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Value {
    rate: units::Rate,
    started: units::Millis,
}

/// Decodes the limit of `endpoint`; fails with the reason where it is invalid. A removed record
/// means that the endpoint names no limit.
pub fn decode(endpoint: &str, value: Option<&Bytes>) -> Result<direct::LimitReport, String> {
    let endpoint = endpoint.parse().map_err(|err| format!("{err}"))?;
    let limit = value
        .map(|value| serde_json::from_slice::<Value>(value))
        .transpose()
        .map_err(|err| err.to_string())?;
    Ok(direct::LimitReport {
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
