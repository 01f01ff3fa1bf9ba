//! What routing knows of a request.

use crate::control;
use crate::estimate;
use crate::ids;
use crate::route;
use crate::units;

/// A request as routing sees it.
#[derive(Clone, Debug)]
pub struct RouteRequest<'a> {
    /// Class for the estimates.
    pub class: estimate::RequestClass,
    /// The version that the request is tied to.
    pub pin: Option<Pin>,
    /// Identity of team and content, for poison requests.
    pub fingerprint: ids::Fingerprint,
    /// Fingerprint of the prompt's beginning, for prefix caches.
    pub prefix: Option<ids::Fingerprint>,
    /// Time left for the whole answer.
    pub time_left: units::Millis,
    /// Endpoints that have refused or failed this request.
    pub excluded: &'a [control::EndpointKey],
    /// Attempts that may have run; a refused one has not.
    pub ran: usize,
    /// The failure domain of this entry.
    pub domain: &'a ids::DomainName,
    /// The region of this entry.
    pub region: &'a ids::RegionName,
}

/// What a request is tied to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pin {
    /// The version.
    pub version: ids::VersionName,
    /// The endpoint that served last; a preference only.
    pub vm: Option<ids::VmName>,
    /// [`route::Reason::Session`]: kept as long as the version is allowed.
    /// Other reasons: no other version will do.
    pub reason: route::Reason,
}
