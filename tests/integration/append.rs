//! Tests of appends to a log whose responses are lost.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use hyper::Request;
use hyper::body::{Bytes, Incoming};
use quetzalworks::ids::Offset;
use quetzalworks::platform::store_call::{StoreAnswer, append_answer, read_answer};
use quetzalworks::platform::{
    self, AppendOutcome, LogClient, ReadOutcome, RecordBatch, StoreCall, Stream,
};
use quetzalworks::standin::StandinLog;
use quetzalworks::{http, settings};
use serde_json::json;

use crate::testing::{http as caller, isolation};

/// Delay of a lost response; longer than the client waits for the response to an append.
const LOST_RESPONSE_DELAY: Duration = Duration::from_secs(5);

/// A log whose response to the first append comes too late for the client.
#[derive(Default)]
struct LosingLog {
    stores_first: bool,
    lost: AtomicBool,
    records: Mutex<Vec<Bytes>>,
}

impl LosingLog {
    fn page(&self, from: Offset) -> ReadOutcome {
        let records = self.records.lock().unwrap();
        let skip = usize::try_from(from.0).unwrap();
        ReadOutcome::Records(RecordBatch {
            from,
            end: Offset(records.len() as u64),
            first_retained: Offset(0),
            records: records.iter().skip(skip).cloned().collect(),
        })
    }

    async fn append(&self, new: Vec<Bytes>) -> StoreAnswer {
        let count = new.len();
        let lost = !self.lost.swap(true, Ordering::Relaxed);
        if !lost || self.stores_first {
            self.records.lock().unwrap().extend(new);
        }
        if lost {
            smol::Timer::after(LOST_RESPONSE_DELAY).await;
        }
        append_answer(AppendOutcome::AppendedAt(Offset(0)), count)
    }
}

impl http::Handler for LosingLog {
    async fn handle(&self, req: Request<Incoming>) -> http::Reply {
        let (head, body) = req.into_parts();
        let body = http::read_body(body, quetzalworks::units::Bytes(1 << 20), None).await;
        let call = StoreCall::decode(&head.method, &head.uri, &body.unwrap_or_default());
        let (status, body) = match call.unwrap() {
            StoreCall::Append { records, .. } => self.append(records).await,
            StoreCall::Read { from, .. } => read_answer(&self.page(from)),
            StoreCall::Newest { .. } => unreachable!("the stream has no keys"),
            StoreCall::Join(_) | StoreCall::Owners => unreachable!("the stream has no members"),
        };
        http::full(status, "application/octet-stream", body)
    }
}

/// Guards against a record that is appended twice, or not at all, because the
/// response to its append was lost.
#[test]
fn a_lost_append_response_leaves_one_record() {
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
        let is_appended = smol::block_on(async {
            let traffic = caller::traffic();
            let limits = settings::Limits::default();
            let server =
                http::Server::bind(isolation::free_addr(), limits, &traffic, Arc::clone(&log))
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
        assert!(is_appended, "{}", case.name);
        assert_eq!(
            *log.records.lock().unwrap(),
            [record.to_string()],
            "{}",
            case.name
        );
    }
}

/// Guards against a process that never sees records, as their offsets were given out before
/// the log came back from an older copy.
#[test]
fn a_log_that_comes_back_from_a_copy_is_not_read_on() {
    struct Case {
        name: &'static str,
        /// Records written after the return of the log; two were lost.
        again: usize,
    }
    let cases = [
        Case {
            name: "ends where the reader is",
            again: 2,
        },
        Case {
            name: "ends beyond",
            again: 3,
        },
    ];
    for case in cases {
        smol::block_on(async {
            let log = StandinLog::bind(isolation::free_addr(), &caller::traffic())
                .await
                .unwrap();
            let client = LogClient::new(log.addr(), caller::traffic());
            let write = |text: &str| log.append(Stream::Config, &json!(text)).unwrap();
            write("kept");
            let copy = log.copy();
            write("lost");
            write("lost");
            let read = |from| client.read(Stream::Config, from, Duration::ZERO);
            let position = read(Offset(0)).await.unwrap().next_offset();
            log.restore(&copy);
            (0..case.again).for_each(|_| {
                write("new");
            });
            let page = read(position).await;
            let new = |page: &platform::Page| {
                let records = page.records.iter();
                records.filter(|record| record.body == "new").count()
            };
            let is_told = page.as_ref().map_or(true, |page| new(page) == case.again);
            assert!(is_told, "{}: {page:?}", case.name);
        });
    }
}
