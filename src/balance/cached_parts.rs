//! Prompt parts that an endpoint has probably cached.

use std::collections::HashMap;
use std::time::Duration;

use crate::ids;
use crate::runtime;

/// Time after which an unused part counts as evicted by the engine.
const MAX_UNUSED: Duration = Duration::from_secs(30);
/// Number of parts that are remembered for each endpoint; the least recently used one
/// makes room. At 6,000 tokens each, they exceed the memory of an engine.
const MAX_PARTS: usize = 256;

/// Parts of the prompts that this entry has sent to an endpoint, by last use. Parts that
/// other entries sent there are not known.
#[derive(Debug, Default)]
pub struct CachedParts {
    used_at: HashMap<ids::Fingerprint, runtime::Moment>,
}

impl CachedParts {
    /// Records that the endpoint reads these parts.
    pub fn record(&mut self, parts: impl Iterator<Item = ids::Fingerprint>, now: runtime::Moment) {
        for part in parts {
            if self.used_at.len() >= MAX_PARTS && !self.used_at.contains_key(&part) {
                let oldest = self.used_at.iter().min_by_key(|(_, at)| **at);
                if let Some(oldest) = oldest.map(|(id, _)| *id) {
                    self.used_at.remove(&oldest);
                }
            }
            self.used_at.insert(part, now);
        }
    }

    /// Whether the endpoint has probably cached the part.
    #[must_use]
    pub fn contains(&self, part: ids::Fingerprint, now: runtime::Moment) -> bool {
        let used_at = self.used_at.get(&part);
        used_at.is_some_and(|at| now.saturating_since(*at) < MAX_UNUSED)
    }

    /// Forgets all parts, as the endpoint may have restarted.
    pub fn clear(&mut self) {
        self.used_at.clear();
    }
}
