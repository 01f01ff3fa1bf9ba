//! Frames. Each request has a stream of its own, so answers cannot be crossed.

use std::sync::Arc;

use crate::attempt;
use crate::errors;
use crate::fleet;
use crate::ids;

/// The first frame on a stream; it decides what the stream is for.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub enum Opening {
    /// The control stream of a connection; [`Update`] frames follow in both directions.
    Hello(fleet::Identity),
    /// An attempt; [`Reply`] frames follow. The work is cancelled when the
    /// opener resets the stream.
    Dispatch(Box<attempt::Dispatch>),
    /// A question about a non-idempotent call; one [`FenceReply`] follows.
    /// A call that has not been started is never started afterwards.
    FenceCall {
        /// The call.
        call: ids::CallId,
        /// Generation of the claim.
        generation: ids::Generation,
        /// The run that the claim names.
        incarnation: ids::Incarnation,
    },
    /// An order to an engine; `Result<(), Refusal>` follows.
    Order {
        /// Fencing number of the lease holder.
        fence: ids::Fence,
        /// What to do.
        action: fleet::OrderAction,
    },
    /// Usage records of these requests are durable; nothing follows.
    UsageDurable(Vec<ids::RequestId>),
}

/// Frames on the control stream of a connection.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub enum Update {
    /// Answer to the opener's hello.
    Hello(fleet::Identity),
    /// State of the endpoint.
    Report(fleet::Report),
    /// A crash of the endpoint; sent until an entry has put it on record.
    Crash(fleet::CrashReport),
    /// Records of the `config` stream that the sender has read, as JSON texts.
    Config(Vec<(ids::Offset, Arc<str>)>),
    /// Records of the `control` stream that the sender has read, as JSON texts.
    Control(Vec<(ids::Offset, Arc<str>)>),
    /// What the sender has read: offsets of the last `config` and `control` records.
    Applied {
        /// Last `config` record.
        config: Option<ids::Offset>,
        /// Last `control` record.
        control: Option<ids::Offset>,
    },
    /// State of entries, for membership: changed rows only.
    Members(Vec<fleet::Member>),
    /// Whether the receiver's VM is leaving according to the platform's list.
    Leaving(bool),
}

/// Frames in answer to a dispatch.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub enum Reply {
    /// The work has been passed on to the endpoint.
    Accepted,
    /// The work has not been passed on and will not be.
    Refused {
        /// Why.
        refusal: errors::Refusal,
        /// Load at that moment.
        load: fleet::Report,
    },
    /// A part of the answer.
    Chunk {
        /// Position in the whole answer, from 0, also after a resume.
        seq: u32,
        /// Text.
        text: Arc<str>,
    },
    /// The end of a model's answer.
    Done {
        /// Why the model stopped: `stop` or `length`.
        finish: Arc<str>,
        /// What the attempt used.
        usage: attempt::Usage,
        /// Load at that moment.
        load: fleet::Report,
    },
    /// The whole answer of a plain service.
    Answer(attempt::ServiceAnswer),
    /// The attempt broke off after it had been passed on.
    Failed {
        /// Why.
        refusal: errors::Refusal,
        /// What the attempt used until then.
        usage: attempt::Usage,
    },
}

/// Answer to [`Opening::FenceCall`].
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum FenceReply {
    /// The call was not started and never will be.
    Fenced,
    /// The call is running.
    Running,
    /// The call has been answered.
    Finished(attempt::ServiceAnswer),
    /// The call was started and its end is not known, or it was meant for another run.
    Unknown,
}
