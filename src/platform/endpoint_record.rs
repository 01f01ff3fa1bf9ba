//! Records by which endpoints announce themselves in the store.

use std::net::SocketAddr;

use hyper::body::Bytes;

use crate::direct;
use crate::ids;
use crate::units;

/// Topic of the endpoints' records; the key of a record is the endpoint's id.
pub const TOPIC: &str = "keyed.servers";

#[derive(serde::Deserialize)]
#[serde(rename_all = "PascalCase")]
struct RecordBody {
    service: ids::ServiceName,
    address: SocketAddr,
    zone: ids::DomainName,
    /// Version of the software that the endpoint runs.
    version: ids::VersionName,
    slots: u32,
    state: State,
    /// Time until the endpoint is no longer cold.
    warmup_left_ms: f64,
    /// Increases with each report of one incarnation of the endpoint.
    sequence: u64,
    /// Start of this incarnation, in milliseconds since the Unix epoch.
    #[serde(rename = "born")]
    started_unix_ms: Option<u64>,
}

#[derive(Clone, Copy, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
enum State {
    Ready,
    Draining,
}

/// Decodes the record of an endpoint. Fails where the key is not an endpoint id,
/// the record has no slots, or fields are missing or of another type, as in
/// records of other writers.
pub fn decode(key: &str, value: &Bytes) -> Result<direct::EndpointRecord, String> {
    let id: ids::EndpointId = key.parse().map_err(|err| format!("{err}"))?;
    let mut json = serde_json::Deserializer::from_slice(value);
    let entry: RecordBody =
        serde_path_to_error::deserialize(&mut json).map_err(|err| err.to_string())?;
    if entry.slots == 0 {
        return Err("no slots".into());
    }
    Ok(direct::EndpointRecord {
        id,
        service: entry.service,
        addr: entry.address,
        domain: entry.zone,
        version: entry.version,
        slots: entry.slots,
        draining: matches!(entry.state, State::Draining),
        cold_left: units::Millis::from_millis_rounded(entry.warmup_left_ms),
        started: units::Millis(entry.started_unix_ms.unwrap_or(0)),
        sequence: entry.sequence,
    })
}
