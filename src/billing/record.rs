//! The usage record, which also explains how a request was routed.

use std::sync::Arc;

use crate::attempt;
use crate::errors;
use crate::estimate;
use crate::ids;
use crate::route;
use crate::units;

/// A record of the `usage` stream. Readers keep the first record of each request
/// and discard later ones, so that a record that is appended twice is billed once.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct UsageRecord {
    /// The request, which identifies the record.
    pub request: ids::RequestId,
    /// The team that is billed.
    pub team: ids::TeamName,
    /// The requested profile; `None` for a call to a plain service.
    pub profile: Option<ids::ProfileName>,
    /// The called service; `None` for a model request.
    pub service: Option<ids::ServiceName>,
    /// Request class that the estimates are kept by; `None` for a service call.
    pub class: Option<estimate::RequestClass>,
    /// Tokens that all attempts used together.
    pub usage: attempt::Usage,
    /// Cost of all attempts together.
    pub cost: units::MicroCost,
    /// Code with which the request ended; `None` if it was answered.
    pub result: Option<errors::ResultCode>,
    /// Time at which the request ended, in milliseconds since the Unix epoch.
    pub ended_at: units::Millis,
    /// VM of the process that wrote the record: the entry, or a sidecar for its copy.
    pub written_by: ids::VmName,
    /// All attempts in the order in which they were made.
    pub attempts: Vec<AttemptRecord>,
}

/// One attempt at a request, with the reason for the choice of its endpoint.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct AttemptRecord {
    /// Number of the attempt within the request, from 1.
    pub number: u16,
    /// VM of the endpoint that was chosen.
    pub vm: ids::VmName,
    /// Failure domain of the endpoint.
    pub domain: ids::DomainName,
    /// The model version; `None` for a service call.
    pub version: Option<ids::VersionName>,
    /// Reason for the choice of the endpoint or version.
    pub reason: route::Reason,
    /// Offset of the latest configuration record that the decision was based on.
    pub config: Option<ids::Offset>,
    /// Code with which the attempt ended; `None` if it produced the answer.
    pub result: Option<errors::ResultCode>,
    /// Message of the refusal or failure; `None` if it produced the answer.
    pub message: Option<Arc<str>>,
}

/// Returns the request id of an encoded usage record, or `None` if the value has none.
#[must_use]
pub fn request_of(record: &serde_json::Value) -> Option<ids::RequestId> {
    record.get("request")?.as_str()?.parse().ok()
}
