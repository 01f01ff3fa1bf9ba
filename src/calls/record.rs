//! Records of the `calls` stream.

use crate::calls;
use crate::ids;

/// Content of a record of the `calls` stream.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallRecord {
    /// The intent to run a call.
    Claim(Claim),
    /// What became of it.
    Outcome(Outcome),
}

/// The intent to run a call on one endpoint; dispatched only once it has been
/// read back as the winner of its generation.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Claim {
    /// The call.
    pub call: ids::CallId,
    /// Digest of method, path and body.
    pub body: ids::Digest,
    /// The request that claims; with the generation it identifies the claim.
    pub request: ids::RequestId,
    /// The entry that claims.
    pub entry: ids::VmName,
    /// The VM of the endpoint.
    pub vm: ids::VmName,
    /// The run of the process beside it.
    pub incarnation: ids::Incarnation,
    /// Number of the attempt at the call, from 1.
    pub generation: ids::Generation,
}

/// What became of a claim.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Outcome {
    /// The call.
    pub call: ids::CallId,
    /// Generation of the claim.
    pub generation: ids::Generation,
    /// The request that claimed. An entry whose claim lost must not end the winner's.
    pub request: ids::RequestId,
    /// Whether it ran.
    pub ran: Ran,
}

/// Whether a claim ran.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// It was answered.
    Answered(calls::RecordedAnswer),
    /// It was refused or fenced before it ran, and never will.
    Never,
}
