//! Appends to a log whose answers are lost.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use quetzalworks::ids::Offset;
use quetzalworks::platform::{self, Append, LogClient, LogRecord, Page, Stream};
use quetzalworks::{http, settings};
use serde_json::{Value, json};

use crate::testing::{http as caller, place};

/// Longer than the client waits for the answer to an append.
const LOST: Duration = Duration::from_secs(5);

/// A log that loses the answer to its first append.
#[derive(Default)]
struct LosingLog {
    stores_first: bool,
    lost: AtomicBool,
    records: Mutex<Vec<Value>>,
}

impl LosingLog {
    fn store(&self, body: &Value) {
        let new = body["records"].as_array().unwrap().clone();
        self.records.lock().unwrap().extend(new);
    }

    fn page(&self) -> Page {
        let records = self.records.lock().unwrap().clone();
        Page {
            first_retained: Offset(0),
            end: Offset(records.len() as u64),
            records: (0..)
                .zip(records)
                .map(|(offset, body)| LogRecord {
                    offset: Offset(offset),
                    body,
                })
                .collect(),
        }
    }
}

impl http::Handler for LosingLog {
    async fn handle(&self, req: Request<Incoming>) -> http::Reply {
        if req.method() != Method::POST {
            return http::json(StatusCode::OK, &self.page());
        }
        let body = http::read_body(req.into_body(), quetzalworks::units::Bytes(1 << 20)).await;
        let body = serde_json::from_slice(&body.unwrap_or_default()).unwrap();
        let lost = !self.lost.swap(true, Ordering::Relaxed);
        if !lost || self.stores_first {
            self.store(&body);
        }
        if lost {
            smol::Timer::after(LOST).await;
        }
        http::json(StatusCode::OK, &Append { first: Offset(0) })
    }
}

/// Guards against a record that is appended twice, or not at all, because the
/// answer to its append was lost.
#[test]
fn lost_answers_lead_to_one_record() {
    struct Case {
        name: &'static str,
        stores_first: bool,
    }
    let cases = [
        Case {
            name: "the append took effect",
            stores_first: true,
        },
        Case {
            name: "the append did not take effect",
            stores_first: false,
        },
    ];
    for case in cases {
        let log = Arc::new(LosingLog {
            stores_first: case.stores_first,
            ..LosingLog::default()
        });
        let record = json!({ "id": "record-1" });
        let done = smol::block_on(async {
            let traffic = caller::traffic();
            let limits = settings::Limits::default();
            let server = http::Server::bind(place::addr(), limits, &traffic, Arc::clone(&log))
                .await
                .unwrap();
            let client = LogClient::new(server.addr(), traffic.clone());
            let deadline = Instant::now() + Duration::from_mins(1);
            let stream = Stream::Control;
            platform::append_once(
                &client,
                stream,
                "record-1",
                Offset(0),
                record.clone(),
                deadline,
            )
            .await
        });
        assert!(done, "{}", case.name);
        assert_eq!(*log.records.lock().unwrap(), [record], "{}", case.name);
    }
}
