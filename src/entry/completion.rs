//! Bodies of chat completions, as unmodified client libraries read them.

use hyper::body::Bytes;
use serde_json::{Value, json};

use crate::attempt;
use crate::entry;
use crate::errors;
use crate::runtime;

/// Builds the bodies of one completion.
#[derive(Clone, Debug)]
pub struct Completion {
    id: String,
    model: String,
    created: u64,
}

impl Completion {
    /// Bodies for the answer to `ask`.
    #[must_use]
    pub fn new(ask: &entry::Ask) -> Self {
        Self {
            id: format!("chatcmpl-{}", ask.id),
            model: ask.profile.name.to_string(),
            created: runtime::since_epoch().as_secs(),
        }
    }

    /// The whole answer.
    #[must_use]
    pub fn whole(&self, text: &str, finish: &str, usage: attempt::Usage) -> Value {
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

    /// The first event of a streamed answer.
    #[must_use]
    pub fn first(&self) -> Bytes {
        self.event(&json!({ "role": "assistant", "content": "" }), &Value::Null)
    }

    /// An event with text.
    #[must_use]
    pub fn text(&self, text: &str) -> Bytes {
        self.event(&json!({ "content": text }), &Value::Null)
    }

    /// The events that end a streamed answer.
    #[must_use]
    pub fn end(&self, finish: &str, usage: Option<attempt::Usage>) -> Bytes {
        let mut events = self.event(&json!({}), &Value::from(finish)).to_vec();
        if let Some(usage) = usage {
            let mut body = self.body(&json!([]));
            body["usage"] = usage_body(usage);
            events.extend_from_slice(&event(&body));
        }
        events.extend_from_slice(b"data: [DONE]\n\n");
        events.into()
    }

    /// The event that ends a streamed answer which could not be completed.
    #[must_use]
    pub fn error(refusal: &errors::Refusal) -> Bytes {
        event(&error_body(refusal))
    }

    fn event(&self, delta: &Value, finish: &Value) -> Bytes {
        event(&self.body(&json!([{ "index": 0, "delta": delta, "finish_reason": finish }])))
    }

    fn body(&self, choices: &Value) -> Value {
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

/// The body of an error, in the form that client libraries read.
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
