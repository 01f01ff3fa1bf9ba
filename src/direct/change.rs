//! What the control thread is told and asks for.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::catalog;
use crate::ids;
use crate::poison;
use crate::rollout;
use crate::runtime;
use crate::settings;
use crate::units;

/// An operator's order to bring in a version of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutOrder {
    /// The version.
    pub target: ids::VersionName,
    /// Time in which it must be in or out.
    pub duration: units::Millis,
}

/// A change that an operator has made.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorChange {
    /// A new revision of the configuration.
    Deployment(Arc<catalog::Deployment>),
    /// An order for a service; `None` where it was withdrawn.
    Rollout {
        /// The service.
        service: ids::ServiceName,
        /// The order.
        plan: Option<RolloutOrder>,
    },
    /// A failure domain was taken out or back.
    DomainOut {
        /// The failure domain.
        domain: ids::DomainName,
        /// Whether it is out.
        out: bool,
    },
}

/// What an endpoint says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointRecord {
    /// Its id.
    pub id: ids::EndpointId,
    /// The service that it runs.
    pub service: ids::ServiceName,
    /// Its address.
    pub addr: SocketAddr,
    /// Its failure domain.
    pub domain: ids::DomainName,
    /// Version of its software.
    pub version: ids::VersionName,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Whether it leaves.
    pub draining: bool,
    /// How much longer it is cold.
    pub cold_left: units::Millis,
    /// Start of this run, since 1970; 0 where unknown.
    pub started: units::Millis,
    /// Number of the report within this run.
    pub sequence: u64,
}

impl EndpointRecord {
    /// Whether this report is newer than `other` of the same endpoint.
    #[must_use]
    pub fn supersedes(&self, other: &Self) -> bool {
        (self.started, self.sequence) > (other.started, other.sequence)
    }
}

/// A change of the list of endpoints.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EndpointChange {
    /// An endpoint has reported.
    Seen(EndpointRecord),
    /// The record of an endpoint could not be decoded; what is known stays.
    Unusable(ids::EndpointId),
    /// The record of an endpoint was removed.
    Removed(ids::EndpointId),
}

/// State of a roll-out as reported to the operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutReport {
    /// The service.
    pub service: ids::ServiceName,
    /// The version that was to be brought in.
    pub target: ids::VersionName,
    /// How far it is.
    pub stage: rollout::Stage,
}

/// A topic that an entry follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum Source {
    /// The operator's records.
    Operator,
    /// The endpoints' records.
    Endpoints,
    /// Reports of roll-outs.
    Reports,
}

/// Records of one topic, in order.
#[derive(Clone, Debug, PartialEq)]
pub struct Batch<T> {
    /// Whether these are the newest records of all keys, so that a key that
    /// is missing here is gone.
    pub whole: bool,
    /// The decoded records.
    pub items: Vec<T>,
    /// End of what has been read.
    pub end: ids::Offset,
    /// When the read that brought them began.
    pub asked: runtime::Moment,
}

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// Records of the operator.
    Operator(Batch<OperatorChange>),
    /// Records of endpoints.
    Endpoints(Batch<EndpointChange>),
    /// Reports of roll-outs.
    Reports(Batch<RolloutReport>),
    /// Crashes that entries have put on record.
    CrashReports(Vec<poison::CrashReport>),
    /// An endpoint accepts no connection after it broke off a run.
    Crashed {
        /// The request's team and content.
        fingerprint: ids::Fingerprint,
        /// The endpoint.
        endpoint: ids::EndpointId,
    },
    /// A request under suspicion was answered.
    Cleared(ids::Fingerprint),
    /// A read of a topic failed, and why.
    ReadFailed(Source, Arc<str>),
    /// A report was written, or not.
    Reported {
        /// The report.
        report: RolloutReport,
        /// Whether it is on record.
        done: bool,
    },
    /// The settings of the process have changed.
    Settings(Box<settings::Direct>),
}

/// What the I/O tasks are asked to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Write a report, if the topic ends at this offset.
    Report(RolloutReport, ids::Offset),
    /// Tell other entries of crashes.
    TellCrashes(poison::CrashReport),
}
