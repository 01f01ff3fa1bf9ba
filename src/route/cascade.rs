//! The next version of a cascade.

use crate::control;
use crate::ids;

/// The next more expensive version after `last` that has endpoints; versions
/// in roll-out take no part, since a cascade would evade their allotment.
#[must_use]
pub fn next_by_cost<'a>(
    snapshot: &control::Snapshot,
    profile: &'a control::ProfileView,
    last: &ids::VersionName,
    tried: &[ids::VersionName],
) -> Option<&'a ids::VersionName> {
    let from = profile
        .versions
        .iter()
        .position(|view| view.name == *last)
        .map_or(0, |place| place + 1);
    profile.versions[from..]
        .iter()
        .map(|view| &view.name)
        .filter(|name| !tried.contains(name))
        .find(|name| {
            snapshot
                .by_version
                .get(*name)
                .is_some_and(|keys| !keys.is_empty())
        })
}
