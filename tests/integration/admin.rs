//! Tests of the operators' API of a real entry process.

use hyper::Method;
use quetzalworks::ids::Offset;
use quetzalworks::platform::Stream;
use quetzalworks::standin::LogCommand;
use serde_json::{Value, json};

use crate::testing::cluster::Cluster;
use crate::testing::http::{self, Answer};

fn call(
    cluster: &Cluster,
    method: &Method,
    path: &str,
    condition: Option<&str>,
    body: &str,
) -> Answer {
    let bearer = format!("Bearer {}", cluster.operator_token);
    let mut headers = vec![("authorization", bearer.as_str())];
    match condition {
        Some("*") => headers.push(("if-none-match", "*")),
        Some(tag) => headers.push(("if-match", tag)),
        None => {}
    }
    let path = format!("/admin/v1/{path}");
    http::send(
        cluster.entry_addr(0),
        method,
        &path,
        &headers,
        body.as_bytes(),
    )
    .unwrap()
}

fn error_number(answer: &Answer) -> u64 {
    answer.json()["error"]["number"].as_u64().unwrap_or(0)
}

struct RefusedChange {
    name: &'static str,
    method: Method,
    path: &'static str,
    condition: Option<&'static str>,
    body: &'static str,
    error_number: u64,
    expected_text: &'static str,
}

const PROFILE: &str = r#"{"teams":["red"],"versions":["small-1"],"quality_target":0.5}"#;

const fn put(
    name: &'static str,
    path: &'static str,
    condition: Option<&'static str>,
    body: &'static str,
    error_number: u64,
    expected_text: &'static str,
) -> RefusedChange {
    RefusedChange {
        name,
        method: Method::PUT,
        path,
        condition,
        body,
        error_number,
        expected_text,
    }
}

const REFUSED: &[RefusedChange] = &[
    put(
        "no precondition",
        "profiles/p",
        None,
        PROFILE,
        3006,
        "If-Match",
    ),
    put(
        "old base",
        "profiles/chat",
        Some("\"1\""),
        PROFILE,
        3002,
        "revision 3",
    ),
    put(
        "exists",
        "profiles/chat",
        Some("*"),
        PROFILE,
        3002,
        "revision 3",
    ),
    put(
        "tag without quotes",
        "profiles/chat",
        Some("3"),
        PROFILE,
        1400,
        "If-Match",
    ),
    put("not JSON", "profiles/p", Some("*"), "{", 1400, "JSON"),
    put("unknown kind", "things/p", Some("*"), "{}", 1405, "things"),
    put(
        "bad name",
        "profiles/a%20b",
        Some("*"),
        PROFILE,
        3001,
        "name",
    ),
    put(
        "unknown query",
        "profiles/p?dryrun=1",
        Some("*"),
        PROFILE,
        1400,
        "dryrun",
    ),
    put(
        "unknown field",
        "profiles/p",
        Some("*"),
        r#"{"teams":["red"],"versions":["small-1"],"quality_target":0.5,"x":1}"#,
        3001,
        "`x`",
    ),
    put(
        "wrong value",
        "profiles/p",
        Some("*"),
        r#"{"teams":["red"],"versions":["small-1"],"quality_target":1.5}"#,
        3001,
        "quality_target",
    ),
    put(
        "unpublished version",
        "profiles/p",
        Some("*"),
        r#"{"teams":["red"],"versions":["small-1","none"],"quality_target":0.5}"#,
        3001,
        "versions[1]",
    ),
    put(
        "unknown team",
        "profiles/p",
        Some("*"),
        r#"{"teams":["blue"],"versions":["small-1"],"quality_target":0.5}"#,
        3001,
        "teams[0]",
    ),
    put(
        "roll-out of a version that the profile lacks",
        "rollouts/r",
        Some("*"),
        r#"{"profile":"chat","version":"none"}"#,
        3001,
        "version",
    ),
    RefusedChange {
        name: "team in use",
        method: Method::DELETE,
        path: "teams/red",
        condition: Some("\"1\""),
        body: "",
        error_number: 3001,
        expected_text: "profiles/chat",
    },
    RefusedChange {
        name: "no such object",
        method: Method::DELETE,
        path: "teams/blue",
        condition: Some("\"0\""),
        body: "",
        error_number: 3005,
        expected_text: "teams/blue",
    },
];

/// Guards against appending an invalid or unconditional change to the log.
#[test]
fn refused_changes_append_nothing() {
    let cluster = Cluster::start(1, 1);
    let before = cluster.log.records(Stream::Config).len();
    for case in REFUSED {
        let answer = call(&cluster, &case.method, case.path, case.condition, case.body);
        assert_eq!(
            error_number(&answer),
            case.error_number,
            "{}: {}",
            case.name,
            answer.text()
        );
        let message = answer.json()["error"]["message"].to_string();
        assert!(
            message.contains(case.expected_text),
            "{}: {message}",
            case.name
        );
    }
    let anonymous = http::try_get(cluster.entry_addr(0), "/admin/v1/status", "wrong").unwrap();
    assert_eq!((anonymous.status, error_number(&anonymous)), (401, 4001));
    assert_eq!(cluster.log.records(Stream::Config).len(), before);
}

/// Guards against reporting a change as accepted before it is in force, against a
/// dry run that changes something, and against lost updates.
#[test]
fn changes_are_accepted_once_in_force() {
    let cluster = Cluster::start(1, 1);
    let body = r#"{"teams":["red"],"versions":["small-1"],"quality_target":0.5}"#;
    let put = |path: &str, condition| call(&cluster, &Method::PUT, path, Some(condition), body);
    let dry_run = put("profiles/p?dry_run=true", "*");
    assert_eq!(
        dry_run.json()["after"]["quality_target"],
        json!(0.5),
        "{}",
        dry_run.text()
    );
    assert_eq!(
        call(&cluster, &Method::GET, "profiles/p", None, "").status,
        404
    );
    let created = put("profiles/p", "*");
    assert_eq!(created.json()["state"], "accepted", "{}", created.text());
    let tag = created.header("etag").unwrap().to_owned();
    let read = call(&cluster, &Method::GET, "profiles/p", None, "");
    assert_eq!(read.header("etag"), Some(tag.as_str()));
    assert_eq!(put("profiles/p", &tag).status, 200);
    let outdated = put("profiles/p", &tag);
    assert_eq!(error_number(&outdated), 3002, "{}", outdated.text());
    let change = created.json()["change"].as_str().unwrap().to_owned();
    let verdict = call(
        &cluster,
        &Method::GET,
        &format!("changes/{change}"),
        None,
        "",
    );
    assert_eq!(verdict.json()["state"], "accepted");
    let status = call(&cluster, &Method::GET, "status", None, "").json();
    assert_eq!(status["phase"], "serving");
    assert_eq!(status["endpoints"].as_array().map(Vec::len), Some(1));
    let list = call(&cluster, &Method::GET, "profiles", None, "").json();
    assert_eq!(list["items"].as_array().map(Vec::len), Some(2));
    let current = read_tag(&cluster, "profiles/p");
    let deleted = call(&cluster, &Method::DELETE, "profiles/p", Some(&current), "");
    assert_eq!(deleted.status, 200, "{}", deleted.text());
    assert_eq!(
        put("profiles/p", "*").status,
        200,
        "a deleted object can be made again"
    );
}

fn read_tag(cluster: &Cluster, path: &str) -> String {
    let answer = call(cluster, &Method::GET, path, None, "");
    answer.header("etag").unwrap().to_owned()
}

/// Guards against explaining a request from a later record than its first one.
#[test]
fn explain_returns_the_first_usage_record() {
    let cluster = Cluster::start(1, 1);
    let id = "0123456789abcdef0123456789abcdef";
    let record = |cost: u64| -> Value {
        json!({
            "request": id, "team": "red", "profile": "chat", "service": null, "class": null,
            "usage": { "prompt": 1, "output": 2 }, "cost": cost, "result": null,
            "ended_at": 1, "written_by": "entry-0", "attempts": [],
        })
    };
    for cost in [7, 8] {
        cluster.log.append(Stream::Usage, &record(cost)).unwrap();
    }
    let found = call(&cluster, &Method::GET, &format!("explain/{id}"), None, "");
    assert_eq!(found.json()["cost"], 7, "{}", found.text());
    let none = call(
        &cluster,
        &Method::GET,
        "explain/00000000000000000000000000000001",
        None,
        "",
    );
    assert_eq!(error_number(&none), 3005, "{}", none.text());
}

/// Guards against a search that reads the complete stream first, misses a record
/// that an outage delayed, or does not report that a record has expired.
#[test]
fn explain_searches_by_the_time_in_the_request_id() {
    struct Case {
        name: &'static str,
        /// Milliseconds since the epoch in the request's id.
        made_at: u128,
        expected_text: &'static str,
    }
    const RECORDS: u64 = 3_000;
    const EXPIRED: u64 = 1_200;
    let case = |name, made_at, expected_text| Case {
        name,
        made_at,
        expected_text,
    };
    let cases = [
        case("oldest that is kept", 1_200_000, "\"cost\":1200,"),
        case("in the middle", 2_000_000, "\"cost\":2000,"),
        case("last", 2_999_000, "\"cost\":2999,"),
        case("delayed by an outage", 1_500_500, "\"cost\":7,"),
        case("expired", 5_000, "expired"),
        case("never ran", 2_500_500, "never ran"),
    ];
    let id = |made_at: u128| format!("{:032x}", made_at << 80 | 7 << 76 | 2 << 62);
    let cluster = Cluster::start(1, 1);
    let append = |request: String, ended_at: u128, cost: u64| {
        let record = json!({
            "request": request, "team": "red", "profile": "chat", "service": null, "class": null,
            "usage": { "prompt": 1, "output": 2 }, "cost": cost, "result": null,
            "ended_at": u64::try_from(ended_at).unwrap(), "written_by": "entry-0", "attempts": [],
        });
        cluster.log.append(Stream::Usage, &record).unwrap();
    };
    for n in 0..RECORDS {
        let made_at = u128::from(n) * 1_000;
        append(id(made_at), made_at + 10, n);
        if n == 2_800 {
            append(id(1_500_500), 1_500_510, 7);
        }
    }
    cluster.log.control(LogCommand::RetainFrom {
        stream: Stream::Usage,
        offset: Offset(EXPIRED),
    });
    for case in cases {
        let path = format!("explain/{}", id(case.made_at));
        let found = call(&cluster, &Method::GET, &path, None, "");
        let text = found.text();
        assert!(text.contains(case.expected_text), "{}: {text}", case.name);
    }
}
