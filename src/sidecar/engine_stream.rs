//! The streamed answer of a model engine.

use std::collections::VecDeque;
use std::sync::Arc;

use serde::Deserialize;

use crate::attempt;
use crate::http;
use crate::units;

/// Maximum size of one server-sent event.
const MAX_EVENT_BYTES: usize = 256 * 1_024;

/// An event in an engine's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineEvent {
    /// Text of the next token.
    Text(Arc<str>),
    /// Normal end of the answer.
    End {
        /// Finish reason of the model, such as `stop` or `length`.
        finish: Arc<str>,
        /// Tokens that the answer used.
        usage: attempt::Usage,
    },
}

/// An answer that the engine is generating; dropping it closes the response,
/// which cancels the work.
#[derive(Debug)]
pub struct EngineStream {
    response: http::Answer,
    boot: Option<Arc<str>>,
    sse: http::SseReader,
    pending_events: VecDeque<EngineEvent>,
    usage: attempt::Usage,
    finish: Option<Arc<str>>,
}

impl EngineStream {
    /// Creates a stream from a response that has begun; `boot` is the engine's
    /// boot id, if the response states it.
    #[must_use]
    pub fn new(response: http::Answer, boot: Option<Arc<str>>) -> Self {
        Self {
            response,
            boot,
            sse: http::SseReader::default(),
            pending_events: VecDeque::new(),
            usage: attempt::Usage::default(),
            finish: None,
        }
    }

    /// Returns the next event; errs if the stream breaks before its normal end.
    pub async fn next(&mut self) -> Result<EngineEvent, http::HttpError> {
        loop {
            if let Some(event) = self.pending_events.pop_front() {
                return Ok(event);
            }
            while let Some(data) = self.sse.next_data() {
                self.take(&data)?;
            }
            if !self.pending_events.is_empty() {
                continue;
            }
            if self.sse.pending() > MAX_EVENT_BYTES {
                return Err(http::HttpError::TooLarge);
            }
            match self.response.chunk().await? {
                Some(chunk) => self.sse.push(&chunk),
                None => {
                    return Err(http::HttpError::Broken(
                        "the engine ended its stream early".into(),
                    ));
                }
            }
        }
    }

    /// Returns the engine's boot id; `None` if the response does not state it.
    #[must_use]
    pub const fn boot(&self) -> Option<&Arc<str>> {
        self.boot.as_ref()
    }

    /// Reads the rest of the response after the last event, until the engine ends it.
    pub async fn finish(&mut self) -> Result<(), http::HttpError> {
        while self.response.chunk().await?.is_some() {}
        Ok(())
    }

    /// Returns the tokens used so far. Each text counts as one output token until
    /// the engine reports its own count.
    #[must_use]
    pub const fn usage(&self) -> attempt::Usage {
        self.usage
    }

    fn take(&mut self, data: &str) -> Result<(), http::HttpError> {
        if data == "[DONE]" {
            let finish = self.finish.take().unwrap_or_else(|| "stop".into());
            self.pending_events.push_back(EngineEvent::End {
                finish,
                usage: self.usage,
            });
            return Ok(());
        }
        let chunk: Chunk = serde_json::from_str(data)
            .map_err(|err| http::HttpError::Malformed(err.to_string().into()))?;
        if let Some(usage) = chunk.usage {
            self.usage = attempt::Usage {
                prompt: units::Tokens(usage.prompt_tokens),
                output: units::Tokens(usage.completion_tokens),
            };
        }
        let Some(choice) = chunk.choices.into_iter().next() else {
            return Ok(());
        };
        if let Some(text) = choice.delta.content.filter(|text| !text.is_empty()) {
            self.usage.output = self.usage.output.saturating_add(units::Tokens(1));
            self.pending_events.push_back(EngineEvent::Text(text));
        }
        if choice.finish_reason.is_some() {
            self.finish = choice.finish_reason;
        }
        Ok(())
    }
}

#[derive(Deserialize)]
struct Chunk {
    #[serde(default)]
    choices: Vec<Choice>,
    usage: Option<ChunkUsage>,
}

#[derive(Deserialize)]
struct Choice {
    #[serde(default)]
    delta: Delta,
    finish_reason: Option<Arc<str>>,
}

#[derive(Default, Deserialize)]
struct Delta {
    content: Option<Arc<str>>,
}

#[derive(Deserialize)]
struct ChunkUsage {
    prompt_tokens: u64,
    completion_tokens: u64,
}
