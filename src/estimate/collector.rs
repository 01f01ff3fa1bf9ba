//! Ratings that an entry has not yet written to the log.

use std::collections::HashMap;
use std::sync::Arc;

use crate::estimate;
use crate::ids;
use crate::units;

/// Collects the ratings between two records of the `evidence` stream.
#[derive(Clone, Debug)]
pub struct Collector {
    entry: ids::VmName,
    incarnation: ids::Incarnation,
    sequence: u64,
    cells: HashMap<(ids::VersionName, estimate::RequestClass), estimate::Estimate>,
    spent: Vec<(Arc<str>, u64)>,
}

impl Collector {
    /// Creates an empty collector for one incarnation of an entry.
    #[must_use]
    pub fn new(entry: ids::VmName, incarnation: ids::Incarnation) -> Self {
        Self {
            entry,
            incarnation,
            sequence: 0,
            cells: HashMap::new(),
            spent: Vec::new(),
        }
    }

    /// Adds the rating of one answer.
    pub fn add(
        &mut self,
        version: ids::VersionName,
        class: estimate::RequestClass,
        quality: units::Quality,
    ) {
        self.cells.entry((version, class)).or_default().add(quality);
    }

    /// Takes the next record, with the ratings collected since the last one. `spent` is the
    /// number of answers drawn from each rollout so far. Returns `None` if nothing is new.
    pub fn take(&mut self, mut spent: Vec<(Arc<str>, u64)>) -> Option<estimate::Evidence> {
        spent.sort();
        if self.cells.is_empty() && self.spent == spent {
            return None;
        }
        let sequence = self.sequence;
        self.sequence += 1;
        self.spent.clone_from(&spent);
        let cells = self
            .cells
            .drain()
            .map(|((version, class), estimate)| (version, class, estimate));
        Some(estimate::Evidence {
            entry: self.entry.clone(),
            incarnation: self.incarnation,
            sequence,
            cells: cells.collect(),
            spent,
        })
    }
}
