//! The metrics of a process, exported in the Prometheus text format.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, LazyLock};
use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter, MeterProvider, UpDownCounter};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

use crate::control;
use crate::errors;
use crate::fleet;
use crate::ids;
use crate::runtime;

/// Upper bounds of the latency buckets, in seconds. They include the target of
/// 1.7 s for the first token and the default deadline of 60 s.
const LATENCY_BUCKETS: [f64; 14] = [
    0.001, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 1.7, 5.0, 15.0, 60.0, 300.0,
];

/// Upper bounds of the buckets for the age of the configuration, in seconds. Keys are refused
/// from 4.7 s on where a withdrawn key may be accepted for 5 s.
const CONFIG_AGE_BUCKETS: [f64; 10] = [0.25, 0.5, 1.0, 1.5, 2.0, 2.5, 3.0, 4.0, 4.5, 4.7];

static METRICS: LazyLock<Metrics> = LazyLock::new(Metrics::new);

/// Returns the metrics of this process, which are created on first use.
#[must_use]
pub fn metrics() -> &'static Metrics {
    &METRICS
}

/// Outcome and timing of a request to a direct entry.
#[derive(Clone, Copy, Debug)]
pub struct DirectRequestEnd<'a> {
    /// Name of the route; empty where no route matched the request.
    pub route: &'a str,
    /// Outcome of the request, the value of the label `outcome`.
    pub outcome: &'static str,
    /// HTTP status of the answer; 0 where there was none.
    pub status: u16,
    /// Time to the first part of the answer; `None` where there was none.
    pub first_byte: Option<Duration>,
    /// Time to the end of the request.
    pub total: Duration,
}

/// The instruments of a process and the registry from which they are exported.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    // Instruments stop counting when their provider is dropped.
    _provider: SdkMeterProvider,
    meter: Meter,
    requests: Counter<u64>,
    first_token: Histogram<f64>,
    latency: Histogram<f64>,
    attempts: Counter<u64>,
    retries: Counter<u64>,
    outbox: AtomicU64,
    direct_requests: Counter<u64>,
    direct_latency: Histogram<f64>,
    direct_first: Histogram<f64>,
    direct_attempts: Counter<u64>,
    store_calls: Counter<u64>,
    store_latency: Histogram<f64>,
    store_restores: Counter<u64>,
    relays_sent: Counter<u64>,
    config_age: Histogram<f64>,
    relay_age: Histogram<f64>,
    follow_ends: Counter<u64>,
    log_dropped: Counter<u64>,
    rollout_verdicts: Counter<u64>,
    endpoints_closed: Counter<u64>,
    connections_closed: Counter<u64>,
    load: LoadMetrics,
}

/// Instruments of the decisions under load.
#[derive(Debug)]
struct LoadMetrics {
    endpoint_paces: Counter<u64>,
    named_limits: Counter<u64>,
    waiting: UpDownCounter<i64>,
    waited: Counter<u64>,
    refused: Counter<u64>,
    endpoint_work_time: Gauge<f64>,
    endpoint_speed: Gauge<f64>,
    escalations: Counter<u64>,
}

impl LoadMetrics {
    fn new(meter: &Meter) -> Self {
        let gauge = |name: &'static str, text: &'static str| {
            meter.f64_gauge(name).with_description(text).build()
        };
        let count = |name: &'static str, text: &'static str| {
            meter.u64_counter(name).with_description(text).build()
        };
        Self {
            endpoint_paces: count(
                "quetzalworks_endpoint_paces",
                "Changes of the pace of an endpoint, by the stage that it reached and the cause.",
            ),
            named_limits: count(
                "quetzalworks_named_limits",
                "Limits for all entries that endpoints have named, changed or lifted.",
            ),
            waiting: meter
                .i64_up_down_counter("quetzalworks_waiting")
                .with_description("Requests that wait for a place at an endpoint, by service.")
                .build(),
            waited: count(
                "quetzalworks_waited",
                "Requests that have waited for a place, by service and end of the wait.",
            ),
            refused: count(
                "quetzalworks_refused",
                "Requests that were refused without a place, by service and outlook.",
            ),
            endpoint_work_time: gauge(
                "quetzalworks_endpoint_work_time",
                "Work time that an endpoint stated last, as a multiple of the usual.",
            ),
            endpoint_speed: gauge(
                "quetzalworks_endpoint_usual_work_time",
                "Usual work time of an endpoint, as learned, as a multiple of its service's.",
            ),
            escalations: count(
                "quetzalworks_escalations",
                "Decisions about answers of smaller models, by route and decision.",
            ),
        }
    }
}

impl Metrics {
    fn new() -> Self {
        let registry = Registry::new();
        let mut provider = SdkMeterProvider::builder();
        match opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_scope_info()
            .build()
        {
            Ok(exporter) => provider = provider.with_reader(exporter),
            Err(err) => log::error!("control: cannot export metrics: {err}."),
        }
        let provider = provider.build();
        let meter = provider.meter("quetzalworks");
        let seconds = |name: &'static str, text: &'static str, buckets: &[f64]| {
            meter
                .f64_histogram(name)
                .with_description(text)
                .with_unit("s")
                .with_boundaries(buckets.to_vec())
                .build()
        };
        let latency = |name, text| seconds(name, text, &LATENCY_BUCKETS);
        let count = |name: &'static str, text: &'static str| {
            meter.u64_counter(name).with_description(text).build()
        };
        Self {
            requests: count("quetzalworks_requests", "Requests by result code."),
            first_token: latency("quetzalworks_first_token", "Time to the first token."),
            latency: latency("quetzalworks_latency", "Time to the end of the answer."),
            attempts: count("quetzalworks_attempts", "Attempts at endpoints."),
            retries: count(
                "quetzalworks_retries",
                "Attempts after the first of a request.",
            ),
            outbox: AtomicU64::new(0),
            direct_requests: count(
                "quetzalworks_direct_requests",
                "Requests of a direct entry by route, outcome and status.",
            ),
            direct_latency: latency(
                "quetzalworks_direct_latency",
                "Time to the end of the answer, by route and outcome.",
            ),
            direct_first: latency(
                "quetzalworks_direct_first",
                "Time to the first part of the answer, by route.",
            ),
            direct_attempts: count(
                "quetzalworks_direct_attempts",
                "Attempts at endpoints by endpoint and result.",
            ),
            store_calls: count(
                "quetzalworks_store_calls",
                "Calls of the store by kind and result.",
            ),
            store_latency: latency("quetzalworks_store_latency", "Time of a call of the store."),
            store_restores: count(
                "quetzalworks_store_restores",
                "Times at which the store has come back from an older copy.",
            ),
            relays_sent: count(
                "quetzalworks_relays_sent",
                "Answers to entries that follow this one, by topic.",
            ),
            config_age: seconds(
                "quetzalworks_config_age",
                "Time since the configuration was proven current, of requests admitted by a key.",
                &CONFIG_AGE_BUCKETS,
            ),
            relay_age: latency(
                "quetzalworks_relay_age",
                "Age of the read of the store in an answer of the followed entry, by topic.",
            ),
            follow_ends: count(
                "quetzalworks_follow_ends",
                "Times at which this entry stopped following another one, by topic and reason.",
            ),
            log_dropped: count(
                "quetzalworks_log_dropped",
                "Log lines that were not written.",
            ),
            endpoints_closed: count(
                "quetzalworks_endpoints_closed",
                "Endpoints that said in an answer that they leave or want a pause, by reason.",
            ),
            load: LoadMetrics::new(&meter),
            connections_closed: count(
                "quetzalworks_connections_closed",
                "Callers' connections that were closed, or whose request was ended, by reason.",
            ),
            rollout_verdicts: count(
                "quetzalworks_rollout_verdicts",
                "Changes of the judgement of a version in rollout, by service and verdict.",
            ),
            registry,
            _provider: provider,
            meter,
        }
    }

    /// Registers gauges of the control state and of the usage outbox. They are
    /// read at each export for the rest of the life of the process.
    pub fn register_gauges(&'static self, vm: &ids::VmName, control: &control::Control) {
        let label = KeyValue::new("vm", vm.to_string());
        let (labels, source) = (label.clone(), control.clone());
        self.meter
            .u64_observable_gauge("quetzalworks_endpoints")
            .with_description("Connected endpoints by warmth.")
            .with_callback(move |gauge| {
                let snapshot = source.snapshot();
                for warmth in [
                    fleet::Warmth::Cold,
                    fleet::Warmth::Ramping,
                    fleet::Warmth::Warm,
                ] {
                    let all = snapshot.endpoints.values();
                    let count = all.filter(|view| view.report.warmth == warmth).count();
                    let warmth = KeyValue::new("warmth", warmth.to_string());
                    gauge.observe(count as u64, &[labels.clone(), warmth]);
                }
            })
            .build();
        let (labels, source) = (label.clone(), control.clone());
        self.meter
            .u64_observable_gauge("quetzalworks_config_offset")
            .with_description("Last configuration record in force.")
            .with_callback(move |gauge| {
                if let Some(offset) = source.snapshot().config {
                    gauge.observe(offset.0, std::slice::from_ref(&labels));
                }
            })
            .build();
        let source = control.clone();
        self.meter
            .u64_observable_gauge("quetzalworks_log_available")
            .with_description("1 while the platform's log answers.")
            .with_callback(move |gauge| {
                let available = source.snapshot().log_available;
                gauge.observe(u64::from(available), std::slice::from_ref(&label));
            })
            .build();
        self.meter
            .u64_observable_gauge("quetzalworks_outbox")
            .with_description("Usage records that are not durable yet.")
            .with_callback(|gauge| gauge.observe(self.outbox.load(Ordering::Relaxed), &[]))
            .build();
    }

    /// Registers a counter of the bytes between the system's own processes.
    pub fn register_peer_bytes(&'static self, vm: &ids::VmName, bytes: Arc<runtime::PeerBytes>) {
        let label = KeyValue::new("vm", vm.to_string());
        self.meter
            .u64_observable_counter("quetzalworks_peer_bytes")
            .with_description("Bytes from and to own processes, without IP and UDP headers.")
            .with_callback(move |counter| {
                for (direction, count) in [("out", bytes.sent()), ("in", bytes.received())] {
                    let direction = KeyValue::new("direction", direction);
                    counter.observe(count, &[label.clone(), direction]);
                }
            })
            .build();
    }

    /// Counts a request that has ended and records its duration; `result` is `None`
    /// where the request was answered.
    pub fn record_end(&self, result: Option<errors::ResultCode>, after: Duration) {
        let code = result.map_or(0, errors::ResultCode::number);
        let label = KeyValue::new("code", i64::from(code));
        self.requests.add(1, std::slice::from_ref(&label));
        self.latency.record(after.as_secs_f64(), &[]);
    }

    /// Records the time to the first token of an answer.
    pub fn record_first_token(&self, after: Duration) {
        self.first_token.record(after.as_secs_f64(), &[]);
    }

    /// Counts an attempt that begins; `number` is its position among the attempts of
    /// the request, from 1. Attempts after the first are counted as retries too.
    pub fn record_attempt(&self, number: u16) {
        self.attempts.add(1, &[]);
        if number > 1 {
            self.retries.add(1, &[]);
        }
    }

    /// Counts a request to a direct entry that has ended, and records its timing.
    pub fn record_direct_end(&self, ended: &DirectRequestEnd<'_>) {
        let route = KeyValue::new("route", ended.route.to_owned());
        let outcome = KeyValue::new("outcome", ended.outcome);
        let labels = [
            route,
            outcome,
            KeyValue::new("status", i64::from(ended.status)),
        ];
        self.direct_requests.add(1, &labels);
        let [route, outcome, _] = &labels;
        let total = ended.total.as_secs_f64();
        self.direct_latency
            .record(total, &[route.clone(), outcome.clone()]);
        if let Some(first) = ended.first_byte {
            self.direct_first
                .record(first.as_secs_f64(), std::slice::from_ref(route));
        }
    }

    /// Counts an attempt of a direct entry at an endpoint that has ended with `result`.
    pub fn record_direct_attempt(&self, endpoint: &ids::EndpointId, result: &'static str) {
        let labels = [
            KeyValue::new("endpoint", endpoint.to_string()),
            KeyValue::new("result", result),
        ];
        self.direct_attempts.add(1, &labels);
    }

    /// Counts a call to the store that has ended, and records its duration.
    pub fn record_store_call(&self, call: &'static str, result: &'static str, after: Duration) {
        let call = KeyValue::new("call", call);
        self.store_latency
            .record(after.as_secs_f64(), std::slice::from_ref(&call));
        self.store_calls
            .add(1, &[call, KeyValue::new("result", result)]);
    }

    /// Counts an answer to an entry that follows this one.
    pub fn record_relay_sent(&self, topic: &'static str) {
        self.relays_sent.add(1, &[KeyValue::new("topic", topic)]);
    }

    /// Records the age of the read in an answer of the followed entry.
    pub fn record_relay_received(&self, topic: &'static str, age: Duration) {
        let topic = KeyValue::new("topic", topic);
        self.relay_age.record(age.as_secs_f64(), &[topic]);
    }

    /// Records the age of the configuration by which a key was accepted.
    pub fn record_config_age(&self, age: Duration) {
        self.config_age.record(age.as_secs_f64(), &[]);
    }

    /// Counts a return of the store from an older copy.
    pub fn record_store_restored(&self) {
        self.store_restores.add(1, &[]);
    }

    /// Counts an end of following another entry.
    pub fn record_follow_end(&self, topic: &'static str, reason: &'static str) {
        let labels = [
            KeyValue::new("topic", topic),
            KeyValue::new("reason", reason),
        ];
        self.follow_ends.add(1, &labels);
    }

    /// Counts an endpoint that has said in an answer that it wants no requests.
    pub fn record_endpoint_closed(&self, reason: &'static str) {
        self.endpoints_closed
            .add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts a change of the pace of an endpoint.
    pub fn record_endpoint_pace(&self, stage: &'static str, cause: &'static str) {
        let labels = [KeyValue::new("stage", stage), KeyValue::new("cause", cause)];
        self.load.endpoint_paces.add(1, &labels);
    }

    /// Counts a change of the limit that an endpoint names for all entries.
    pub fn record_named_limit(&self, change: &'static str) {
        let change = KeyValue::new("change", change);
        self.load.named_limits.add(1, &[change]);
    }

    /// Counts a request that begins to wait for a place at an endpoint.
    pub fn record_wait_begin(&self, service: &ids::ServiceName) {
        let service = KeyValue::new("service", service.to_string());
        self.load.waiting.add(1, &[service]);
    }

    /// Counts a request that has ended to wait for a place.
    pub fn record_wait_end(&self, service: &ids::ServiceName, end: &'static str) {
        let service = KeyValue::new("service", service.to_string());
        self.load.waiting.add(-1, std::slice::from_ref(&service));
        self.load
            .waited
            .add(1, &[service, KeyValue::new("end", end)]);
    }

    /// Counts a request that is refused without a place, by what its caller can expect.
    pub fn record_refused(&self, service: &ids::ServiceName, outlook: &'static str) {
        let service = KeyValue::new("service", service.to_string());
        self.load
            .refused
            .add(1, &[service, KeyValue::new("outlook", outlook)]);
    }

    /// Records the speed of an endpoint that states its work time: the stated one, and the
    /// usual one as learned, both as multiples of the usual one of its service.
    pub fn record_endpoint_speed(&self, endpoint: &ids::EndpointId, stated: f64, usual: f64) {
        let labels = [KeyValue::new("endpoint", endpoint.to_string())];
        self.load.endpoint_work_time.record(stated, &labels);
        self.load.endpoint_speed.record(usual, &labels);
    }

    /// Counts a decision about an answer of a smaller model.
    pub fn record_escalation(&self, route: &str, decision: &'static str) {
        let route = KeyValue::new("route", route.to_owned());
        self.load
            .escalations
            .add(1, &[route, KeyValue::new("decision", decision)]);
    }

    /// Counts a caller's connection that is closed, or whose request is ended, for its lack
    /// of progress.
    pub fn record_connection_closed(&self, reason: &'static str) {
        self.connections_closed
            .add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts a change of the judgement of a version that is rolled out.
    pub fn record_rollout_verdict(&self, service: &ids::ServiceName, verdict: &'static str) {
        let service = KeyValue::new("service", service.to_string());
        self.rollout_verdicts
            .add(1, &[service, KeyValue::new("verdict", verdict)]);
    }

    /// Counts log lines that were dropped instead of written.
    pub fn record_log_dropped(&self, lines: u64) {
        self.log_dropped.add(lines, &[]);
    }

    /// Sets the number of usage records that are not durable yet.
    pub fn set_outbox(&self, records: usize) {
        self.outbox.store(records as u64, Ordering::Relaxed);
    }

    /// Encodes all metrics in the Prometheus text format. Fails where a metric
    /// cannot be encoded.
    pub fn text(&self) -> Result<String, prometheus::Error> {
        TextEncoder::new().encode_to_string(&self.registry.gather())
    }
}
