//! Generation of a model's answer over one or more attempts.

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

/// Bytes of prompt that are billed as one token if the engine did not report how many
/// tokens it read, because the attempt was cancelled or lost.
const BYTES_PER_TOKEN: u64 = 4;

/// Maximum number of attempts that engines may fail: the first and one retry. A poison
/// request would otherwise crash an engine in each of its attempts.
const MAX_ENGINE_FAILURES: u32 = 2;
/// Maximum wait for a crash report to be recorded, about ten times the usual duration.
/// An engine that only closed the connection is not reported at all.
const CRASH_REPORT_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval at which the wait checks for the crash report.
const CRASH_REPORT_POLL: Duration = Duration::from_millis(10);

/// A part of the answer, in the order of generation.
#[derive(Clone, Debug)]
pub enum AnswerPart {
    /// The text that follows.
    Text(Arc<str>),
    /// The end of the answer, with the model's reason: `stop` or `length`.
    End(Arc<str>),
}

/// Result of reading one reply of the current attempt.
enum ReadOutcome {
    Part(AnswerPart),
    Interrupted(errors::Refusal),
    Ended(errors::Refusal),
}

/// An answer in generation. Dropping it cancels the work and bills what was used.
#[derive(Debug)]
pub struct Generation {
    dispatcher: dispatcher::Dispatcher,
    running: dispatcher::RunningAttempt,
    text: String,
    /// Whether the usage of the current attempt is on the bill.
    usage_recorded: bool,
    /// Whether the current attempt failed because of its engine.
    engine_failed: bool,
}

impl Generation {
    /// Dispatches the request and returns once an endpoint has accepted it.
    pub async fn start(
        cx: cx::Shared,
        request: entry::ModelRequest,
    ) -> Result<Self, errors::Refusal> {
        let mut dispatcher = dispatcher::Dispatcher::new(cx, request);
        let accepted = dispatcher
            .dispatch_until_accepted(None, dispatcher::ResumePoint::default())
            .await;
        match accepted {
            Ok(running) => Ok(Self {
                dispatcher,
                running,
                text: String::new(),
                usage_recorded: false,
                engine_failed: false,
            }),
            Err(refusal) => {
                dispatcher.bill.close(Some(refusal.code));
                Err(refusal)
            }
        }
    }

    /// Discards the answer and starts a new one on another version.
    pub async fn restart(&mut self, version: ids::VersionName) -> Result<(), errors::Refusal> {
        let pin = route::Pin {
            version,
            vm: None,
            reason: route::Reason::Cascade,
        };
        self.dispatcher.reset();
        let accepted = self
            .dispatcher
            .dispatch_until_accepted(Some(pin), dispatcher::ResumePoint::default())
            .await;
        self.running = accepted?;
        self.text.clear();
        self.usage_recorded = false;
        self.engine_failed = false;
        Ok(())
    }

    /// Returns the version that generates the answer.
    #[must_use]
    pub const fn version(&self) -> &ids::VersionName {
        &self.running.attempt.version
    }

    /// Returns the VM of the endpoint that runs the current attempt.
    #[must_use]
    pub const fn vm(&self) -> &ids::VmName {
        &self.running.attempt.vm
    }

    /// Returns the request that is answered.
    #[must_use]
    pub const fn request(&self) -> &entry::ModelRequest {
        &self.dispatcher.request
    }

    /// Returns why the session's version was not kept, or `None` if it was.
    #[must_use]
    pub const fn moved(&self) -> Option<session::MoveReason> {
        self.dispatcher.moved
    }

    /// Returns whether the request failed because of the engine, and not because of the
    /// path to it.
    #[must_use]
    pub const fn has_engine_failed(&self) -> bool {
        self.engine_failed
    }

    /// Returns the text of the answer so far.
    #[must_use]
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Returns cost and tokens of all attempts so far.
    #[must_use]
    pub fn totals(&self) -> (units::MicroCost, attempt::Usage) {
        self.dispatcher.bill.totals()
    }

    /// Closes the bill; `None` means that the request was answered.
    pub fn close(&mut self, result: Option<errors::ResultCode>) {
        self.dispatcher.bill.close(result);
    }

    /// Returns the next part of the answer. An interrupted attempt is resumed on the same
    /// version after the last chunk received.
    pub async fn next_part(&mut self) -> Result<AnswerPart, errors::Refusal> {
        loop {
            match self.read().await {
                ReadOutcome::Part(part) => return Ok(part),
                ReadOutcome::Ended(refusal) => {
                    self.dispatcher.bill.record_failure(&refusal);
                    return Err(refusal);
                }
                ReadOutcome::Interrupted(refusal) => {
                    self.dispatcher.bill.record_failure(&refusal);
                    if self.engine_failed {
                        self.wait_for_crash_report().await;
                    }
                    if self.dispatcher.engine_failures >= MAX_ENGINE_FAILURES {
                        return Err(refusal);
                    }
                    self.resume(refusal).await?;
                }
            }
        }
    }

    async fn read(&mut self) -> ReadOutcome {
        let deadline = self.request().deadline;
        let reply = runtime::timeout_at(deadline, wire::read(&mut self.running.rx)).await;
        let interrupted = |reason| errors::Refusal::new(errors::ResultCode::Interrupted, reason);
        match reply {
            Some(Ok(Some(wire::Reply::Chunk { seq, text }))) => self.chunk(seq, text),
            Some(Ok(Some(wire::Reply::Done { finish, usage, .. }))) => {
                self.record_usage(usage);
                self.report_suspect_completed();
                ReadOutcome::Part(AnswerPart::End(finish))
            }
            Some(Ok(Some(wire::Reply::Failed { refusal, usage }))) => {
                self.record_usage(usage);
                if refusal.code == errors::ResultCode::Interrupted {
                    self.engine_failed = true;
                    self.dispatcher.engine_failures += 1;
                    ReadOutcome::Interrupted(refusal)
                } else {
                    ReadOutcome::Ended(refusal)
                }
            }
            None => {
                self.record_usage(self.estimated_usage());
                ReadOutcome::Ended(errors::Refusal::new(
                    errors::ResultCode::DeadlineExceeded,
                    "the deadline passed",
                ))
            }
            Some(other) => {
                self.record_usage(self.estimated_usage());
                ReadOutcome::Interrupted(interrupted(match other {
                    Ok(reply) => format!("unexpected reply: {reply:?}"),
                    Err(err) => err.to_string(),
                }))
            }
        }
    }

    fn chunk(&mut self, seq: u32, text: Arc<str>) -> ReadOutcome {
        if let Err(gap) = self.running.attempt.chunk(seq) {
            self.record_usage(self.estimated_usage());
            return ReadOutcome::Interrupted(errors::Refusal::new(
                errors::ResultCode::Interrupted,
                gap.to_string(),
            ));
        }
        if self.text.is_empty() {
            observe::metrics().record_first_token(self.request().arrived.elapsed());
        }
        self.running.chunks += 1;
        self.text.push_str(&text);
        ReadOutcome::Part(AnswerPart::Text(text))
    }

    /// Adds the usage of the current attempt to the bill, once per attempt.
    fn record_usage(&mut self, usage: attempt::Usage) {
        if !self.usage_recorded {
            self.usage_recorded = true;
            self.dispatcher.bill.add_usage(&self.running.version, usage);
        }
    }

    /// Estimates the usage of the current attempt from the prompt's size and the chunks.
    fn estimated_usage(&self) -> attempt::Usage {
        let prompt = self.request().chat.messages.len() as u64 / BYTES_PER_TOKEN;
        attempt::Usage {
            prompt: units::Tokens(prompt),
            output: units::Tokens(self.running.chunks),
        }
    }

    /// Notifies the control thread that a request which was in flight in a crash has now
    /// been answered, so that its fingerprint is cleared.
    fn report_suspect_completed(&self) {
        let control = &self.dispatcher.cx.control;
        let fingerprint = self.request().fingerprint;
        let suspicion = control.snapshot().quarantine.suspicion(fingerprint);
        if suspicion == poison::Suspicion::Suspect {
            control.send_or_drop(control::Event::RequestAnswered(fingerprint));
        }
    }

    /// Waits until the crash that may have ended the current attempt is known and on
    /// record. An earlier retry would not be isolated from other requests, and a caller
    /// refused earlier could crash a third engine through another entry.
    async fn wait_for_crash_report(&self) {
        let control = &self.dispatcher.cx.control;
        let fingerprint = self.request().fingerprint;
        let expected = if self.dispatcher.engine_failures < MAX_ENGINE_FAILURES {
            [poison::Suspicion::Suspect, poison::Suspicion::Quarantined]
        } else {
            [poison::Suspicion::Quarantined; 2]
        };
        let until = self
            .request()
            .deadline
            .min(Instant::now() + CRASH_REPORT_TIMEOUT);
        while Instant::now() < until {
            let snapshot = control.snapshot();
            let is_known = expected.contains(&snapshot.quarantine.suspicion(fingerprint));
            if is_known && !snapshot.is_unrecorded(fingerprint) {
                return;
            }
            Timer::after(CRASH_REPORT_POLL).await;
        }
    }

    async fn resume(&mut self, interruption: errors::Refusal) -> Result<(), errors::Refusal> {
        let chunks = self.running.attempt.next_seq();
        log::warn!(
            "route: request {} interrupted after {chunks} chunks: {interruption}.",
            self.request().id
        );
        let pin = route::Pin {
            version: self.version().clone(),
            vm: None,
            reason: route::Reason::Resume,
        };
        let resume = dispatcher::ResumePoint {
            chunks,
            text: &self.text,
        };
        let resumed = self
            .dispatcher
            .dispatch_until_accepted(Some(pin), resume)
            .await;
        self.running = resumed.map_err(|_| interruption)?;
        self.usage_recorded = false;
        self.engine_failed = false;
        Ok(())
    }
}

impl Drop for Generation {
    fn drop(&mut self) {
        self.record_usage(self.estimated_usage());
    }
}
