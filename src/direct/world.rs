//! Tables of a direct entry.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use crate::balance;
use crate::catalog;
use crate::direct;
use crate::ids;
use crate::peers;
use crate::poison;
use crate::rollout;
use crate::runtime;
use crate::settings;
use crate::table;
use crate::units;

slotmap::new_key_type! {
    /// Key of a row in the table of endpoints.
    pub struct EndpointKey;
}

/// An endpoint known from the store.
#[derive(Debug)]
pub struct EndpointRow {
    /// Status last reported by the endpoint.
    pub record: direct::EndpointRecord,
    /// Load and results, updated by traffic threads.
    pub live: Arc<balance::Live>,
    /// Time until which the endpoint is cold.
    pub cold_until: runtime::Moment,
    /// Time until which the endpoint stays in use although its record is gone,
    /// possibly due to an outage of the store; `None` while it has a record.
    pub retained_until: Option<runtime::Moment>,
}

/// Limit of an endpoint, as the entries share it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LimitRow {
    /// Limit in the store; `None` if there is none.
    pub recorded: Option<direct::NamedLimit>,
    /// Whether the record has changed and is not applied to the endpoint yet.
    pub is_unapplied: bool,
    /// When this entry publishes what it knows, if that is not on record then.
    pub publish_at: Option<runtime::Moment>,
}

/// Results of a rollout at the other entries together.
#[derive(Clone, Debug, Default)]
pub struct PeerResults {
    /// Sum of their results.
    pub tallies: direct::Tallies,
    /// Number of entries in the sum.
    pub entries: usize,
    /// When they were last read; `None` before.
    pub read_at: Option<runtime::Moment>,
}

/// Rollout of a service, as seen by this entry.
#[derive(Debug)]
pub struct RolloutRow {
    /// Order of the operator.
    pub order: direct::RolloutOrder,
    /// State at this entry.
    pub canary: rollout::AnyCanary,
    /// Results by version, added by traffic threads.
    pub evidence: Arc<direct::Evidence>,
    /// Results of the other entries.
    pub peers: PeerResults,
    /// Results of this entry as last handed over to be shared.
    pub shared: direct::Tallies,
    /// When an exchange of results was last requested, at first the time of the order.
    pub exchange_requested_at: runtime::Moment,
    /// Verdict of the last evaluation.
    pub verdict: rollout::Verdict,
    /// When the results were last evaluated.
    pub evaluated_at: runtime::Moment,
    /// Attempts on the new version, and their failures, when the evidence was last logged.
    pub logged: (u32, u32),
    /// When the evidence was last logged.
    pub logged_at: runtime::Moment,
    /// Stage recorded in the store for the order's version; `None` if there is none.
    pub recorded: Option<rollout::Stage>,
    /// When this entry learnt the recorded stage, or the order without one.
    pub recorded_at: runtime::Moment,
    /// When the report of this entry's stage was last requested or failed, so that it
    /// is not repeated at every tick; `None` before the first request.
    pub report_requested_at: Option<runtime::Moment>,
}

/// Complete control state of a direct entry; owned by the control thread.
#[derive(Debug)]
pub struct World {
    /// This process of the entry; one that starts later has a greater number.
    pub process: ids::Incarnation,
    /// Settings of the process, as last loaded.
    pub settings: settings::Direct,
    /// Current configuration; `None` before it has been read.
    pub deployment: Option<Arc<catalog::Deployment>>,
    /// Whether the newest record of the configuration could not be decoded, so that the current
    /// one may have withdrawn any key.
    pub is_deployment_unreadable: bool,
    /// Endpoints by id, in service or not.
    pub endpoints: table::Table<EndpointKey, ids::EndpointId, EndpointRow>,
    /// Limits that endpoints name, by endpoint; only those on record or to be published.
    pub limits: HashMap<ids::EndpointId, LimitRow>,
    /// Ordered rollouts, by service.
    pub rollouts: HashMap<ids::ServiceName, RolloutRow>,
    /// Versions that were rolled back by earlier orders.
    pub withdrawn: direct::WithdrawnVersions,
    /// Newest rollout reports in the store, by service.
    pub reports: HashMap<ids::ServiceName, direct::RolloutReport>,
    /// Read position in the reports' topic; `None` before the first read.
    pub reports_end: Option<ids::Position>,
    /// Requests suspected of crashing endpoints.
    pub suspects: Arc<poison::Suspects>,
    /// Failure domains that operators have taken out of service.
    pub domains_out_of_service: HashSet<ids::DomainName>,
    /// Availability of the store, by topic.
    pub health: HashMap<direct::Source, direct::StoreHealth>,
    /// Last confirmation of the configuration; `None` before the first.
    pub config_confirmed: Option<direct::Confirmation>,
    /// Share of this entry in limits that apply to all entries together.
    pub share: balance::AnyFleetShare,
    /// Last confirmation of the leases of the share; `None` before the first.
    pub share_confirmed: Option<direct::Confirmation>,
    /// Start of the last read of the endpoints; `None` before the first.
    pub endpoints_confirmed: Option<runtime::Moment>,
    /// Whether a complete listing of the endpoints has been read.
    pub endpoints_listed: bool,
    /// Entries that read for each other.
    pub members: peers::Members,
    /// What this entry does about reads that all entries need.
    pub duty: Arc<peers::Duty>,
}

impl World {
    /// Creates empty tables, as at the start of the process.
    #[must_use]
    pub fn new(settings: settings::Direct) -> Self {
        Self {
            process: ids::Incarnation::at_start(runtime::since_epoch()),
            settings,
            deployment: None,
            is_deployment_unreadable: false,
            endpoints: table::Table::default(),
            limits: HashMap::new(),
            rollouts: HashMap::new(),
            withdrawn: direct::WithdrawnVersions::default(),
            reports: HashMap::new(),
            reports_end: None,
            suspects: Arc::default(),
            domains_out_of_service: HashSet::new(),
            health: HashMap::new(),
            config_confirmed: None,
            share: balance::AnyFleetShare::default(),
            share_confirmed: None,
            endpoints_confirmed: None,
            endpoints_listed: false,
            members: peers::Members::default(),
            duty: Arc::default(),
        }
    }

    /// Availability of the store for one topic; the default before the first read.
    #[must_use]
    pub fn health(&self, source: direct::Source) -> direct::StoreHealth {
        self.health.get(&source).copied().unwrap_or_default()
    }

    /// Records a successful read of a topic and logs the end of an outage.
    pub fn record_read(&mut self, source: direct::Source, now: runtime::Moment) {
        if self.health.entry(source).or_default().succeeded(now) {
            log::info!(target: "store", source:% = source; "store regained");
        }
    }

    /// Records a failed read of a topic and logs the start of an outage.
    pub fn record_read_failure(&mut self, source: direct::Source, reason: &str) {
        if self.health.entry(source).or_default().failed() {
            log::warn!(target: "store", source:% = source, reason:% = reason; "store lost");
        }
    }

    /// Returns the leases by which this entry gets its part of a rate over all entries.
    #[must_use]
    pub fn leases(&self, now: runtime::Moment) -> balance::HeldLeases {
        let age = self.share_confirmed.map(|last| last.age(now));
        self.share.leases(age)
    }

    /// Wait that is expected of an endpoint of the service that has not answered yet; `None`
    /// before any of its endpoints has.
    #[must_use]
    pub fn usual_wait(&self, service: &ids::ServiceName) -> Option<Duration> {
        let rows = self.endpoints.iter().map(|(_, row)| row);
        let others = rows.filter(|row| row.record.service == *service);
        balance::usual_wait(None, others.filter_map(|row| row.live.usual_wait()))
    }

    /// How long an endpoint of a service is cold after its start; see [`cold_duration`].
    #[must_use]
    pub fn cold_duration(&self, service: &ids::ServiceName) -> Duration {
        cold_duration(self.deployment.as_deref(), service)
    }
}

impl EndpointRow {
    /// Lets the endpoint find its pace, as it has started or returned. `share` is that of
    /// this entry in the limits over all entries, `usual` the wait expected of an endpoint
    /// of the service; `None` if it is not known.
    pub fn start_pace(&self, share: units::Share, usual: Option<Duration>) {
        let bounds = balance::Bounds {
            slots: self.record.slots,
            share,
        };
        self.live.start(bounds, usual);
    }
}

/// How long an endpoint of a service is cold after its start; zero when the
/// configuration or the service is unknown.
#[must_use]
pub fn cold_duration(
    deployment: Option<&catalog::Deployment>,
    service: &ids::ServiceName,
) -> Duration {
    deployment
        .and_then(|deployment| deployment.services.get(service))
        .map_or(Duration::ZERO, |upstream| upstream.cold_duration())
}
