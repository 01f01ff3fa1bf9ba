//! A request that runs at an endpoint, and what is suspected if that crashes.

use crate::ids;
use crate::poison;

/// What is to be suspected if an endpoint crashes: a request, or a part of its prompt.
#[derive(Clone, Debug)]
pub struct Suspect {
    /// Service that runs the request.
    pub service: ids::ServiceName,
    /// Fingerprint of the request.
    pub request: ids::Fingerprint,
    /// Fingerprints of the parts of its prompt that other requests may share.
    pub parts: Vec<ids::Fingerprint>,
    /// Visit that has sent it.
    pub visit: poison::VisitHandle,
}
