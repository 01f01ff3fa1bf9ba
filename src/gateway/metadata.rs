//! Metadata from the headers of requests and answers, independent of their encoding.

use std::sync::Arc;

use crate::balance;
use crate::catalog;
use crate::ids;
use crate::units;

/// Model that a caller requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestedModel {
    /// The request names no model.
    NotStated,
    /// The caller leaves the choice to the router.
    Any,
    /// The caller names a model, which is passed on unchanged.
    Named,
}

/// Metadata of a request, from the caller's headers.
#[derive(Clone, Debug)]
pub struct RequestMetadata {
    /// Id that the caller gave to this attempt; `None` if missing.
    pub id: Option<Arc<str>>,
    /// Time for which the caller waits, in milliseconds; `None` if not stated.
    pub deadline: Option<units::Millis>,
    /// API key of the caller; `None` if not stated.
    pub key: Option<catalog::ApiKey>,
    /// Fingerprint of the session id; `None` outside of a session.
    pub session: Option<ids::Fingerprint>,
    /// Model that the caller requests.
    pub model: RequestedModel,
    /// Length and parts of the prompt; `None` if not stated.
    pub prompt: Option<balance::Prompt>,
    /// Expected length of the answer in tokens; `None` if not stated.
    pub output: Option<units::Tokens>,
    /// Id of the last event that the caller has, to resume a stream; `None` for a new
    /// one.
    pub last_event: Option<u64>,
}

/// Metadata of an answer, from the endpoint's headers.
#[derive(Clone, Debug)]
pub struct AnswerMetadata {
    /// Id of the request that the answer belongs to; `None` if missing.
    pub id: Option<Arc<str>>,
    /// Whether the answer carries the endpoint's signature.
    pub signed: bool,
    /// Whether the endpoint states that it has not executed the request.
    pub not_run: bool,
    /// Whether the endpoint leaves or wants a pause; `None` if it states neither.
    pub wish: Option<balance::Wish>,
    /// Load that the endpoint reports; `None` if it reports none.
    pub load: Option<balance::ReportedLoad>,
    /// Requests per second that the endpoint takes from all entries together; `None` if it
    /// names no limit.
    pub limit: Option<units::Rate>,
    /// Confidence of the model in its answer, from 0 to 1; `None` if not stated.
    pub confidence: Option<f64>,
    /// Whether the body has a content encoding, which an endpoint's own answer never has.
    pub encoded: bool,
}

/// Metadata that the router adds to a request for an endpoint.
#[derive(Clone, Debug)]
pub struct ForwardMetadata {
    /// Endpoint that must execute the request; any other must refuse it.
    pub endpoint: ids::EndpointId,
    /// Time left until the answer must be complete, in milliseconds.
    pub time_left: units::Millis,
    /// Team that holds the caller's key; `None` on an anonymous route.
    pub team: Option<ids::TeamName>,
    /// Model that the router chose; `None` keeps what the caller stated.
    pub model: Option<ids::ModelName>,
    /// Rank in the queue of a model engine, where 0 is served first; `None` for a request
    /// without a prompt.
    pub urgency: Option<u8>,
    /// Id of the event after which the answer continues; `None` keeps what the caller
    /// stated.
    pub resume_after: Option<u64>,
}
