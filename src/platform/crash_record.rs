//! Records by which entries share the crashes of endpoints under a request.

use hyper::body::Bytes;

use crate::ids;
use crate::platform::record;
use crate::poison;

/// Prefix of the keys, before the request's fingerprint. The records are in the
/// topic of the rollout reports, which all entries follow already.
pub(super) const KEY_PREFIX: &str = "crashes/";

/// Decodes the report on the request with this fingerprint; fails with the reason where it is
/// invalid. A removed record clears the request: its report has no endpoints.
pub fn decode(fingerprint: &str, value: Option<&Bytes>) -> Result<poison::CrashReport, String> {
    let fingerprint = fingerprint.parse().map_err(|err| format!("{err}"))?;
    let endpoints = value.map_or_else(|| Ok(Vec::new()), |value| serde_json::from_slice(value));
    let endpoints: Vec<ids::EndpointId> = endpoints.map_err(|err| err.to_string())?;
    Ok(poison::CrashReport {
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
