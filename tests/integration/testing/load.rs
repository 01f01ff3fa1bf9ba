//! Concurrent chat load with verification of each answer.

use quetzalworks::standin;
use serde_json::json;

use crate::testing::cluster::Cluster;
use crate::testing::http;

/// Parameters of a chat load, spread over all entries.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    pub profile: &'static str,
    /// Number of concurrent callers.
    pub callers: usize,
    /// Number of requests that each caller sends in sequence.
    pub requests: usize,
    pub max_tokens: u64,
    pub stream: bool,
}

impl Default for Load {
    fn default() -> Self {
        Self {
            profile: "chat",
            callers: 8,
            requests: 5,
            max_tokens: 20,
            stream: true,
        }
    }
}

/// Number of requests by outcome.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Complete answers that belong to the caller's own request.
    pub complete: usize,
    /// Result code numbers of refused requests.
    pub refused: Vec<u64>,
    /// Streams that ended with an error event.
    pub interrupted: usize,
    /// Exchanges that failed without a complete response.
    pub failed: usize,
}

impl Outcome {
    pub fn total(&self) -> usize {
        self.complete + self.refused.len() + self.interrupted + self.failed
    }

    fn add(&mut self, other: &Self) {
        self.complete += other.complete;
        self.refused.extend(&other.refused);
        self.interrupted += other.interrupted;
        self.failed += other.failed;
    }
}

/// Runs the load to completion. Panics if an answer is truncated, has duplicate
/// tokens or belongs to another request.
pub fn run(cluster: &Cluster, load: Load) -> Outcome {
    let outcomes = http::concurrently(load.callers, |caller| {
        let mut outcome = Outcome::default();
        for i in 0..load.requests {
            send_one(
                cluster,
                load,
                &format!("{caller}.{i}"),
                caller,
                &mut outcome,
            );
        }
        outcome
    });
    let mut sum = Outcome::default();
    for outcome in &outcomes {
        sum.add(outcome);
    }
    sum
}

/// Sends one request and adds its outcome; the text identifies the request.
fn send_one(cluster: &Cluster, load: Load, text: &str, caller: usize, outcome: &mut Outcome) {
    let messages = json!([{ "role": "user", "content": text }]);
    let body = json!({
        "model": load.profile,
        "messages": messages,
        "max_tokens": load.max_tokens,
        "stream": load.stream,
    });
    let entry = cluster.entry_addr(caller % cluster.entries.len());
    let path = "/v1/chat/completions";
    let Ok(answer) = http::try_post(entry, path, &cluster.team_token, &body) else {
        outcome.failed += 1;
        return;
    };
    if answer.status != 200 {
        let number = answer.json()["error"]["number"].as_u64();
        outcome
            .refused
            .push(number.expect("a refusal carries a result code number"));
        return;
    }
    if answer
        .events()
        .iter()
        .any(|event| event["error"].is_object())
    {
        outcome.interrupted += 1;
        return;
    }
    let version = answer.header("x-quetzalworks-version").unwrap();
    let expected = standin::answer_text(version, &messages, load.max_tokens);
    assert_eq!(answer.content(), expected, "request {text}");
    assert_eq!(answer.is_done(), load.stream, "request {text}");
    outcome.complete += 1;
}
