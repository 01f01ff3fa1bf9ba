//! Ratings that an entry has not put on record yet.

use std::collections::HashMap;
use std::sync::Arc;

use crate::estimate;
use crate::ids;
use crate::units;

/// Collects ratings between two records of the `evidence` stream.
#[derive(Clone, Debug)]
pub struct Collector {
    entry: ids::VmName,
    incarnation: ids::Incarnation,
    sequence: u64,
    cells: HashMap<(ids::VersionName, estimate::RequestClass), estimate::Estimate>,
    spent: Vec<(Arc<str>, u64)>,
}

impl Collector {
    /// Nothing collected by this run of an entry.
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

    /// Adds a rating.
    pub fn add(
        &mut self,
        version: ids::VersionName,
        class: estimate::RequestClass,
        quality: units::Quality,
    ) {
        self.cells.entry((version, class)).or_default().add(quality);
    }

    /// The next record, with the answers drawn from each roll-out so far;
    /// `None` where there is nothing new.
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
