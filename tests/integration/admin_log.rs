//! Tests of operators' changes while the log fails.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use quetzalworks::ids::Offset;
use quetzalworks::platform::store_call::append_answer;
use quetzalworks::platform::{AppendOutcome, LogClient, StoreCall, Stream};
use quetzalworks::standin::StandinLog;
use quetzalworks::units;
use quetzalworks::{admin, control, feed, fleet, http, ids, settings, system};
use serde_json::{Value, json};

use crate::testing::{http as caller, isolation, wait};

/// Maximum size of the body of a call.
const MAX_BODY: units::Bytes = units::Bytes(1 << 20);

/// How the log fails on appends and reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    /// Refuses all appends with status 503.
    Unavailable,
    /// Stores the first append, but answers it with an error.
    FirstAnswerLost,
    /// Does not store the first append, and answers it with an error.
    FirstRequestLost,
    /// Stores all appends, but answers them with errors and refuses reads.
    AnswersLostAndReadsFail,
}

/// The stand-in log behind a proxy that injects a fault.
struct FaultyLog {
    log: StandinLog,
    fault: Fault,
    armed: AtomicBool,
    appends: AtomicUsize,
}

impl FaultyLog {
    async fn append(&self, req: Request<Incoming>) -> StatusCode {
        let (head, body) = req.into_parts();
        let body = http::read_body(body, MAX_BODY, None).await.unwrap();
        let call = StoreCall::decode(&head.method, &head.uri, &body);
        let Some(StoreCall::Append { records, .. }) = call else {
            panic!("not an append: {call:?}");
        };
        let record: Value = serde_json::from_slice(&records[0]).unwrap();
        let append_index = self.appends.fetch_add(1, Ordering::SeqCst);
        let (is_stored, status) = match (self.fault, append_index) {
            (Fault::Unavailable, _) => (false, StatusCode::SERVICE_UNAVAILABLE),
            (Fault::FirstAnswerLost, 0) | (Fault::AnswersLostAndReadsFail, _) => {
                (true, StatusCode::GATEWAY_TIMEOUT)
            }
            (Fault::FirstRequestLost, 0) => (false, StatusCode::GATEWAY_TIMEOUT),
            _ => (true, StatusCode::OK),
        };
        if is_stored {
            self.log.append(Stream::Config, &record).unwrap();
        }
        status
    }
}

impl http::Handler for FaultyLog {
    async fn handle(&self, req: Request<Incoming>) -> http::Reply {
        if req.method() == Method::POST {
            let status = self.append(req).await;
            let (_, body) = append_answer(AppendOutcome::AppendedAt(Offset(0)), 1);
            return http::full(status, "application/json", body);
        }
        if self.fault == Fault::AnswersLostAndReadsFail && self.armed.load(Ordering::SeqCst) {
            return http::json(StatusCode::SERVICE_UNAVAILABLE, &json!({}));
        }
        let path = req.uri().path_and_query().unwrap().to_string();
        // The wait is shortened, so that an armed fault soon affects the next read.
        let path = path.replace("WaitMs=10000", "WaitMs=20");
        let answer = http::Client::new(self.log.addr(), caller::traffic())
            .send(
                Request::builder()
                    .uri(path)
                    .body(http_body_util::Full::default())
                    .unwrap(),
                Duration::from_secs(30),
            )
            .await
            .unwrap();
        let status = answer.status;
        let page = answer.bytes(MAX_BODY).await.unwrap();
        http::full(status, "application/octet-stream", page)
    }
}

/// A server with only the operators' API.
struct Api(Arc<admin::AdminApi>);

impl http::Handler for Api {
    async fn handle(&self, req: Request<Incoming>) -> http::Reply {
        self.0.handle(req).await
    }
}

struct Case {
    fault: Fault,
    /// Expected number of the result code; 0 where the change is accepted.
    number: u64,
    records: usize,
}

/// Guards against a change that is applied twice, or whose outcome is reported
/// wrongly, when the log fails or its response to the append is lost.
#[test]
fn outcomes_under_log_faults() {
    let cases = [
        Case {
            fault: Fault::Unavailable,
            number: 3003,
            records: 0,
        },
        Case {
            fault: Fault::FirstAnswerLost,
            number: 0,
            records: 1,
        },
        Case {
            fault: Fault::FirstRequestLost,
            number: 0,
            records: 1,
        },
        Case {
            fault: Fault::AnswersLostAndReadsFail,
            number: 3004,
            records: 1,
        },
    ];
    for case in cases {
        smol::block_on(run(&case));
    }
}

async fn run(case: &Case) {
    let traffic = caller::traffic();
    let limits = settings::Limits::default();
    let log = Arc::new(FaultyLog {
        log: StandinLog::bind(isolation::free_addr(), &traffic)
            .await
            .unwrap(),
        fault: case.fault,
        armed: AtomicBool::new(false),
        appends: AtomicUsize::new(0),
    });
    let proxy = http::Server::bind(isolation::free_addr(), limits, &traffic, Arc::clone(&log))
        .await
        .unwrap();
    let identity = fleet::Identity {
        vm: "entry-0".parse().unwrap(),
        domain: "a".parse().unwrap(),
        region: "r".parse().unwrap(),
        incarnation: ids::Incarnation(1),
        role: fleet::NodeRole::Entry,
    };
    let (control, _effects, _thread) =
        control::Control::spawn(control::World::new(identity.clone()), system::ENTRY).unwrap();
    let client = LogClient::new(proxy.addr(), traffic.clone());
    let _feeds = [
        traffic.spawn(feed::follow_config(client.clone(), control.clone())),
        traffic.spawn(feed::follow_control(client.clone(), control.clone())),
    ];
    let api = admin::AdminApi {
        token_digest: ids::Digest::of(b"t"),
        control: control.clone(),
        log: client,
        vm: identity.vm,
        limits,
    };
    let server = http::Server::bind(
        isolation::free_addr(),
        limits,
        &traffic,
        Arc::new(Api(Arc::new(api))),
    )
    .await
    .unwrap();
    wait::until("the configuration is read", || {
        control.snapshot().is_serving()
    });
    log.armed.store(true, Ordering::SeqCst);
    let headers = [("authorization", "Bearer t"), ("if-none-match", "*")];
    let answer = caller::send(
        server.addr(),
        &Method::PUT,
        "/admin/v1/domains/a",
        &headers,
        br#"{"out":true}"#,
    )
    .unwrap();
    let error = &answer.json()["error"];
    assert_eq!(
        error["number"].as_u64().unwrap_or(0),
        case.number,
        "{:?}: {}",
        case.fault,
        answer.text()
    );
    assert_eq!(
        log.log.records(Stream::Config).len(),
        case.records,
        "{:?}",
        case.fault
    );
    if case.number == 3004 {
        log.armed.store(false, Ordering::SeqCst);
        let path = format!("/admin/v1/changes/{}", error["change"].as_str().unwrap());
        wait::until("the verdict is known later", || {
            let change_state = caller::try_get(server.addr(), &path, "t").unwrap();
            change_state.json()["state"] == "accepted"
        });
    }
    control.close();
}
