//! Regions in which a request may be executed.

use std::fmt;
use std::sync::Arc;

use crate::ids;

/// Regions in which the requests of a route or team may be executed; all by default.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AllowedRegions(Option<Arc<[ids::RegionName]>>);

impl AllowedRegions {
    /// Creates the constraint of a configuration's list, where an empty list allows all.
    #[must_use]
    pub fn from_list(regions: Vec<ids::RegionName>) -> Self {
        Self((!regions.is_empty()).then(|| regions.into()))
    }

    /// Returns the constraint under which both this one and `other` hold. If they share no
    /// region, no endpoint is allowed.
    #[must_use]
    pub fn and(&self, other: &Self) -> Self {
        let (Some(own), Some(others)) = (&self.0, &other.0) else {
            return if self.0.is_none() {
                other.clone()
            } else {
                self.clone()
            };
        };
        let shared = own.iter().filter(|region| others.contains(region));
        Self(Some(shared.cloned().collect()))
    }

    /// Returns whether an endpoint in this region is allowed. One whose region is not
    /// known is allowed only without a constraint.
    #[must_use]
    pub fn allows(&self, region: Option<&ids::RegionName>) -> bool {
        let Some(allowed) = &self.0 else { return true };
        region.is_some_and(|region| allowed.contains(region))
    }

    /// Returns whether there is a constraint.
    #[must_use]
    pub const fn is_limited(&self) -> bool {
        self.0.is_some()
    }
}

impl fmt::Display for AllowedRegions {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Some(allowed) = &self.0 else {
            return f.write_str("all");
        };
        let names: Vec<_> = allowed.iter().map(ids::RegionName::as_str).collect();
        f.write_str(&names.join(","))
    }
}
