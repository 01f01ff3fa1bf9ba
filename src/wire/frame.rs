//! Frames of the protocol. Each request has its own stream, so replies cannot
//! be attributed to the wrong request.

use std::sync::Arc;

use crate::attempt;
use crate::errors;
use crate::fleet;
use crate::ids;

/// First frame on a stream; it determines the purpose of the stream.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub enum StreamOpening {
    /// Opens the control stream of a connection; [`Update`] frames follow in both directions.
    Hello(fleet::Identity),
    /// Dispatches an attempt; [`Reply`] frames follow. The sidecar cancels the
    /// work when the sender resets the stream.
    Dispatch(Box<attempt::Dispatch>),
    /// Queries and fences a non-idempotent call; one [`FenceReply`] follows.
    /// A call that has not started by then is never started.
    FenceCall {
        /// Identifies the call to fence.
        call: ids::CallId,
        /// Generation of the claim on the call.
        generation: ids::Generation,
        /// Incarnation of the sidecar that the claim names.
        incarnation: ids::Incarnation,
    },
    /// Sends an order to the engine; a `Result<(), Refusal>` follows.
    Order {
        /// Fencing number of the lease under which the order is sent.
        fence: ids::Fence,
        /// Action that the engine must take.
        action: fleet::OrderAction,
    },
    /// Confirms that the usage records of these requests are durable; no reply follows.
    UsageDurable(Vec<ids::RequestId>),
}

/// Frame on the control stream of a connection.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub enum Update {
    /// Answers the [`StreamOpening::Hello`] of the process that connected.
    Hello(fleet::Identity),
    /// Periodic state of the endpoint; also the heartbeat.
    Report(fleet::Report),
    /// A crash of the endpoint; repeated until an entry has recorded it in the log.
    Crash(fleet::CrashReport),
    /// Records of the `config` stream that the sender has read, as JSON texts with their offsets.
    Config(Vec<(ids::Offset, Arc<str>)>),
    /// Records of the `control` stream that the sender has read, as JSON texts with their offsets.
    Control(Vec<(ids::Offset, Arc<str>)>),
    /// Offsets of the last records that the sender has applied; `None` before the first.
    Applied {
        /// Offset of the last `config` record.
        config: Option<ids::Offset>,
        /// Offset of the last `control` record.
        control: Option<ids::Offset>,
    },
    /// Membership rows of entries; contains only rows that have changed.
    Members(Vec<fleet::Member>),
    /// Whether the receiver's VM is leaving according to the platform's list.
    Leaving(bool),
}

/// Frame in reply to [`StreamOpening::Dispatch`].
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub enum Reply {
    /// The work has been forwarded to the endpoint.
    Accepted,
    /// The attempt has not been run and will not be.
    Refused {
        /// Reason for the refusal.
        refusal: errors::Refusal,
        /// State of the endpoint when the reply was sent.
        load: fleet::Report,
    },
    /// A chunk of a model's answer.
    Chunk {
        /// Index of the chunk in the complete answer, from 0; continues after a resume.
        seq: u32,
        /// Text of the chunk.
        text: Arc<str>,
    },
    /// The normal end of a model's answer.
    Done {
        /// Finish reason of the model: `stop` or `length`.
        finish: Arc<str>,
        /// Tokens that the attempt used.
        usage: attempt::Usage,
        /// State of the endpoint when the reply was sent.
        load: fleet::Report,
    },
    /// The complete answer of a plain service.
    Answer(attempt::ServiceAnswer),
    /// The attempt failed after it had been forwarded to the endpoint.
    Failed {
        /// Reason for the failure.
        refusal: errors::Refusal,
        /// Tokens that the attempt used until it failed.
        usage: attempt::Usage,
    },
}

/// Reply to [`StreamOpening::FenceCall`], with the state of the call.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum FenceReply {
    /// The call has not started and never will.
    Fenced,
    /// The call has started and has not ended.
    Running,
    /// The service has answered the call with this answer.
    Finished(attempt::ServiceAnswer),
    /// The call may have started and its outcome is unknown, or it was addressed
    /// to another incarnation.
    Unknown,
}
