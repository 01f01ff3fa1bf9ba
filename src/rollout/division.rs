//! Division of the quota of a rollout step among entries.

use crate::ids;
use crate::ledger;

/// Returns new grant totals. `live` holds the live entries, each with what it has spent so
/// far.
///
/// Each call divides half of what is left of the bound among the entries that have spent at
/// least half of their last totals; the other half remains for entries that join or that
/// get more requests than the others.
#[must_use]
pub fn divide(
    row: &ledger::RolloutRow,
    bound: u64,
    live: &[(ids::VmName, ids::Incarnation, u64)],
) -> Vec<ledger::Grant> {
    let remaining = bound.saturating_sub(row.granted_in_step());
    let eligible: Vec<_> = live
        .iter()
        .map(|(vm, incarnation, spent)| (vm, *incarnation, *spent, row.grant_of(vm, *incarnation)))
        .filter(|(.., spent, total)| spent.saturating_mul(2) >= *total)
        .collect();
    let count = eligible.len() as u64;
    if remaining == 0 || count == 0 {
        return Vec::new();
    }
    let increment = (remaining / 2 / count).max(1);
    let max_grants = usize::try_from(remaining / increment).unwrap_or(usize::MAX);
    eligible
        .into_iter()
        .take(max_grants)
        .map(|(vm, incarnation, _, total)| ledger::Grant {
            vm: vm.clone(),
            incarnation,
            total: total + increment,
        })
        .collect()
}
