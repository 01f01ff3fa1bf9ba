//! Response bodies of chat completions, in the form that unmodified client libraries read.

use hyper::body::Bytes;
use serde_json::{Value, json};

use crate::attempt;
use crate::entry;
use crate::errors;
use crate::runtime;

/// Builds the response bodies of one completion, which share id, model and time.
#[derive(Clone, Debug)]
pub struct Completion {
    id: String,
    model: String,
    created: u64,
}

impl Completion {
    /// Creates a builder for the answer to `request`, dated now.
    #[must_use]
    pub fn new(request: &entry::ModelRequest) -> Self {
        Self {
            id: format!("chatcmpl-{}", request.id),
            model: request.profile.name.to_string(),
            created: runtime::since_epoch().as_secs(),
        }
    }

    /// Returns the body of a complete answer that is not streamed.
    #[must_use]
    pub fn complete(&self, text: &str, finish: &str, usage: attempt::Usage) -> Value {
        json!({
            "id": self.id,
            "object": "chat.completion",
            "created": self.created,
            "model": self.model,
            "choices": [{
                "index": 0,
                "message": { "role": "assistant", "content": text },
                "finish_reason": finish,
            }],
            "usage": usage_body(usage),
        })
    }

    /// Returns the first event of a streamed answer, which states the role.
    #[must_use]
    pub fn first(&self) -> Bytes {
        self.choice_event(&json!({ "role": "assistant", "content": "" }), &Value::Null)
    }

    /// Returns an event that adds text to a streamed answer.
    #[must_use]
    pub fn text_event(&self, text: &str) -> Bytes {
        self.choice_event(&json!({ "content": text }), &Value::Null)
    }

    /// Returns the events that end a streamed answer; `usage` adds one with the usage.
    #[must_use]
    pub fn end_events(&self, finish: &str, usage: Option<attempt::Usage>) -> Bytes {
        let mut events = self.choice_event(&json!({}), &Value::from(finish)).to_vec();
        if let Some(usage) = usage {
            let mut body = self.chunk_body(&json!([]));
            body["usage"] = usage_body(usage);
            events.extend_from_slice(&event(&body));
        }
        events.extend_from_slice(b"data: [DONE]\n\n");
        events.into()
    }

    /// Returns the event that ends a streamed answer which could not be completed.
    #[must_use]
    pub fn error_event(refusal: &errors::Refusal) -> Bytes {
        event(&error_body(refusal))
    }

    fn choice_event(&self, delta: &Value, finish: &Value) -> Bytes {
        event(&self.chunk_body(&json!([{ "index": 0, "delta": delta, "finish_reason": finish }])))
    }

    fn chunk_body(&self, choices: &Value) -> Value {
        json!({
            "id": self.id,
            "object": "chat.completion.chunk",
            "created": self.created,
            "model": self.model,
            "choices": choices,
        })
    }
}

fn event(body: &Value) -> Bytes {
    format!("data: {body}\n\n").into()
}

fn usage_body(usage: attempt::Usage) -> Value {
    json!({
        "prompt_tokens": usage.prompt.0,
        "completion_tokens": usage.output.0,
        "total_tokens": usage.prompt.saturating_add(usage.output).0,
    })
}

/// Returns the body of an error, in the form that client libraries read.
#[must_use]
pub fn error_body(refusal: &errors::Refusal) -> Value {
    json!({
        "error": {
            "message": &*refusal.message,
            "type": if refusal.code.http_status() < 500 { "invalid_request_error" } else { "server_error" },
            "code": refusal.code.to_string(),
            "number": refusal.code.number(),
            "not_run": refusal.code.is_not_run(),
        }
    })
}
