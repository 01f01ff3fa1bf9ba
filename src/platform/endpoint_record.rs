//! What endpoints say of themselves in the store.

use std::net::SocketAddr;

use hyper::body::Bytes;

use crate::direct;
use crate::ids;
use crate::units;

/// Topic of the endpoints' records; the key is the endpoint's id.
pub const TOPIC: &str = "keyed.servers";

#[derive(serde::Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Entry {
    service: ids::ServiceName,
    address: SocketAddr,
    zone: ids::DomainName,
    /// Version of the software that it runs.
    version: ids::VersionName,
    slots: u32,
    state: State,
    /// How much longer the endpoint is cold.
    warmup_left_ms: f64,
    /// Grows with each report of one run.
    sequence: u64,
    /// Unix millisecond of the start of this run.
    #[serde(rename = "born")]
    started_unix_ms: Option<u64>,
}

#[derive(Clone, Copy, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
enum State {
    Ready,
    Draining,
}

/// Decodes the record of an endpoint. A record of another writer, which may
/// lack fields or hold other types, is an error and names no endpoint.
pub fn decode(key: &str, value: &Bytes) -> Result<direct::EndpointRecord, String> {
    let id: ids::EndpointId = key.parse().map_err(|err| format!("{err}"))?;
    let mut json = serde_json::Deserializer::from_slice(value);
    let entry: Entry =
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
        cold_left: units::Millis::rounded(entry.warmup_left_ms),
        started: units::Millis(entry.started_unix_ms.unwrap_or(0)),
        sequence: entry.sequence,
    })
}
