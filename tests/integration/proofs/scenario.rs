//! Loss of an entry, an endpoint and a failure domain under load.

use std::time::Duration;

use quetzalworks::platform::Stream;
use serde_json::json;

use crate::proofs::caller::{self, Chat, Outcome, Sent};
use crate::proofs::site::Site;
use crate::testing::wait;

/// Duration of load before each loss.
const LOAD_TIME: Duration = Duration::from_millis(800);
/// Pause before a caller retries its request.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
const ANSWER_TOKENS: u64 = 40;
const CALLER_COUNT: usize = 12;
const REQUESTS_PER_CALLER: usize = 10;
/// Index of the endpoint that is killed.
const KILLED_ENDPOINT: usize = 1;

struct Case {
    name: &'static str,
    losses: &'static [fn(&mut Site)],
}

const CASES: &[Case] = &[Case {
    name: "an endpoint, an entry and a failure domain",
    losses: &[
        |site| {
            site.engines[KILLED_ENDPOINT].kill();
            site.sidecars[KILLED_ENDPOINT].kill();
        },
        |site| site.entries[2].kill(),
        |site| site.publish("domains/domain-3", &json!({ "domain": { "out": true } })),
    ],
}];

/// Guards against an answer that is lost, truncated or that of another request, and
/// against an answered request that is not billed with its tokens, when callers retry at
/// another entry after the loss of theirs.
#[test]
fn losses_under_load() {
    for case in CASES {
        let profile = json!({ "versions": ["small-1"], "between_tokens_ms": 6 });
        let mut site = Site::start(3, 8, &profile);
        site.wait_until_ready();
        let caller = site.caller();
        let send_all = |i: usize| -> Vec<Sent> {
            let texts = (0..REQUESTS_PER_CALLER).map(|j| format!("{} {i}.{j}", case.name));
            texts
                .map(|text| retry_until_complete(&caller, i, &text))
                .collect()
        };
        let sent: Vec<Sent> = std::thread::scope(|scope| {
            let load = scope.spawn(|| crate::testing::http::concurrently(CALLER_COUNT, send_all));
            for inject_loss in case.losses {
                std::thread::sleep(LOAD_TIME);
                inject_loss(&mut site);
            }
            load.join().unwrap().into_iter().flatten().collect()
        });
        assert_eq!(
            caller::answered(&sent).len(),
            CALLER_COUNT * REQUESTS_PER_CALLER
        );
        // On a planned stop, sidecars append the copies of records that no entry confirmed.
        for (i, process) in site.sidecars.iter().enumerate() {
            if i != KILLED_ENDPOINT {
                process.terminate();
            }
        }
        wait::until("each answered request has a usage record", || {
            let records = site.records(Stream::Usage);
            let billed = caller::billed(&records);
            caller::answered(&sent)
                .iter()
                .all(|id| billed.contains_key(id))
        });
        let records = site.records(Stream::Usage);
        caller::check_bills(case.name, &records, &sent, ANSWER_TOKENS);
    }
}

/// Sends the request to one entry after the other until the answer is complete.
fn retry_until_complete(caller: &caller::Caller, mut entry: usize, text: &str) -> Sent {
    let chat = Chat {
        max_tokens: ANSWER_TOKENS,
        ..Chat::default()
    };
    let mut complete = None;
    wait::until("the caller has its answer", || {
        let sent = caller.chat(entry, text, chat);
        if matches!(sent.1, Outcome::Complete(_)) {
            complete = Some(sent);
            return true;
        }
        entry += 1;
        std::thread::sleep(RETRY_PAUSE);
        false
    });
    complete.unwrap()
}
