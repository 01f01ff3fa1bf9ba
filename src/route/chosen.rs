//! The result of a routing decision.

use crate::control;
use crate::ids;
use crate::route;
use crate::session;

/// Where a request goes, and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The version.
    pub version: ids::VersionName,
    /// The endpoint.
    pub endpoint: control::EndpointKey,
    /// Why this version.
    pub reason: route::Reason,
    /// Why the session's version was not kept, where it was not.
    pub moved: Option<session::Moved>,
}
