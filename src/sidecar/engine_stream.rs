//! The answer of a model engine as it arrives.

use std::collections::VecDeque;
use std::sync::Arc;

use serde::Deserialize;

use crate::attempt;
use crate::http;
use crate::units;

/// Largest event of a stream.
const MAX_EVENT: usize = 256 * 1_024;

/// A part of an engine's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineEvent {
    /// The next token's text.
    Text(Arc<str>),
    /// The end.
    End {
        /// Why the model stopped.
        finish: Arc<str>,
        /// Tokens of this answer.
        usage: attempt::Usage,
    },
}

/// An answer that the engine is generating; dropping it cancels the work.
#[derive(Debug)]
pub struct EngineStream {
    answer: http::Answer,
    boot: Option<Arc<str>>,
    sse: http::SseReader,
    ready: VecDeque<EngineEvent>,
    usage: attempt::Usage,
    finish: Option<Arc<str>>,
}

impl EngineStream {
    /// A stream whose response has begun; `boot` is the engine's boot id.
    #[must_use]
    pub fn new(answer: http::Answer, boot: Option<Arc<str>>) -> Self {
        Self {
            answer,
            boot,
            sse: http::SseReader::default(),
            ready: VecDeque::new(),
            usage: attempt::Usage::default(),
            finish: None,
        }
    }

    /// The next part; an error where the stream breaks off before its end.
    pub async fn next(&mut self) -> Result<EngineEvent, http::HttpError> {
        loop {
            if let Some(event) = self.ready.pop_front() {
                return Ok(event);
            }
            while let Some(data) = self.sse.next_data() {
                self.take(&data)?;
            }
            if !self.ready.is_empty() {
                continue;
            }
            if self.sse.pending() > MAX_EVENT {
                return Err(http::HttpError::TooLarge);
            }
            match self.answer.chunk().await? {
                Some(chunk) => self.sse.push(&chunk),
                None => {
                    return Err(http::HttpError::Broken(
                        "the engine ended its stream early".into(),
                    ));
                }
            }
        }
    }

    /// The engine's boot id, where it names it in its answers.
    #[must_use]
    pub const fn boot(&self) -> Option<&Arc<str>> {
        self.boot.as_ref()
    }

    /// Reads the response to its end after the last event.
    pub async fn finish(&mut self) -> Result<(), http::HttpError> {
        while self.answer.chunk().await?.is_some() {}
        Ok(())
    }

    /// Tokens so far.
    #[must_use]
    pub const fn usage(&self) -> attempt::Usage {
        self.usage
    }

    fn take(&mut self, data: &str) -> Result<(), http::HttpError> {
        if data == "[DONE]" {
            let finish = self.finish.take().unwrap_or_else(|| "stop".into());
            self.ready.push_back(EngineEvent::End {
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
            self.ready.push_back(EngineEvent::Text(text));
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
