//! Versions that were rolled back, by service.
//!
//! Load pattern: an operator orders the next version right after one was rolled back, while
//! the endpoints of that one are still in service for some seconds.

use std::collections::{BTreeSet, HashMap};

use crate::ids;

/// Versions that get no requests until they are ordered again.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WithdrawnVersions {
    versions: HashMap<ids::ServiceName, BTreeSet<ids::VersionName>>,
}

impl WithdrawnVersions {
    /// Records that a version was rolled back. Returns whether that is new.
    pub fn withdraw(&mut self, service: &ids::ServiceName, version: &ids::VersionName) -> bool {
        let versions = self.versions.entry(service.clone()).or_default();
        versions.insert(version.clone())
    }

    /// Records that a version was ordered again.
    pub fn restore(&mut self, service: &ids::ServiceName, version: &ids::VersionName) {
        if let Some(versions) = self.versions.get_mut(service) {
            versions.remove(version);
        }
    }

    /// Returns whether the version was rolled back and not ordered again.
    #[must_use]
    pub fn contains(&self, service: &ids::ServiceName, version: &ids::VersionName) -> bool {
        let versions = self.versions.get(service);
        versions.is_some_and(|versions| versions.contains(version))
    }

    /// Returns the withdrawn versions of a service.
    #[must_use]
    pub fn of(&self, service: &ids::ServiceName) -> BTreeSet<ids::VersionName> {
        self.versions.get(service).cloned().unwrap_or_default()
    }
}
