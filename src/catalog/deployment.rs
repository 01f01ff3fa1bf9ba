//! Configuration of a deployment in which entries call endpoints without sidecars.

use std::collections::HashMap;
use std::sync::Arc;

use crate::catalog;
use crate::ids;
use crate::units;

/// Limits on the connections and requests of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request's head.
    pub head: units::Bytes,
    /// Maximum size of a request's body.
    pub body: units::Bytes,
    /// Time for a head from its first byte; `None` if the configuration states none.
    pub head_time: Option<units::Millis>,
    /// Time for which a connection may be idle; `None` if the configuration states none.
    pub idle: Option<units::Millis>,
}

/// The team that owns an API key, with its settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TeamAccess {
    /// Name of the team that owns the key.
    pub team: ids::TeamName,
    /// Priority that replaces the route's, 0 being the most urgent; `None` keeps the route's.
    pub priority: Option<u8>,
    /// Regions in which its requests may be executed.
    pub regions: catalog::AllowedRegions,
}

/// One revision of the complete configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Deployment {
    /// Revision number; increases with each change.
    pub revision: ids::Revision,
    /// Routes by host; each list is sorted by path prefix, longest first.
    routes: HashMap<Arc<str>, Vec<Arc<catalog::RouteRule>>>,
    /// Configured services, by name.
    pub services: HashMap<ids::ServiceName, Arc<catalog::Upstream>>,
    /// Teams by API key; `None` if requests need no key.
    pub teams: Option<HashMap<catalog::ApiKey, Arc<TeamAccess>>>,
    /// Limits on connections and requests of callers.
    pub limits: CallerLimits,
}

impl Deployment {
    /// Builds a configuration and indexes its routes and services.
    #[must_use]
    pub fn new(
        revision: ids::Revision,
        rules: Vec<catalog::RouteRule>,
        services: Vec<catalog::Upstream>,
        teams: Option<HashMap<catalog::ApiKey, Arc<TeamAccess>>>,
        limits: CallerLimits,
    ) -> Self {
        let mut routes: HashMap<Arc<str>, Vec<Arc<catalog::RouteRule>>> = HashMap::new();
        for rule in rules {
            let host = Arc::clone(&rule.host);
            routes.entry(host).or_default().push(Arc::new(rule));
        }
        for rules in routes.values_mut() {
            rules.sort_by_key(|rule| std::cmp::Reverse(rule.path_prefix.len()));
        }
        let services = services
            .into_iter()
            .map(|upstream| (upstream.name.clone(), Arc::new(upstream)))
            .collect();
        Self {
            revision,
            routes,
            services,
            teams,
            limits,
        }
    }

    /// Returns the route of `host` with the longest prefix of `path`; `None` if none matches.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<catalog::RouteRule>> {
        self.routes
            .get(host)?
            .iter()
            .find(|rule| path.starts_with(&*rule.path_prefix))
    }

    /// Number of routes over all hosts.
    #[must_use]
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }
}
