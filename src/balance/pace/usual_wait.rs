//! Wait that is expected of an endpoint at its full load.

use std::time::Duration;

/// Returns the wait before an endpoint reads a prompt: its own before it stopped, or the
/// median of the service's other endpoints. `None` if neither is known.
#[must_use]
pub fn usual_wait(
    own: Option<Duration>,
    others: impl Iterator<Item = Duration>,
) -> Option<Duration> {
    own.or_else(|| {
        let mut others: Vec<_> = others.collect();
        others.sort_unstable();
        others.get(others.len() / 2).copied()
    })
}
