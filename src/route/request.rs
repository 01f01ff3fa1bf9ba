//! Request properties on which routing decides.

use crate::control;
use crate::estimate;
use crate::ids;
use crate::route;
use crate::units;

/// Model request or service call, as seen by the routing decision.
#[derive(Clone, Debug)]
pub struct RouteRequest<'a> {
    /// Class by which quality estimates are looked up.
    pub class: estimate::RequestClass,
    /// Version that the request is tied to; `None` if any allowed version will do.
    pub pin: Option<Pin>,
    /// Fingerprint of team and content, by which poison requests are recognised.
    pub fingerprint: ids::Fingerprint,
    /// Fingerprint of the beginning of the prompt, for affinity to prefix caches; `None`
    /// for no affinity.
    pub prefix: Option<ids::Fingerprint>,
    /// Time left until the complete answer is due.
    pub time_left: units::Millis,
    /// Endpoints that have refused or failed this request; none of them is selected again.
    pub excluded: &'a [control::EndpointKey],
    /// Number of attempts that may have been executed; refused attempts do not count.
    pub possible_executions: usize,
    /// Failure domain of this entry.
    pub domain: &'a ids::DomainName,
    /// Region of this entry, for the distance to endpoints.
    pub region: &'a ids::RegionName,
}

/// Version that a request is tied to, and the reason.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pin {
    /// Version on which the session or the interrupted answer runs.
    pub version: ids::VersionName,
    /// VM of the endpoint that served last; preferred while it has room, never required.
    pub vm: Option<ids::VmName>,
    /// [`route::Reason::Session`]: the version is kept as long as it is allowed. Any other
    /// reason: no other version is acceptable.
    pub reason: route::Reason,
}
