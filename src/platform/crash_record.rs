//! Records by which entries share the crashes of endpoints under a request.

use hyper::body::Bytes;

use crate::ids;
use crate::platform::record;
use crate::poison;

/// Prefix of the keys, before the request's fingerprint. The records are in the
/// topic of the rollout reports, which all entries follow already.
const KEY_PREFIX: &str = "crashes/";

/// Decodes a crash report; `None` where the record is another one or invalid.
/// A removed record clears the request: its report has no endpoints.
#[must_use]
pub fn decode(key: &str, value: Option<&Bytes>) -> Option<poison::CrashReport> {
    let fingerprint = key
        .strip_prefix(KEY_PREFIX)?
        .parse::<ids::Fingerprint>()
        .ok()?;
    let endpoints = value.map_or_else(|| Ok(Vec::new()), |value| serde_json::from_slice(value));
    let endpoints: Vec<ids::EndpointId> = endpoints
        .inspect_err(|err| log::warn!("store: ignoring invalid crash record {key}: {err}."))
        .ok()?;
    Some(poison::CrashReport {
        fingerprint,
        endpoints: endpoints.into_iter().collect(),
    })
}

/// Encodes a crash report; one without endpoints removes the record of the request.
/// Returns `None` where the key would be too long for a record.
pub fn encode(report: &poison::CrashReport) -> serde_json::Result<Option<Bytes>> {
    let key = format!("{KEY_PREFIX}{}", report.fingerprint);
    let value = if report.endpoints.is_empty() {
        Vec::new()
    } else {
        serde_json::to_vec(&report.endpoints)?
    };
    Ok(record::with_key(&key, &value))
}
