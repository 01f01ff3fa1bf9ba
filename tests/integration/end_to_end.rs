//! End-to-end path of one request: from a caller through an entry process and a sidecar
//! process to an engine stand-in, and back.

use quetzalworks::standin;
use serde_json::json;

use crate::testing::cluster::Cluster;
use crate::testing::http;

struct Case {
    name: &'static str,
    stream: bool,
    max_tokens: u64,
}

/// Guards against an answer that is truncated, has repetitions, or is that of another
/// request.
#[test]
fn answers_are_complete() {
    let cases = [
        Case {
            name: "not streamed",
            stream: false,
            max_tokens: 5,
        },
        Case {
            name: "streamed",
            stream: true,
            max_tokens: 40,
        },
        Case {
            name: "one token",
            stream: true,
            max_tokens: 1,
        },
    ];
    let cluster = Cluster::start(1, 2);
    for case in cases {
        let messages = json!([{ "role": "user", "content": case.name }]);
        let body = json!({
            "model": "chat",
            "messages": messages,
            "max_tokens": case.max_tokens,
            "stream": case.stream,
        });
        let answer = http::post(
            cluster.entry_addr(0),
            "/v1/chat/completions",
            &cluster.team_token,
            &body,
        );
        assert_eq!(answer.status, 200, "{}: {}", case.name, answer.text());
        assert_eq!(answer.is_done(), case.stream, "{}", case.name);
        let expected = standin::answer_text("small-1", &messages, case.max_tokens);
        assert_eq!(answer.content(), expected, "{}", case.name);
    }
}
