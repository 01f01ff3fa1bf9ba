//! Control state of a direct entry under test, driven tick by tick.

use std::sync::Arc;

use quetzalworks::direct::{
    Batch, EndpointChange, EndpointRecord, Event, OperatorChange, Plane, Scope, Snapshot, World,
};
use quetzalworks::ids::{Offset, Position};
use quetzalworks::observe::LeftOut;
use quetzalworks::platform::{direct_settings, endpoint_record, operator};
use quetzalworks::runtime::Moment;
use quetzalworks::{direct, settings};
use serde_json::{Value, json};

pub const SETTINGS: &str = r#"
NodeName = "edge-north-1"
Zone = "north"
HeartbeatMs = 1200
UnknownField = [1, 2]
[Zones]
north = "region"
south = "region"
[ListenAddrs]
Front = "127.0.0.1:1"
Ready = "127.0.0.1:2"
[Platform]
Address = "127.0.0.1:3"
[ContractParams]
DrainMs = 2000
GraceS = 8
StrictRevoke = true
RevokeMs = 5000
BudgetRatio = 0.9
BudgetWindowS = 10
ExposeShare = 0.15
"#;

pub fn settings() -> settings::Direct {
    direct_settings::parse(SETTINGS).unwrap()
}

/// Configuration with four routes over the services `writer` and `desk`.
pub fn config(version: u64) -> Value {
    json!({
        "Version": version,
        "Routes": [
            { "Name": "r-chat", "Host": "example.test", "PathPrefix": "/chat/", "Kind": "streaming",
              "TimeoutMs": 5000, "TargetLatencyMs": 1000, "Priority": 1, "Service": "writer",
              "Sizes": ["small", "large"], "MaxAttempts": 3, "Sticky": true, "StreamResume": true,
              "GapAimMs": 500 },
            { "Name": "r-hold", "Host": "example.test", "PathPrefix": "/hold/", "Kind": "non_idempotent",
              "TimeoutMs": 2000, "TargetLatencyMs": 150, "Service": "desk", "MaxAttempts": 1 },
            { "Name": "r-look", "Host": "example.test", "PathPrefix": "/look/", "Kind": "idempotent",
              "TimeoutMs": 2000, "TargetLatencyMs": 150, "Service": "desk", "MaxAttempts": 2 },
            { "Name": "r-open", "Host": "example.test", "PathPrefix": "/open/", "Kind": "idempotent",
              "TimeoutMs": 2000, "Service": "desk", "AllowAnonymous": true },
        ],
        "Services": [
            { "Name": "writer", "MaxConnections": 64, "WarmupS": 3.0, "WarmupPerS": 18.0,
              "Engine": { "KvCapacity": 1000, "Models": [
                  { "Name": "small", "Cost": 0.02 }, { "Name": "large", "Cost": 0.3 } ] } },
            { "Name": "desk", "MaxConnections": 64 },
        ],
        "Limits": { "MaxHeaderBytes": 4096, "MaxBodyBytes": 65536, "HeaderTimeoutMs": 3000,
                    "IdleTimeoutMs": 15000 },
        "Tenants": [ { "Name": "red", "ApiKeys": ["key-red"], "Priority": 2 } ],
    })
}

/// Position in the first era of the store.
pub fn position(offset: u64) -> Position {
    Position {
        offset: Offset(offset),
        ..Position::default()
    }
}

/// Record of a warm endpoint of `service`, in the platform's format.
pub fn entry(service: &str, version: &str, sequence: u64) -> Value {
    json!({
        "Service": service, "Address": "127.0.0.1:9", "Zone": "north", "Version": version, "Slots": 4,
        "State": "ready", "WarmupLeftMs": 0, "Sequence": sequence, "born": 1_000,
    })
}

pub fn operator_change(key: &str, value: Option<&Value>) -> OperatorChange {
    let value = value.map(|value| value.to_string().into());
    operator::decode(key, value.as_ref(), &mut LeftOut::default()).unwrap()
}

pub fn record(id: &str, value: &Value) -> EndpointRecord {
    endpoint_record::decode(id, &value.to_string().into()).unwrap()
}

/// Control plane with a simulated clock, its last snapshot and all its effects.
pub struct TestWorld {
    plane: Plane,
    pub now: Moment,
    pub snapshot: Arc<Snapshot>,
    pub effects: Vec<direct::Effect>,
}

impl TestWorld {
    /// Creates a world with version 1 of the configuration and no rollout reports.
    pub fn new() -> Self {
        let mut world = Self::before_reports();
        world.reports(true, vec![], 0);
        world
    }

    /// Creates a world in which the rollout reports have not been read yet.
    pub fn before_reports() -> Self {
        let mut world = Self {
            plane: Plane::new(World::new(settings())),
            now: Moment::from_millis(100_000),
            snapshot: Arc::default(),
            effects: Vec::new(),
        };
        world.operator(true, vec![operator_change("config", Some(&config(1)))]);
        world
    }

    pub fn tick(&mut self, events: Vec<Event>) {
        let outcome = self.plane.step(self.now, events);
        if let Some(snapshot) = outcome.snapshot {
            self.snapshot = Arc::new(snapshot);
        }
        self.effects.extend(outcome.effects);
    }

    /// Advances the clock in ticks of 100 ms.
    pub fn advance(&mut self, millis: u64) {
        for _ in 0..millis / 100 {
            self.now = self
                .now
                .saturating_add(std::time::Duration::from_millis(100));
            self.tick(vec![]);
        }
    }

    /// Returns the records of a complete listing, or those since the last read.
    fn batch<T>(&self, complete: bool, items: Vec<T>, end: u64) -> Batch<T> {
        Batch {
            scope: if complete {
                Scope::Complete
            } else {
                Scope::News
            },
            items,
            end: position(end),
            confirmed: Some(self.now),
        }
    }

    pub fn operator(&mut self, complete: bool, changes: Vec<OperatorChange>) {
        let batch = self.batch(complete, changes, 0);
        self.tick(vec![Event::Operator(batch)]);
    }

    pub fn endpoints(&mut self, complete: bool, changes: Vec<EndpointChange>) {
        let batch = self.batch(complete, changes, 0);
        self.tick(vec![Event::Endpoints(batch)]);
    }

    pub fn reports(&mut self, complete: bool, reports: Vec<direct::RolloutReport>, end: u64) {
        let batch = self.batch(complete, reports, end);
        self.tick(vec![Event::Reports(batch)]);
    }

    pub fn store_fails(&mut self) {
        let failed = direct::Source::Endpoints;
        self.tick(vec![Event::ReadFailed(failed, "test".into())]);
    }

    /// Ids of the usable endpoints of a service.
    pub fn usable(&self, service: &str) -> Vec<String> {
        let service = self.snapshot.services.get(&service.parse().unwrap());
        service.map_or_else(Vec::new, |view| {
            let endpoints = view.endpoints.iter();
            endpoints
                .map(|endpoint| endpoint.record.id.to_string())
                .collect()
        })
    }

    /// Lists these endpoints of `writer`, each with its version, as the only ones.
    pub fn writers(&mut self, endpoints: &[(&str, &str)]) {
        let seen = endpoints
            .iter()
            .map(|(id, version)| EndpointChange::Seen(record(id, &entry("writer", version, 1))))
            .collect();
        self.endpoints(true, seen);
    }
}
