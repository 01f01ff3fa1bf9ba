//! Selection of the next version in a cascade.

use crate::control;
use crate::ids;
use crate::units;

/// Prompt and output tokens of the reference request by which version costs are compared.
const REFERENCE_TOKENS: (units::Tokens, units::Tokens) = (units::Tokens(1_000), units::Tokens(500));

/// Returns the cheapest untried version that has endpoints and costs no less than the last
/// one tried; `None` if there is none, or if the last one tried has left the profile.
/// Versions in rollout are not offered, because a cascade would bypass their allotment.
#[must_use]
pub fn next_by_cost<'a>(
    snapshot: &control::Snapshot,
    profile: &'a control::ProfileView,
    tried: &[ids::VersionName],
) -> Option<&'a ids::VersionName> {
    let cost =
        |view: &control::VersionView| view.version.cost(REFERENCE_TOKENS.0, REFERENCE_TOKENS.1);
    let in_rollout = profile.rollouts.iter().map(|rollout| &rollout.version);
    let last_cost = profile
        .versions
        .iter()
        .chain(in_rollout)
        .find(|view| Some(&view.name) == tried.last())
        .map(cost)?;
    profile
        .versions
        .iter()
        .filter(|view| cost(view) >= last_cost && !tried.contains(&view.name))
        .map(|view| &view.name)
        .find(|name| {
            snapshot
                .by_version
                .get(*name)
                .is_some_and(|keys| !keys.is_empty())
        })
}
