//! Concurrent requests whose answers are checked.

use quetzalworks::standin;
use serde_json::json;

use crate::testing::cluster::Cluster;
use crate::testing::http;

/// Concurrent chat requests, spread over all entries.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    pub profile: &'static str,
    /// Callers at a time.
    pub callers: usize,
    /// Requests that each caller sends one after the other.
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

/// How the requests ended.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Answers that were whole and the caller's own.
    pub whole: usize,
    /// Numbers of the result codes of refused requests.
    pub refused: Vec<u64>,
    /// Streams that ended with an explicit error event.
    pub interrupted: usize,
    /// Exchanges that broke off.
    pub broken: usize,
}

impl Outcome {
    pub fn total(&self) -> usize {
        self.whole + self.refused.len() + self.interrupted + self.broken
    }

    fn add(&mut self, other: &Self) {
        self.whole += other.whole;
        self.refused.extend(&other.refused);
        self.interrupted += other.interrupted;
        self.broken += other.broken;
    }
}

/// Runs the load to its end. Fails where an answer is cut, repeated or not
/// the caller's own.
pub fn run(cluster: &Cluster, load: Load) -> Outcome {
    let outcomes = http::concurrently(load.callers, |caller| {
        let mut outcome = Outcome::default();
        for i in 0..load.requests {
            one(
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

fn one(cluster: &Cluster, load: Load, text: &str, caller: usize, outcome: &mut Outcome) {
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
        outcome.broken += 1;
        return;
    };
    if answer.status != 200 {
        let number = answer.json()["error"]["number"].as_u64();
        outcome
            .refused
            .push(number.expect("a refusal has a number"));
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
    outcome.whole += 1;
}
