//! Background traffic while a test acts on the cluster.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use quetzalworks::standin::StandinEngine;
use serde_json::json;

use crate::testing::cluster::Cluster;
use crate::testing::http::{self, Answer};

/// Pause of a caller between requests, which bounds the load.
const REQUEST_PAUSE: Duration = Duration::from_millis(15);

/// Sends a chat request for one token; `None` if there is no complete response.
pub fn send_chat(
    cluster: &Cluster,
    entry: usize,
    profile: &str,
    text: &str,
    session: Option<&str>,
) -> Option<Answer> {
    let body = json!({
        "model": profile, "max_tokens": 1,
        "messages": [{ "role": "user", "content": text }],
    });
    let bearer = format!("Bearer {}", cluster.team_token);
    let mut headers = vec![("authorization", bearer.as_str())];
    headers.extend(session.map(|token| ("x-quetzalworks-session", token)));
    http::send(
        cluster.entry_addr(entry),
        &hyper::Method::POST,
        "/v1/chat/completions",
        &headers,
        body.to_string().as_bytes(),
    )
    .ok()
}

/// Number of requests of the callers of [`with_background_traffic`], by outcome.
#[derive(Debug, Default)]
pub struct OutcomeCounts {
    pub answered: AtomicUsize,
    /// Refusals and incomplete exchanges.
    pub failed: AtomicUsize,
}

/// Runs `act` while `callers` threads send requests of a profile, each to all
/// entries in turn.
pub fn with_background_traffic<T>(
    cluster: &Cluster,
    profile: &str,
    callers: usize,
    act: impl FnOnce(&OutcomeCounts) -> T,
) -> T {
    let stop = AtomicBool::new(false);
    let count = OutcomeCounts::default();
    std::thread::scope(|scope| {
        for caller in 0..callers {
            let (stop, count) = (&stop, &count);
            scope.spawn(move || {
                let mut n = caller;
                while !stop.load(Ordering::Relaxed) {
                    n += 1;
                    let text = format!("{profile} {caller} {n}");
                    let answer =
                        send_chat(cluster, n % cluster.entries.len(), profile, &text, None);
                    let ok = answer.is_some_and(|answer| answer.status == 200);
                    let counter = if ok { &count.answered } else { &count.failed };
                    counter.fetch_add(1, Ordering::Relaxed);
                    std::thread::sleep(REQUEST_PAUSE);
                }
            });
        }
        let guard = StopOnDrop(&stop);
        let result = act(&count);
        drop(guard);
        result
    })
}

/// Stops the callers on drop, also when an assertion in `act` fails.
struct StopOnDrop<'a>(&'a AtomicBool);

impl Drop for StopOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// Returns the number of requests started on a version, over all engines, whose
/// messages contain `text`.
pub fn requests_started(cluster: &Cluster, version: &str, text: &str) -> u64 {
    let served = cluster.engines.iter().flat_map(StandinEngine::served);
    served
        .filter(|served| served.version.as_str() == version)
        .filter(|served| served.messages.to_string().contains(text))
        .map(|served| served.started)
        .sum()
}
