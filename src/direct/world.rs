//! The tables of a direct entry.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use crate::balance;
use crate::catalog;
use crate::direct;
use crate::ids;
use crate::poison;
use crate::rollout;
use crate::runtime;
use crate::settings;
use crate::table;

slotmap::new_key_type! {
    /// Key of an endpoint.
    pub struct EndpointKey;
}

/// An endpoint as the store lists it.
#[derive(Debug)]
pub struct EndpointRow {
    /// What it last reported.
    pub record: direct::EndpointRecord,
    /// Load and results, kept by traffic.
    pub live: Arc<balance::Live>,
    /// Until when it is cold.
    pub cold_until: runtime::Moment,
    /// Until when it stays in use without a record, where that may be due to
    /// an outage of the store.
    pub lapsed_until: Option<runtime::Moment>,
}

/// A roll-out of a service.
#[derive(Debug)]
pub struct RolloutRow {
    /// The order.
    pub order: direct::RolloutOrder,
    /// How far it is here.
    pub canary: rollout::AnyCanary,
    /// Results by version.
    pub evidence: Arc<direct::Evidence>,
    /// What is on record.
    pub reported: Option<rollout::Stage>,
    /// Since when this entry knows it.
    pub reported_at: runtime::Moment,
    /// When the pending report was asked for; reports are not repeated at every tick.
    pub asked: Option<runtime::Moment>,
}

/// All control state of a direct entry; only the control thread has it.
#[derive(Debug)]
pub struct World {
    /// Settings of the process.
    pub settings: settings::Direct,
    /// Configuration in force.
    pub deployment: Option<Arc<catalog::Deployment>>,
    /// Endpoints.
    pub endpoints: table::Table<EndpointKey, ids::EndpointId, EndpointRow>,
    /// Roll-outs by service.
    pub rollouts: HashMap<ids::ServiceName, RolloutRow>,
    /// Reports on record, by service.
    pub reports: HashMap<ids::ServiceName, direct::RolloutReport>,
    /// End of the topic of reports, as far as it has been read.
    pub reports_end: Option<ids::Offset>,
    /// Requests whose endpoints have crashed.
    pub suspects: Arc<poison::Suspects>,
    /// Failure domains that are taken out.
    pub domains_out: HashSet<ids::DomainName>,
    /// Health of the store by topic.
    pub health: HashMap<direct::Source, direct::StoreHealth>,
    /// How current the configuration is known to be.
    pub freshness: Arc<direct::Freshness>,
    /// Whether the list of endpoints has been read once.
    pub listed: bool,
}

impl World {
    /// Empty tables.
    #[must_use]
    pub fn new(settings: settings::Direct) -> Self {
        Self {
            settings,
            deployment: None,
            endpoints: table::Table::default(),
            rollouts: HashMap::new(),
            reports: HashMap::new(),
            reports_end: None,
            suspects: Arc::default(),
            domains_out: HashSet::new(),
            health: HashMap::new(),
            freshness: Arc::default(),
            listed: false,
        }
    }

    /// Health of the store for one topic.
    #[must_use]
    pub fn health(&self, source: direct::Source) -> direct::StoreHealth {
        self.health.get(&source).copied().unwrap_or_default()
    }

    /// A read of a topic has succeeded.
    pub fn store_answered(&mut self, source: direct::Source, now: runtime::Moment) {
        if self.health.entry(source).or_default().succeeded(now) {
            log::info!(target: "store", source:% = source; "store regained");
        }
    }

    /// A read of a topic has failed.
    pub fn store_failed(&mut self, source: direct::Source, reason: &str) {
        if self.health.entry(source).or_default().failed() {
            log::warn!(target: "store", source:% = source, reason:% = reason; "store lost");
        }
    }

    /// How long an endpoint of a service is cold after its start.
    #[must_use]
    pub fn cold_span(&self, service: &ids::ServiceName) -> Duration {
        cold_span(self.deployment.as_deref(), service)
    }
}

/// How long an endpoint of a service is cold after its start; zero where the
/// configuration or the service is not known.
#[must_use]
pub fn cold_span(deployment: Option<&catalog::Deployment>, service: &ids::ServiceName) -> Duration {
    deployment
        .and_then(|deployment| deployment.services.get(service))
        .map_or(Duration::ZERO, |upstream| upstream.cold_span())
}
