//! The next version of a cascade.

use crate::control;
use crate::ids;
use crate::units;

/// Token counts by which the costs of versions are compared.
const TYPICAL: (units::Tokens, units::Tokens) = (units::Tokens(1_000), units::Tokens(500));

/// The cheapest version that has endpoints, has not been tried and costs no
/// less than the last one tried. Versions in roll-out take no part, since a
/// cascade would evade their allotment.
#[must_use]
pub fn next_by_cost<'a>(
    snapshot: &control::Snapshot,
    profile: &'a control::ProfileView,
    tried: &[ids::VersionName],
) -> Option<&'a ids::VersionName> {
    let cost = |view: &control::VersionView| view.version.cost(TYPICAL.0, TYPICAL.1);
    let entering = profile.rollouts.iter().map(|rollout| &rollout.version);
    let last = profile
        .versions
        .iter()
        .chain(entering)
        .find(|view| Some(&view.name) == tried.last())
        .map(cost)?;
    profile
        .versions
        .iter()
        .filter(|view| cost(view) >= last && !tried.contains(&view.name))
        .map(|view| &view.name)
        .find(|name| {
            snapshot
                .by_version
                .get(*name)
                .is_some_and(|keys| !keys.is_empty())
        })
}
