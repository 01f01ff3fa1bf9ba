//! Read-only view of the control state for traffic threads.

use std::collections::HashMap;
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
use crate::units;

/// An endpoint that is in service.
#[derive(Clone, Debug)]
pub struct EndpointView {
    /// Status last reported by the endpoint.
    pub record: direct::EndpointRecord,
    /// Load and results, updated by traffic threads.
    pub live: Arc<balance::Live>,
    /// Time until which the endpoint is cold.
    pub cold_until: runtime::Moment,
    /// Region of its failure domain; `None` if the settings do not list the domain.
    pub region: Option<ids::RegionName>,
    /// Whether it is a model engine, which reports its status on request.
    pub is_engine: bool,
}

impl EndpointView {
    /// Checks whether the endpoint takes another request of this entry, which has this share
    /// of what the endpoint can carry.
    #[must_use]
    pub fn admission(&self, share: units::Share, now: runtime::Moment) -> balance::Admission {
        let slots = self.record.slots;
        self.live.admission(balance::Bounds { slots, share }, now)
    }

    /// Returns how long a request has to wait because all entries together may send the
    /// endpoint only so many; `None` if none is allowed.
    #[must_use]
    pub fn permit_delay(
        &self,
        rates: &balance::SharedRates,
        now: runtime::Moment,
    ) -> Option<Duration> {
        self.live
            .permit_delay(&self.record.id, self.cold_until, rates, now)
    }
}

/// How the requests of a service are split over its versions.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum VersionSplit {
    /// All versions are used alike.
    #[default]
    All,
    /// The split follows the stage of a rollout.
    Canary(rollout::AnyCanary),
    /// This version is avoided until the stage of its rollout is known.
    StageUnknown(ids::VersionName),
}

/// A configured service with its usable endpoints.
#[derive(Clone, Debug)]
pub struct ServiceView {
    /// Configuration of the service.
    pub upstream: Arc<catalog::Upstream>,
    /// Endpoints in service, in order of their ids.
    pub endpoints: Vec<Arc<EndpointView>>,
    /// Split of the requests over versions.
    pub split: VersionSplit,
    /// Where traffic adds its results; `None` without a rollout, or once it was rolled back.
    /// Those after its completion tell only the log whether that was right.
    pub evidence: Option<Arc<direct::Evidence>>,
}

/// Control state as traffic sees it; rebuilt when any of it changes.
#[derive(Debug, Default)]
pub struct Snapshot {
    /// Current configuration; `None` before it has been read.
    pub deployment: Option<Arc<catalog::Deployment>>,
    /// Services of the configuration, by name.
    pub services: HashMap<ids::ServiceName, Arc<ServiceView>>,
    /// Requests suspected of crashing endpoints.
    pub suspects: Arc<poison::Suspects>,
    /// When the configuration was last confirmed; updated until the next snapshot.
    pub freshness: Arc<direct::Freshness>,
    /// Share of this entry in limits that apply to all entries together.
    pub share: balance::AnyFleetShare,
    /// When the leases of the share were last confirmed; updated until the next snapshot.
    pub share_freshness: Arc<direct::Freshness>,
    /// What this entry does about reads that all entries need.
    pub duty: Arc<peers::Duty>,
}

impl Snapshot {
    /// Returns what is known of the configuration at `now`.
    #[must_use]
    pub fn config(&self, now: runtime::Moment) -> direct::KnownConfig<'_> {
        let confirmation = self.freshness.last();
        direct::KnownConfig {
            deployment: self.deployment.as_ref(),
            end: confirmation.and_then(|last| last.end),
            age: confirmation.map(|last| last.age(now)),
        }
    }

    /// Returns the leases by which this entry gets its part of a rate over all entries.
    #[must_use]
    pub fn leases(&self, now: runtime::Moment) -> balance::HeldLeases {
        self.share.leases(self.share_freshness.age(now))
    }

    /// Whether the configuration and at least one usable endpoint are known.
    #[must_use]
    pub fn can_serve(&self) -> bool {
        self.deployment.is_some()
            && self
                .services
                .values()
                .any(|service| !service.endpoints.is_empty())
    }
}
