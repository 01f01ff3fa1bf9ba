//! The usage record of a request that is still in progress.

use std::sync::Arc;

use crate::attempt;
use crate::billing;
use crate::catalog;
use crate::errors;
use crate::estimate;
use crate::ids;
use crate::units;

/// Accumulates the attempts at one request and what they used.
#[derive(Debug)]
pub struct Draft {
    record: billing::UsageRecord,
    by_version: Vec<VersionUsage>,
    has_run: bool,
}

/// Tokens used by all attempts on one version.
#[derive(Debug)]
struct VersionUsage {
    version: Arc<catalog::Version>,
    usage: attempt::Usage,
}

impl Draft {
    /// Creates a draft without attempts; `written_by` is the VM of the entry.
    #[must_use]
    pub const fn new(
        request: ids::RequestId,
        team: ids::TeamName,
        written_by: ids::VmName,
    ) -> Self {
        Self {
            record: billing::UsageRecord {
                request,
                team,
                profile: None,
                service: None,
                class: None,
                usage: attempt::Usage {
                    prompt: units::Tokens(0),
                    output: units::Tokens(0),
                },
                cost: units::MicroCost(0),
                result: None,
                ended_at: units::Millis(0),
                written_by,
                attempts: Vec::new(),
            },
            by_version: Vec::new(),
            has_run: false,
        }
    }

    /// Marks the record as one of a model request.
    #[must_use]
    pub fn for_model(mut self, profile: ids::ProfileName, class: estimate::RequestClass) -> Self {
        self.record.profile = Some(profile);
        self.record.class = Some(class);
        self
    }

    /// Marks the record as one of a call to a plain service.
    #[must_use]
    pub fn for_service(mut self, service: ids::ServiceName) -> Self {
        self.record.service = Some(service);
        self
    }

    /// Appends an attempt, in the order in which the attempts are made.
    pub fn begin_attempt(&mut self, attempt: billing::AttemptRecord) {
        self.record.attempts.push(attempt);
    }

    /// Records why the latest attempt did not produce the answer.
    pub fn record_failure(&mut self, refusal: &errors::Refusal) {
        if let Some(attempt) = self.record.attempts.last_mut() {
            attempt.result = Some(refusal.code);
            attempt.message = Some(Arc::clone(&refusal.message));
        }
    }

    /// Records that an attempt has run or may have run, so that the request is billed.
    pub const fn mark_ran(&mut self) {
        self.has_run = true;
    }

    /// Returns whether any attempt has run or may have run.
    #[must_use]
    pub const fn has_run(&self) -> bool {
        self.has_run
    }

    /// Adds the tokens that an attempt used. The prompt is charged once for each
    /// version: rereading it to resume an answer serves the router, not the caller.
    pub fn add_usage(&mut self, version: &Arc<catalog::Version>, usage: attempt::Usage) {
        let existing = self
            .by_version
            .iter_mut()
            .find(|used| Arc::ptr_eq(&used.version, version));
        match existing {
            Some(used) => {
                used.usage.prompt = used.usage.prompt.max(usage.prompt);
                used.usage.output = used.usage.output.saturating_add(usage.output);
            }
            None => self.by_version.push(VersionUsage {
                version: Arc::clone(version),
                usage,
            }),
        }
    }

    /// Returns the cost of all attempts so far, at the prices of their versions.
    #[must_use]
    pub fn cost(&self) -> units::MicroCost {
        self.by_version
            .iter()
            .map(|used| used.version.cost(used.usage.prompt, used.usage.output))
            .fold(units::MicroCost(0), units::MicroCost::saturating_add)
    }

    /// Returns the tokens of all attempts so far, summed over the versions.
    #[must_use]
    pub fn usage(&self) -> attempt::Usage {
        self.by_version
            .iter()
            .fold(attempt::Usage::default(), |sum, used| attempt::Usage {
                prompt: sum.prompt.saturating_add(used.usage.prompt),
                output: sum.output.saturating_add(used.usage.output),
            })
    }

    /// Returns the finished record, or `None` if no attempt can have run.
    #[must_use]
    pub fn finish(
        mut self,
        result: Option<errors::ResultCode>,
        ended_at: units::Millis,
    ) -> Option<billing::UsageRecord> {
        self.record.cost = self.cost();
        self.record.usage = self.usage();
        self.record.result = result;
        self.record.ended_at = ended_at;
        self.has_run.then_some(self.record)
    }
}
