//! A model's answer over one or more attempts.

use std::sync::Arc;
use std::time::{Duration, Instant};

use smol::Timer;

use crate::attempt;
use crate::control;
use crate::entry;
use crate::entry::{cx, dispatcher};
use crate::errors;
use crate::ids;
use crate::observe;
use crate::poison;
use crate::route;
use crate::runtime;
use crate::session;
use crate::units;
use crate::wire;

/// Bytes of prompt that are billed as one token where the engine has not said
/// how many it read, because the attempt was cancelled or lost.
const BYTES_PER_TOKEN: u64 = 4;

/// Attempts at one request that engines may fail: one and a single retry. A
/// request that crashes engines would otherwise take as many as it has attempts.
const MAX_ENGINE_FAILURES: u32 = 2;
/// Longest wait for the report of a crash to be on record, about ten times
/// what it takes. An engine that has only closed a connection is not reported.
const REPORT_WAIT: Duration = Duration::from_millis(500);
/// Interval at which the wait looks for the report.
const REPORT_POLL: Duration = Duration::from_millis(10);

/// A part of the answer.
#[derive(Clone, Debug)]
pub enum Step {
    /// The next text.
    Text(Arc<str>),
    /// The end; the reason is the model's: `stop` or `length`.
    End(Arc<str>),
}

/// How an attempt goes on.
enum Progress {
    Step(Step),
    Interrupted(errors::Refusal),
    Ended(errors::Refusal),
}

/// An answer being generated; dropping it cancels and bills the work.
#[derive(Debug)]
pub struct Generation {
    dispatcher: dispatcher::Dispatcher,
    running: dispatcher::Running,
    text: String,
    /// Whether the usage of the present attempt is on the bill.
    settled: bool,
    /// Whether the engine has failed the present attempt.
    failed: bool,
}

impl Generation {
    /// Finds an endpoint that takes the request.
    pub async fn start(cx: cx::Shared, ask: entry::Ask) -> Result<Self, errors::Refusal> {
        let mut dispatcher = dispatcher::Dispatcher::new(cx, ask);
        let opened = dispatcher.open(None, dispatcher::Progress::default()).await;
        match opened {
            Ok(running) => Ok(Self {
                dispatcher,
                running,
                text: String::new(),
                settled: false,
                failed: false,
            }),
            Err(refusal) => {
                dispatcher.bill.close(Some(refusal.code));
                Err(refusal)
            }
        }
    }

    /// Starts the answer again on another version.
    pub async fn restart(&mut self, version: ids::VersionName) -> Result<(), errors::Refusal> {
        let pin = route::Pin {
            version,
            vm: None,
            reason: route::Reason::Cascade,
        };
        self.dispatcher.reset();
        let opened = self
            .dispatcher
            .open(Some(pin), dispatcher::Progress::default())
            .await;
        self.running = opened?;
        self.text.clear();
        self.settled = false;
        self.failed = false;
        Ok(())
    }

    /// The version that runs.
    #[must_use]
    pub const fn version(&self) -> &ids::VersionName {
        &self.running.attempt.version
    }

    /// The VM of the endpoint that runs the present attempt.
    #[must_use]
    pub const fn vm(&self) -> &ids::VmName {
        &self.running.attempt.vm
    }

    /// The request.
    #[must_use]
    pub const fn ask(&self) -> &entry::Ask {
        &self.dispatcher.ask
    }

    /// Why the session's version was not kept, where it was not.
    #[must_use]
    pub const fn moved(&self) -> Option<session::Moved> {
        self.dispatcher.moved
    }

    /// Whether the version, and not the way to it, has failed the request.
    #[must_use]
    pub const fn has_failed(&self) -> bool {
        self.failed
    }

    /// Text of the answer so far.
    #[must_use]
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Cost and tokens of all attempts so far.
    #[must_use]
    pub fn totals(&self) -> (units::MicroCost, attempt::Usage) {
        self.dispatcher.bill.totals()
    }

    /// Ends the bill; `None` where the caller has the answer.
    pub fn close(&mut self, result: Option<errors::ResultCode>) {
        self.dispatcher.bill.close(result);
    }

    /// The next part of the answer. An interrupted attempt is resumed on the
    /// same version where its next token is missing.
    pub async fn next(&mut self) -> Result<Step, errors::Refusal> {
        loop {
            match self.read().await {
                Progress::Step(step) => return Ok(step),
                Progress::Ended(refusal) => {
                    self.dispatcher.bill.record_failure(&refusal);
                    return Err(refusal);
                }
                Progress::Interrupted(refusal) => {
                    self.dispatcher.bill.record_failure(&refusal);
                    if self.failed {
                        self.wait_for_report().await;
                    }
                    if self.dispatcher.engine_failures >= MAX_ENGINE_FAILURES {
                        return Err(refusal);
                    }
                    self.resume(refusal).await?;
                }
            }
        }
    }

    async fn read(&mut self) -> Progress {
        let deadline = self.ask().deadline;
        let reply = runtime::timeout_at(deadline, wire::read(&mut self.running.rx)).await;
        let interrupted = |reason| errors::Refusal::new(errors::ResultCode::Interrupted, reason);
        match reply {
            Some(Ok(Some(wire::Reply::Chunk { seq, text }))) => self.chunk(seq, text),
            Some(Ok(Some(wire::Reply::Done { finish, usage, .. }))) => {
                self.settle(usage);
                self.exonerate();
                Progress::Step(Step::End(finish))
            }
            Some(Ok(Some(wire::Reply::Failed { refusal, usage }))) => {
                self.settle(usage);
                if refusal.code == errors::ResultCode::Interrupted {
                    self.failed = true;
                    self.dispatcher.engine_failures += 1;
                    Progress::Interrupted(refusal)
                } else {
                    Progress::Ended(refusal)
                }
            }
            None => {
                self.settle(self.observed());
                Progress::Ended(errors::Refusal::new(
                    errors::ResultCode::DeadlineExceeded,
                    "the deadline passed",
                ))
            }
            Some(other) => {
                self.settle(self.observed());
                Progress::Interrupted(interrupted(match other {
                    Ok(reply) => format!("unexpected reply: {reply:?}"),
                    Err(err) => err.to_string(),
                }))
            }
        }
    }

    fn chunk(&mut self, seq: u32, text: Arc<str>) -> Progress {
        if let Err(gap) = self.running.attempt.chunk(seq) {
            self.settle(self.observed());
            return Progress::Interrupted(errors::Refusal::new(
                errors::ResultCode::Interrupted,
                gap.to_string(),
            ));
        }
        if self.text.is_empty() {
            observe::metrics().first_token(self.ask().arrived.elapsed());
        }
        self.running.chunks += 1;
        self.text.push_str(&text);
        Progress::Step(Step::Text(text))
    }

    /// Puts the usage of the present attempt on the bill, once.
    fn settle(&mut self, usage: attempt::Usage) {
        if !self.settled {
            self.settled = true;
            self.dispatcher.bill.add_usage(&self.running.version, usage);
        }
    }

    /// What the present attempt has used as far as the entry can see.
    fn observed(&self) -> attempt::Usage {
        let prompt = self.ask().chat.messages.len() as u64 / BYTES_PER_TOKEN;
        attempt::Usage {
            prompt: units::Tokens(prompt),
            output: units::Tokens(self.running.chunks),
        }
    }

    /// Tells that a request which was in flight in a crash has been answered.
    fn exonerate(&self) {
        let control = &self.dispatcher.cx.control;
        let fingerprint = self.ask().fingerprint;
        let suspicion = control.snapshot().quarantine.suspicion(fingerprint);
        if suspicion == poison::Suspicion::Suspect {
            control.send_lossy(control::Event::Completed(fingerprint));
        }
    }

    /// Waits until the crash that may have ended the present attempt is known
    /// and on record. A retry before that would not be kept apart from other
    /// requests, and a caller who is refused earlier could send a request
    /// that crashes engines to a third one through another entry.
    async fn wait_for_report(&self) {
        let control = &self.dispatcher.cx.control;
        let fingerprint = self.ask().fingerprint;
        let wanted = if self.dispatcher.engine_failures < MAX_ENGINE_FAILURES {
            [poison::Suspicion::Suspect, poison::Suspicion::Quarantined]
        } else {
            [poison::Suspicion::Quarantined; 2]
        };
        let until = self.ask().deadline.min(Instant::now() + REPORT_WAIT);
        while Instant::now() < until {
            let snapshot = control.snapshot();
            let is_known = wanted.contains(&snapshot.quarantine.suspicion(fingerprint));
            if is_known && !snapshot.is_unrecorded(fingerprint) {
                return;
            }
            Timer::after(REPORT_POLL).await;
        }
    }

    async fn resume(&mut self, interruption: errors::Refusal) -> Result<(), errors::Refusal> {
        let chunks = self.running.attempt.next_seq();
        log::warn!(
            "route: request {} interrupted after {chunks} chunks: {interruption}.",
            self.ask().id
        );
        let pin = route::Pin {
            version: self.version().clone(),
            vm: None,
            reason: route::Reason::Resume,
        };
        let progress = dispatcher::Progress {
            chunks,
            text: &self.text,
        };
        let resumed = self.dispatcher.open(Some(pin), progress).await;
        self.running = resumed.map_err(|_| interruption)?;
        self.settled = false;
        self.failed = false;
        Ok(())
    }
}

impl Drop for Generation {
    fn drop(&mut self) {
        self.settle(self.observed());
    }
}
