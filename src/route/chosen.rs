//! Result of a routing decision.

use crate::control;
use crate::ids;
use crate::route;
use crate::session;

/// Selected version and endpoint of a model request, with the reason for the selection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Version that was selected.
    pub version: ids::VersionName,
    /// Selected endpoint, as a key into the endpoints of the snapshot.
    pub endpoint: control::EndpointKey,
    /// Rule by which the version was selected.
    pub reason: route::Reason,
    /// Why the session left its version; `None` if it kept it or there is no session.
    pub moved: Option<session::MoveReason>,
}
