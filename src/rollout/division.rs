//! Division of a step's quota among entries.

use crate::ids;
use crate::ledger;

/// New totals for the live entries, each with what it has spent so far.
///
/// Half of what is left of the bound is divided at a time among the entries
/// that have spent at least half of their last totals; the other half remains
/// for entries that join or that have more requests than the others.
#[must_use]
pub fn divide(
    row: &ledger::RolloutRow,
    bound: u64,
    live: &[(ids::VmName, ids::Incarnation, u64)],
) -> Vec<ledger::Grant> {
    let left = bound.saturating_sub(row.granted_in_step());
    let needy: Vec<_> = live
        .iter()
        .map(|(vm, run, spent)| (vm, *run, *spent, row.grant_of(vm, *run)))
        .filter(|(.., spent, total)| spent.saturating_mul(2) >= *total)
        .collect();
    let count = needy.len() as u64;
    if left == 0 || count == 0 {
        return Vec::new();
    }
    let part = (left / 2 / count).max(1);
    let places = usize::try_from(left / part).unwrap_or(usize::MAX);
    needy
        .into_iter()
        .take(places)
        .map(|(vm, incarnation, _, total)| ledger::Grant {
            vm: vm.clone(),
            incarnation,
            total: total + part,
        })
        .collect()
}
