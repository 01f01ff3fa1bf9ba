//! Records by which entries share the results of a rollout.

use hyper::body::Bytes;

use crate::direct;
use crate::platform::record;

/// Topic of the results; no operator reads it.
pub const TOPIC: &str = "keyed.evidence";

/// Decodes the results of an entry. Fails if they are invalid, such as those of another
/// release of this program.
pub fn decode(value: &Bytes) -> Result<direct::SharedEvidence, postcard::Error> {
    postcard::from_bytes(value)
}

/// Encodes the results of an entry. Returns `None` where the key would be too long for a
/// record.
pub fn encode(evidence: &direct::SharedEvidence) -> Result<Option<Bytes>, postcard::Error> {
    let key = format!("{}/{}", evidence.service, evidence.vm);
    let value = postcard::to_stdvec(evidence)?;
    Ok(record::with_key(&key, &value))
}
