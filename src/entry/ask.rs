//! A caller's model request.

use std::sync::Arc;
use std::time::Instant;

use serde_json::Value;

use crate::attempt;
use crate::control;
use crate::errors;
use crate::estimate;
use crate::ids;
use crate::route;
use crate::session;
use crate::units;

/// Tokens that a request is counted with where it states no limit.
const DEFAULT_MAX_TOKENS: u64 = 512;
/// Bytes of the messages that count as the prompt's beginning.
const PREFIX_BYTES: usize = 1_024;

/// The JSON body of a chat completion.
#[derive(Clone, Debug)]
pub struct ChatRequest {
    /// The profile, from the field `model`.
    pub profile: ids::ProfileName,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Whether a streamed answer ends with its usage.
    pub include_usage: bool,
    /// Most tokens to generate.
    pub max_tokens: u64,
    /// The whole body, for the engine.
    pub body: Arc<str>,
    /// The messages, as text.
    pub messages: Arc<str>,
}

impl ChatRequest {
    /// Reads a body and checks the fields that the router uses.
    pub fn parse(body: &[u8]) -> Result<Self, errors::Refusal> {
        let malformed =
            |reason: String| errors::Refusal::new(errors::ResultCode::MalformedRequest, reason);
        let value: Value =
            serde_json::from_slice(body).map_err(|err| malformed(err.to_string()))?;
        let model = value
            .get("model")
            .and_then(Value::as_str)
            .ok_or_else(|| malformed("model: expected text".into()))?;
        let profile = model
            .parse()
            .map_err(|err| malformed(format!("model: {err}")))?;
        let messages = value
            .get("messages")
            .filter(|messages| messages.as_array().is_some_and(|list| !list.is_empty()))
            .ok_or_else(|| malformed("messages: expected a list of at least one message".into()))?;
        let flag = |value: Option<&Value>, name: &str| match value {
            None | Some(Value::Null) => Ok(false),
            Some(Value::Bool(flag)) => Ok(*flag),
            Some(_) => Err(malformed(format!("{name}: expected true or false"))),
        };
        let limit = value
            .get("max_completion_tokens")
            .or_else(|| value.get("max_tokens"));
        let max_tokens = match limit {
            None | Some(Value::Null) => DEFAULT_MAX_TOKENS,
            Some(limit) => limit
                .as_u64()
                .filter(|n| *n > 0)
                .ok_or_else(|| malformed("max_tokens: expected a number from 1".into()))?,
        };
        Ok(Self {
            profile,
            stream: flag(value.get("stream"), "stream")?,
            include_usage: flag(
                value.pointer("/stream_options/include_usage"),
                "stream_options.include_usage",
            )?,
            max_tokens,
            messages: messages.to_string().into(),
            body: value.to_string().into(),
        })
    }
}

/// A request that has been checked and may be run.
#[derive(Clone, Debug)]
pub struct Ask {
    /// Its id.
    pub id: ids::RequestId,
    /// The team.
    pub team: ids::TeamName,
    /// The profile.
    pub profile: Arc<control::ProfileView>,
    /// Class for the estimates.
    pub class: estimate::RequestClass,
    /// The content.
    pub chat: ChatRequest,
    /// Identity of team and content.
    pub fingerprint: ids::Fingerprint,
    /// Identity of the prompt's beginning.
    pub prefix: ids::Fingerprint,
    /// When the request was read.
    pub arrived: Instant,
    /// When the whole answer must be there.
    pub deadline: Instant,
    /// Order of service.
    pub priority: attempt::Priority,
    /// The version and endpoint of the session.
    pub pin: Option<route::Pin>,
    /// Why the session's version was not kept, where it was not.
    pub moved: Option<session::Moved>,
    /// The place within the team's limit.
    pub permit: Arc<route::TeamPermit>,
}

impl Ask {
    /// A request of `team` with the defaults of its profile.
    #[must_use]
    pub fn new(
        id: ids::RequestId,
        team: ids::TeamName,
        permit: Arc<route::TeamPermit>,
        profile: Arc<control::ProfileView>,
        chat: ChatRequest,
        task: Option<&str>,
    ) -> Self {
        let text = chat.messages.as_bytes();
        Self {
            id,
            class: estimate::RequestClass::of(task, text.len(), chat.max_tokens),
            fingerprint: ids::Fingerprint::of(&team, text),
            prefix: ids::Fingerprint::of(&team, &text[..text.len().min(PREFIX_BYTES)]),
            arrived: Instant::now(),
            deadline: Instant::now() + profile.profile.deadline_ms.duration(),
            priority: attempt::Priority::default(),
            pin: None,
            moved: None,
            permit,
            team,
            profile,
            chat,
        }
    }

    /// Ties the request to the session of a token.
    pub fn join(&mut self, token: session::Token) -> Result<(), errors::Refusal> {
        if token.team != self.team {
            return Err(errors::Refusal::new(
                errors::ResultCode::NotAllowed,
                "the session is one of another team",
            ));
        }
        if token.profile != self.profile.name {
            self.moved = Some(session::Moved::ProfileChanged);
            return Ok(());
        }
        self.pin = Some(route::Pin {
            version: token.version,
            vm: Some(token.vm),
            reason: route::Reason::Session,
        });
        Ok(())
    }

    /// Time left for the whole answer.
    #[must_use]
    pub fn time_left(&self) -> units::Millis {
        units::Millis::from(self.deadline.saturating_duration_since(Instant::now()))
    }
}
