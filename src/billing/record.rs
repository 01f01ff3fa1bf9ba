//! The usage record; also the durable explanation of a request.

use std::sync::Arc;

use crate::attempt;
use crate::errors;
use crate::estimate;
use crate::ids;
use crate::route;
use crate::units;

/// Record of the `usage` stream. Readers keep the first record of a request
/// and drop later ones, so a record that is appended twice is billed once.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct UsageRecord {
    /// The request; identity of the record.
    pub request: ids::RequestId,
    /// The team that is billed.
    pub team: ids::TeamName,
    /// The profile, for a model request.
    pub profile: Option<ids::ProfileName>,
    /// The service, for a call of a plain service.
    pub service: Option<ids::ServiceName>,
    /// Class for the estimates.
    pub class: Option<estimate::RequestClass>,
    /// Tokens of all attempts.
    pub usage: attempt::Usage,
    /// Cost of all attempts.
    pub cost: units::MicroCost,
    /// How the request ended; `None` where it was answered.
    pub result: Option<errors::ResultCode>,
    /// Milliseconds since 1970 at which the request ended.
    pub ended_at: units::Millis,
    /// The process that wrote the record.
    pub written_by: ids::VmName,
    /// All attempts in order, with why each was made.
    pub attempts: Vec<AttemptRecord>,
}

/// One attempt at a request.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct AttemptRecord {
    /// Number of the attempt, from 1.
    pub number: u16,
    /// The VM of the endpoint.
    pub vm: ids::VmName,
    /// Its failure domain.
    pub domain: ids::DomainName,
    /// The version, for a model request.
    pub version: Option<ids::VersionName>,
    /// Why it was made.
    pub reason: route::Reason,
    /// Offset of the last configuration record that the decision knew.
    pub config: Option<ids::Offset>,
    /// How it ended; `None` where it gave the answer.
    pub result: Option<errors::ResultCode>,
    /// What the endpoint said, where it did not give the answer.
    pub message: Option<Arc<str>>,
}

/// The request of an encoded record; `None` where it is none.
#[must_use]
pub fn request_of(record: &serde_json::Value) -> Option<ids::RequestId> {
    record.get("request")?.as_str()?.parse().ok()
}
