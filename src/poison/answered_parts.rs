//! Prompt parts whose requests were answered lately, and so crash nothing by themselves.
//!
//! Load pattern: a part that is shared by many requests, no two alike, crashes each
//! endpoint that answers one of them. Most requests in flight at a crashed endpoint share
//! popular parts with requests that are answered elsewhere all the while.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::ids;
use crate::runtime;

/// Time for which an answer proves the parts of its prompt sound.
const PROOF_PERIOD: Duration = Duration::from_secs(10);
/// Answers within [`ANSWERING_PERIOD`] from which a service counts as answering. Otherwise
/// its endpoints crash for another reason, and no part is to blame.
const MIN_ANSWERS: usize = 3;
const ANSWERING_PERIOD: Duration = Duration::from_secs(5);
/// Maximum number of parts kept, at about 40 bytes each.
const MAX_PARTS: usize = 4_096;

/// Parts answered lately by one service.
#[derive(Clone, Debug, Default)]
pub struct AnsweredParts {
    parts: HashMap<ids::Fingerprint, runtime::Moment>,
    /// Times of the last answers, oldest first.
    answers: VecDeque<runtime::Moment>,
}

impl AnsweredParts {
    /// Records a complete answer to a prompt with these parts.
    pub fn record(&mut self, parts: &[ids::Fingerprint], now: runtime::Moment) {
        if self.answers.len() >= MIN_ANSWERS {
            self.answers.pop_front();
        }
        self.answers.push_back(now);
        for part in parts {
            self.parts.insert(*part, now);
        }
        if self.parts.len() > MAX_PARTS {
            self.parts
                .retain(|_, answered| now.saturating_since(*answered) < PROOF_PERIOD);
        }
        if self.parts.len() > MAX_PARTS {
            self.parts.clear();
        }
    }

    /// Returns whether a prompt with the part was answered lately.
    #[must_use]
    pub fn is_proven(&self, part: ids::Fingerprint, now: runtime::Moment) -> bool {
        self.parts
            .get(&part)
            .is_some_and(|answered| now.saturating_since(*answered) < PROOF_PERIOD)
    }

    /// Returns the parts that may have crashed an endpoint at `now`: those without a recent
    /// answer, while the service answers other requests.
    #[must_use]
    pub fn suspects(
        &self,
        parts: &[ids::Fingerprint],
        now: runtime::Moment,
    ) -> Vec<ids::Fingerprint> {
        let is_answering = self.answers.len() >= MIN_ANSWERS
            && self
                .answers
                .front()
                .is_some_and(|oldest| now.saturating_since(*oldest) < ANSWERING_PERIOD);
        if !is_answering {
            return Vec::new();
        }
        let unproven = parts.iter().filter(|part| !self.is_proven(**part, now));
        unproven.copied().collect()
    }
}
