//! What the headers of requests and answers say.

use std::sync::Arc;

use crate::balance;
use crate::catalog;
use crate::ids;
use crate::units;

/// Which model a caller wants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WantedModel {
    /// The request names none.
    Unstated,
    /// The router chooses.
    Any,
    /// The one that the request names; it is passed on as it is.
    Named,
}

/// A part of a prompt that requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Fingerprint of the part.
    pub id: ids::Fingerprint,
    /// Its length.
    pub tokens: units::Tokens,
}

/// Size and parts of a prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Prompt {
    /// Tokens of the prompt.
    pub input: units::Tokens,
    /// The parts in order; the last belongs to this request or its session.
    pub parts: Vec<PromptPart>,
}

impl Prompt {
    /// The deepest part that other requests share.
    #[must_use]
    pub fn shared(&self) -> Option<PromptPart> {
        let (_, shared) = self.parts.split_last()?;
        shared.last().copied()
    }
}

/// What a caller's headers say.
#[derive(Clone, Debug)]
pub struct RequestFacts {
    /// Id of this attempt of the caller.
    pub id: Option<Arc<str>>,
    /// How long the caller waits.
    pub deadline: Option<units::Millis>,
    /// The caller's key.
    pub key: Option<catalog::ApiKey>,
    /// The session to which the request belongs.
    pub session: Option<ids::Fingerprint>,
    /// Which model is wanted.
    pub model: WantedModel,
    /// The prompt, where there is one.
    pub prompt: Option<Prompt>,
    /// Id of the last event that the caller has.
    pub last_event: Option<u64>,
}

/// What an endpoint's headers say of its answer.
#[derive(Clone, Debug)]
pub struct AnswerFacts {
    /// Id of the request that is answered.
    pub id: Option<Arc<str>>,
    /// Whether the endpoint has signed the answer.
    pub signed: bool,
    /// Whether the endpoint states that the request was not run.
    pub not_run: bool,
    /// The endpoint's load.
    pub load: Option<balance::ReportedLoad>,
    /// The model's own confidence, from 0 to 1.
    pub confidence: Option<f64>,
    /// Whether the body is encoded, which an endpoint's never is.
    pub encoded: bool,
}

/// What the router states to an endpoint.
#[derive(Clone, Debug)]
pub struct Forward {
    /// The endpoint that must run the request.
    pub endpoint: ids::EndpointId,
    /// Time in which the answer must be complete.
    pub time_left: units::Millis,
    /// The team that holds the caller's key.
    pub team: Option<ids::TeamName>,
    /// The chosen model; `None` leaves what the caller stated.
    pub model: Option<ids::ModelName>,
    /// Rank at a model engine; 0 goes first.
    pub urgency: Option<u8>,
    /// The event after which the answer goes on; `None` leaves what the caller stated.
    pub resume_after: Option<u64>,
}
