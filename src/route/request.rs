//! What routing knows of a request.

use crate::control;
use crate::estimate;
use crate::ids;

/// A request as routing sees it.
#[derive(Clone, Debug)]
pub struct RouteRequest<'a> {
    /// Class for the estimates.
    pub class: estimate::RequestClass,
    /// Version and endpoint of the session.
    pub pin: Option<Pin>,
    /// Fingerprint of the prompt's beginning, for prefix caches.
    pub prefix: ids::Fingerprint,
    /// Endpoints that have refused or failed this request.
    pub excluded: &'a [control::EndpointKey],
    /// The failure domain of this entry.
    pub domain: &'a ids::DomainName,
    /// The region of this entry.
    pub region: &'a ids::RegionName,
}

/// What a session is tied to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pin {
    /// The version; kept as long as it is allowed.
    pub version: ids::VersionName,
    /// The endpoint that served last; a preference only.
    pub vm: Option<ids::VmName>,
}
