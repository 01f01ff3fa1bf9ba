//! Crashes under a request, as entries tell each other.

use hyper::body::Bytes;

use crate::ids;
use crate::platform::record;
use crate::poison;

/// Start of the keys; the request's fingerprint follows. The records stand in
/// the topic of the reports of roll-outs, which all entries follow already.
const PREFIX: &str = "crashes/";

/// Decodes a record; `None` where it is something else. A removed one clears the request.
#[must_use]
pub fn decode(key: &str, value: Option<&Bytes>) -> Option<poison::CrashReport> {
    let fingerprint = key.strip_prefix(PREFIX)?.parse::<ids::Fingerprint>().ok()?;
    let endpoints = value.map_or_else(|| Ok(Vec::new()), |value| serde_json::from_slice(value));
    let endpoints: Vec<ids::EndpointId> = endpoints
        .inspect_err(|err| log::warn!("store: record {key} is not usable: {err}."))
        .ok()?;
    Some(poison::CrashReport {
        fingerprint,
        endpoints: endpoints.into_iter().collect(),
    })
}

/// The record of a request; without endpoints it removes what is on record.
pub fn encode(report: &poison::CrashReport) -> serde_json::Result<Option<Bytes>> {
    let key = format!("{PREFIX}{}", report.fingerprint);
    let value = if report.endpoints.is_empty() {
        Vec::new()
    } else {
        serde_json::to_vec(&report.endpoints)?
    };
    Ok(record::with_key(&key, &value))
}
