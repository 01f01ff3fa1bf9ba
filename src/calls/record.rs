//! Records of the `calls` stream.

use crate::calls;
use crate::ids;

/// Record of the `calls` stream.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallRecord {
    /// Intent to execute a call.
    Claim(Claim),
    /// Outcome of an earlier claim.
    Outcome(Outcome),
}

/// Intent to execute a call on one endpoint. The call is dispatched only once the claim has
/// been read back as the winner of its generation.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Claim {
    /// Id of the call that is claimed.
    pub call: ids::CallId,
    /// Digest of method, path and body of the call.
    pub body: ids::Digest,
    /// Request that makes the claim; with the generation it identifies the claim.
    pub request: ids::RequestId,
    /// VM of the entry that makes the claim.
    pub entry: ids::VmName,
    /// VM of the endpoint that is to execute the call.
    pub vm: ids::VmName,
    /// Incarnation of the sidecar of that endpoint.
    pub incarnation: ids::Incarnation,
    /// Number of the attempt at the call, from 1.
    pub generation: ids::Generation,
}

/// Outcome of a claim.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Outcome {
    /// Id of the call that was claimed.
    pub call: ids::CallId,
    /// Generation of the claim that has ended.
    pub generation: ids::Generation,
    /// Request that made the claim. An entry whose claim lost must not end the winner's.
    pub request: ids::RequestId,
    /// Whether the call was executed.
    pub ran: Ran,
}

/// Whether a claimed call was executed.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// The call was executed and answered.
    Answered(calls::RecordedAnswer),
    /// The claim was refused or fenced before execution, and will never be executed.
    Never,
}
