//! What traffic sees of the control state.

use std::collections::HashMap;
use std::sync::Arc;

use crate::balance;
use crate::catalog;
use crate::direct;
use crate::ids;
use crate::poison;
use crate::rollout;
use crate::runtime;

/// An endpoint that may be used.
#[derive(Clone, Debug)]
pub struct EndpointView {
    /// What it last reported.
    pub record: direct::EndpointRecord,
    /// Load and results, kept by traffic.
    pub live: Arc<balance::Live>,
    /// Until when it is cold.
    pub cold_until: runtime::Moment,
}

/// Which versions of a service may be used.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum VersionSplit {
    /// All alike.
    #[default]
    All,
    /// As the roll-out says.
    Canary(rollout::AnyCanary),
    /// Not this one, as long as it is not known how far its roll-out is.
    Unsettled(ids::VersionName),
}

/// A service with its endpoints.
#[derive(Clone, Debug)]
pub struct ServiceView {
    /// Its configuration.
    pub upstream: Arc<catalog::Upstream>,
    /// Endpoints that may be used.
    pub endpoints: Vec<Arc<EndpointView>>,
    /// Which versions may be used.
    pub split: VersionSplit,
    /// Results by version, while a roll-out is under way.
    pub evidence: Option<Arc<direct::Evidence>>,
}

/// What traffic sees; made anew when something of it changes.
#[derive(Debug, Default)]
pub struct Snapshot {
    /// Configuration in force; `None` before it is known.
    pub deployment: Option<Arc<catalog::Deployment>>,
    /// Services of the configuration.
    pub services: HashMap<ids::ServiceName, Arc<ServiceView>>,
    /// Requests whose endpoints have crashed.
    pub suspects: Arc<poison::Suspects>,
    /// How current the configuration is known to be.
    pub freshness: Arc<direct::Freshness>,
}

impl Snapshot {
    /// Whether the configuration and some endpoint are known.
    #[must_use]
    pub fn can_serve(&self) -> bool {
        self.deployment.is_some()
            && self
                .services
                .values()
                .any(|service| !service.endpoints.is_empty())
    }
}
