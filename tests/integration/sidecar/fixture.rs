//! Fixture: a sidecar in the test's own process, its endpoint and log, and a
//! connection to it as an entry opens one.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::{Request, StatusCode};
use quetzalworks::attempt::{CallRef, Dispatch, Priority, Work};
use quetzalworks::catalog;
use quetzalworks::fleet::{Identity, NodeRole};
use quetzalworks::http::{self as server, Client, Handler, Reply, Server};
use quetzalworks::ids::{ChangeId, Fingerprint, Incarnation, RequestId, Revision};
use quetzalworks::platform::{StoreCall, Stream};
use quetzalworks::settings::{self, Limits, Role, Settings};
use quetzalworks::sidecar::Sidecar;
use quetzalworks::standin::{Authority, StandinLog};
use quetzalworks::units::Millis;
use quetzalworks::wire::{self, Node, StreamOpening, TlsIdentity};
use quinn::{Connection, RecvStream, SendStream};
use serde_json::{Value, json};
use smol::channel::{self, Receiver, Sender};

use crate::testing::{http, isolation, wait};

pub const SIDECAR_INCARNATION: Incarnation = Incarnation(7);
const VM: &str = "endpoint-1";
const MAX_BODY: quetzalworks::units::Bytes = quetzalworks::units::Bytes(64 * 1_024);

/// A model engine and plain service that records what it receives and whose
/// answers a test can hold back.
pub struct FakeEndpoint {
    pub boot: Mutex<String>,
    pub calls: AtomicU32,
    pub statuses: AtomicU32,
    pub bodies: Mutex<Vec<Value>>,
    /// Each message lets one request to `/slow` or one engine stream end.
    pub release: Sender<()>,
    released: Receiver<()>,
}

impl Handler for FakeEndpoint {
    async fn handle(&self, req: Request<Incoming>) -> Reply {
        let path = req.uri().path().to_owned();
        if path == "/status" {
            self.statuses.fetch_add(1, Ordering::SeqCst);
            let boot = self.boot.lock().unwrap().clone();
            let status = json!({ "boot": boot, "versions": ["small-1"], "running": 0 });
            return server::json(StatusCode::OK, &status);
        }
        let body = server::read_body(req.into_body(), MAX_BODY, None).await;
        let body = serde_json::from_slice(&body.unwrap()).unwrap_or(Value::Null);
        self.bodies.lock().unwrap().push(body);
        let n = self.calls.fetch_add(1, Ordering::SeqCst) + 1;
        if path == "/v1/chat/completions" {
            let (tx, rx) = channel::bounded(1);
            let released = self.released.clone();
            let task = async move {
                let event = r#"data: {"choices":[{"delta":{"content":"a"}}]}"#;
                let _ = tx.send(Bytes::from(format!("{event}\n\n"))).await;
                // The stream ends here without `[DONE]`, as if it broke off.
                let _ = released.recv().await;
            };
            http::traffic().spawn(task).detach();
            return server::streamed(StatusCode::OK, "text/event-stream", rx);
        }
        if path == "/slow" {
            let _ = self.released.recv().await;
        }
        server::json(StatusCode::CREATED, &n)
    }
}

/// A proxy in front of the log that forwards all requests, but never answers the
/// first `lost` appends to the usage stream.
struct LossyLog {
    log: Client,
    lost: AtomicU32,
}

impl Handler for LossyLog {
    async fn handle(&self, req: Request<Incoming>) -> Reply {
        let (head, body) = req.into_parts();
        let body = server::read_body(body, MAX_BODY, None).await.unwrap();
        let call = StoreCall::decode(&head.method, &head.uri, &body);
        let is_append = matches!(call, Some(StoreCall::Append { topic, .. }) if &*topic == "usage");
        let req = Request::from_parts(head, Full::new(body));
        let answer = self.log.send(req, Duration::from_mins(1)).await.unwrap();
        let status = answer.status;
        let body = answer.bytes(MAX_BODY).await.unwrap();
        let left = self.lost.load(Ordering::SeqCst);
        if is_append && left > 0 {
            self.lost.store(left - 1, Ordering::SeqCst);
            return smol::future::pending().await;
        }
        server::full(status, "application/octet-stream", body)
    }
}

pub struct SidecarFixture {
    pub sidecar: Arc<Sidecar>,
    pub endpoint: Arc<FakeEndpoint>,
    pub log: StandinLog,
    pub connection: Connection,
    pub server: Option<Server>,
    _node: Node,
    _log_proxy: Server,
}

impl SidecarFixture {
    /// Starts a sidecar with a concurrency limit of `limit`; `endpoint` is the
    /// `endpoint` field of its settings.
    pub fn start(endpoint: &Value, limit: u32) -> Self {
        smol::block_on(Self::spawn(endpoint, limit, 0))
    }

    /// Like [`Self::start`], except that the first `lost` appends of usage take
    /// effect but are never answered.
    pub fn start_lossy(endpoint: &Value, limit: u32, lost: u32) -> Self {
        smol::block_on(Self::spawn(endpoint, limit, lost))
    }

    async fn spawn(kind: &Value, limit: u32, lost: u32) -> Self {
        let traffic = http::traffic();
        let log = StandinLog::bind(isolation::free_addr(), &traffic)
            .await
            .unwrap();
        publish(&log);
        let log_proxy = Arc::new(LossyLog {
            log: Client::new(log.addr(), traffic.clone()),
            lost: AtomicU32::new(lost),
        });
        let log_proxy = Server::bind(
            isolation::free_addr(),
            Limits::default(),
            &traffic,
            log_proxy,
        )
        .await
        .unwrap();
        let (release, released) = channel::unbounded();
        let endpoint = Arc::new(FakeEndpoint {
            boot: Mutex::new("boot-1".into()),
            calls: AtomicU32::new(0),
            statuses: AtomicU32::new(0),
            bodies: Mutex::default(),
            release,
            released,
        });
        let server = Server::bind(
            isolation::free_addr(),
            Limits::default(),
            &traffic,
            Arc::clone(&endpoint),
        )
        .await
        .unwrap();
        let dir = isolation::create_test_dir();
        let authority = Authority::generate().unwrap();
        let settings: Settings = settings::parse(
            &json!({
                "vm": VM,
                "domain": "domain-1",
                "region": "region-1",
                "peer_addr": isolation::free_addr(),
                "operations_addr": isolation::free_addr(),
                "platform": { "log_addr": log_proxy.addr(), "inventory_addr": isolation::free_addr() },
                "tls": authority.issue(&VM.parse().unwrap(), &dir).unwrap(),
                "role": { "sidecar": {
                    "endpoint_addr": server.addr(),
                    "endpoint": kind,
                    "cold_limit": limit,
                    "max_concurrent": limit,
                }},
            })
            .to_string(),
        )
        .unwrap();
        let Role::Sidecar(cfg) = &settings.role else {
            unreachable!("the settings name the sidecar role");
        };
        let identity = Identity {
            vm: settings.vm.clone(),
            domain: settings.domain.clone(),
            region: settings.region.clone(),
            incarnation: SIDECAR_INCARNATION,
            role: NodeRole::Sidecar,
        };
        let tls = TlsIdentity::open(&settings.tls).unwrap();
        let node = Node::bind(settings.peer_addr, &tls, &traffic).unwrap();
        let sidecar = Arc::new(Sidecar::spawn(&settings, cfg, identity, node, &traffic).unwrap());
        let tls = authority.issue(&"entry-1".parse().unwrap(), &dir).unwrap();
        let node = Node::bind(
            isolation::free_addr(),
            &TlsIdentity::open(&tls).unwrap(),
            &traffic,
        )
        .unwrap();
        let connection = node
            .connect(&settings.vm, settings.peer_addr)
            .await
            .unwrap();
        let fixture = Self {
            sidecar,
            endpoint,
            log,
            connection,
            server: Some(server),
            _node: node,
            _log_proxy: log_proxy,
        };
        wait::until("the sidecar accepts work", || {
            fixture.sidecar.cx().report().accepting
        });
        fixture
    }

    /// Opens a stream with this first frame, as an entry does.
    pub fn open(&self, opening: &StreamOpening) -> (SendStream, RecvStream) {
        smol::block_on(async {
            let (mut tx, rx) = self.connection.open_bi().await.unwrap();
            wire::write(&mut tx, opening).await.unwrap();
            (tx, rx)
        })
    }

    /// Dispatches an attempt at the request `id` with priority `high`.
    pub fn dispatch(&self, id: u128, work: Work) -> (SendStream, RecvStream) {
        self.open(&StreamOpening::Dispatch(Box::new(Dispatch {
            request: RequestId(id),
            attempt: 1,
            team: "red".parse().unwrap(),
            time_left: Millis(60_000),
            priority: Priority::High,
            fingerprint: Fingerprint(u64::try_from(id).unwrap()),
            alone: false,
            config: None,
            work,
        })))
    }

    /// Number of requests that the endpoint has received, except status queries.
    pub fn calls(&self) -> u32 {
        self.endpoint.calls.load(Ordering::SeqCst)
    }

    /// Requests that have a record in the `usage` stream, in stream order.
    pub fn billed(&self) -> Vec<RequestId> {
        let records = self.log.records(Stream::Usage);
        let request = |record: &Value| {
            assert_eq!(record["written_by"], VM);
            record["request"].as_str().unwrap().parse().unwrap()
        };
        records.iter().map(request).collect()
    }
}

/// Reads the next frame on a stream; panics if there is none within a minute.
pub fn read_frame<T: serde::de::DeserializeOwned>(rx: &mut RecvStream) -> T {
    let deadline = std::time::Instant::now() + Duration::from_mins(1);
    smol::block_on(quetzalworks::runtime::timeout_at(deadline, wire::read(rx)))
        .expect("no frame within a minute")
        .unwrap()
        .expect("the stream ended before the frame")
}

pub fn service_work(path: &str, call: Option<CallRef>) -> Work {
    Work::Service {
        service: "bookings".parse().unwrap(),
        method: "POST".into(),
        path: path.into(),
        content_type: None,
        body: Vec::new(),
        call,
    }
}

pub fn model_work() -> Work {
    Work::Model {
        profile: "chat".parse().unwrap(),
        version: "small-1".parse().unwrap(),
        body: r#"{"model":"chat","messages":[]}"#.into(),
        resume_from: 0,
        resume_text: "".into(),
    }
}

fn publish(log: &StandinLog) {
    let version =
        json!({ "model": "small", "prompt_cost": 100, "output_cost": 300, "prior_quality": 0.8 });
    let profile = json!({ "teams": ["red"], "versions": ["small-1"], "quality_target": 0.7 });
    let objects = [
        ("versions/small-1", json!({ "version": version })),
        ("profiles/chat", json!({ "profile": profile })),
    ];
    for (id, content) in objects {
        publish_change(log, id, 0, content);
    }
}

/// Appends a change of an object whose current revision is `base`.
pub fn publish_change(log: &StandinLog, id: &str, base: u64, content: Value) {
    let change = catalog::Body::Change(catalog::Change {
        id: ChangeId::generate(),
        object: id.parse().unwrap(),
        base: Revision(base),
        content: Some(serde_json::from_value(content).unwrap()),
        author: "test".into(),
    });
    log.append(Stream::Config, &change).unwrap();
}
