//! The configuration of a deployment whose endpoints entries call themselves.

use std::collections::HashMap;
use std::sync::Arc;

use crate::catalog;
use crate::ids;
use crate::units;

/// Bounds on what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest head of a request.
    pub head: units::Bytes,
    /// Largest body of a request.
    pub body: units::Bytes,
    /// How long a connection may stay idle; `None` where that is not stated.
    pub idle: Option<units::Millis>,
}

/// The team that holds a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TeamAccess {
    /// Name of the team.
    pub team: ids::TeamName,
    /// Rank of the team's requests, in place of the route's; 0 is the most urgent.
    pub priority: Option<u8>,
}

/// One revision of the whole configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Deployment {
    /// Revision; grows with each change.
    pub revision: ids::Revision,
    /// Routes by host, each list with the longest path prefix first.
    routes: HashMap<Arc<str>, Vec<Arc<catalog::RouteRule>>>,
    /// Services by name.
    pub services: HashMap<ids::ServiceName, Arc<catalog::Upstream>>,
    /// Teams by key; `None` where requests need no key.
    pub teams: Option<HashMap<catalog::ApiKey, Arc<TeamAccess>>>,
    /// Bounds on callers' input.
    pub limits: CallerLimits,
}

impl Deployment {
    /// A configuration of these parts.
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

    /// The route with the longest prefix of `path` among those of `host`.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<catalog::RouteRule>> {
        self.routes
            .get(host)?
            .iter()
            .find(|rule| path.starts_with(&*rule.path_prefix))
    }

    /// Number of routes.
    #[must_use]
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }
}
