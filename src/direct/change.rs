//! Events that the control thread receives and effects that it requests.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::catalog;
use crate::direct;
use crate::ids;
use crate::peers;
use crate::poison;
use crate::rollout;
use crate::runtime;
use crate::settings;
use crate::units;

/// An operator's order to roll out a version of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutOrder {
    /// Version that is rolled out.
    pub target: ids::VersionName,
    /// Time within which the rollout must be completed or rolled back.
    pub duration: units::Millis,
}

/// A decoded record of the operator's topic.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorChange {
    /// A revision of the whole configuration.
    Deployment(Arc<catalog::Deployment>),
    /// A revision that could not be decoded; the last valid one stays in use, but is not
    /// current any more.
    UnreadableDeployment,
    /// The rollout order of a service.
    Rollout {
        /// Service that the order is for.
        service: ids::ServiceName,
        /// The order; `None` when it was withdrawn.
        plan: Option<RolloutOrder>,
    },
    /// A failure domain was drained or put back into service.
    DomainOut {
        /// Failure domain that the change is for.
        domain: ids::DomainName,
        /// Whether the domain is out of service.
        out: bool,
    },
}

/// The status that an endpoint reports through the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointRecord {
    /// Id of the endpoint; the key of its record.
    pub id: ids::EndpointId,
    /// Service that the endpoint belongs to.
    pub service: ids::ServiceName,
    /// Address on which it accepts requests.
    pub addr: SocketAddr,
    /// Failure domain in which it runs.
    pub domain: ids::DomainName,
    /// Version of the service that it runs.
    pub version: ids::VersionName,
    /// Number of requests that it executes concurrently.
    pub slots: u32,
    /// Whether it is draining: it gets no new requests.
    pub draining: bool,
    /// Remaining time for which it is cold; 0 when warm.
    pub cold_left: units::Millis,
    /// Start of this incarnation as Unix time; 0 when unknown.
    pub started: units::Millis,
    /// Sequence number of the report within this incarnation.
    pub sequence: u64,
}

impl EndpointRecord {
    /// Whether this report is newer than `other` of the same endpoint: a later
    /// incarnation, or a higher sequence number in the same one.
    #[must_use]
    pub fn supersedes(&self, other: &Self) -> bool {
        (self.started, self.sequence) > (other.started, other.sequence)
    }
}

/// A decoded record of the endpoints' topic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EndpointChange {
    /// The endpoint reported this status.
    Seen(EndpointRecord),
    /// The record could not be decoded; the last valid status stays in use.
    Unusable(ids::EndpointId),
    /// The record was deleted or has lapsed.
    Removed(ids::EndpointId),
}

/// Stage of a rollout as recorded in the store for the operator and other entries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutReport {
    /// Service whose version is rolled out.
    pub service: ids::ServiceName,
    /// Version that the order named.
    pub target: ids::VersionName,
    /// Stage reached by the reporting entry.
    pub stage: rollout::Stage,
    /// Versions that earlier orders have brought in and that were rolled back.
    pub withdrawn: BTreeSet<ids::VersionName>,
}

/// Limit that an endpoint names for the requests of all entries together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NamedLimit {
    /// Requests per second.
    pub rate: units::Rate,
    /// Start of the incarnation that names it, as Unix time; 0 when unknown.
    pub started: units::Millis,
}

/// What an entry tells the others of the limit of an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitReport {
    /// Endpoint that the report is about.
    pub endpoint: ids::EndpointId,
    /// Limit that it names; `None` if it names none any more.
    pub limit: Option<NamedLimit>,
}

/// Results of a rollout at one entry, as shared with the others through the store.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct SharedEvidence {
    /// Service whose version is rolled out.
    pub service: ids::ServiceName,
    /// VM of the entry.
    pub vm: ids::VmName,
    /// Process of the entry; another one on the same VM has started later or earlier.
    pub process: ids::Incarnation,
    /// Version that the order named.
    pub target: ids::VersionName,
    /// Results since the order, with those of earlier processes of the entry.
    pub tallies: direct::Tallies,
}

/// A topic of the store that an entry follows.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    serde::Serialize,
    serde::Deserialize,
    strum::Display,
    strum::EnumIter,
    strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum Source {
    /// Configuration, rollout orders and drained failure domains.
    Operator,
    /// Status records of the endpoints.
    Endpoints,
    /// Stages of rollouts, crashes under requests and limits of endpoints, written by the
    /// entries.
    Reports,
}

/// What the records of a read tell of those that it lacks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// Records since the last read.
    News,
    /// The newest record of every key: a missing key means that its record is gone.
    Complete,
    /// The same after the store has come back from an older copy. Records may be older than
    /// what is known, or missing until they are written again; a complete listing follows.
    Restored,
    /// The newest record of each key that the listing has reached: a missing key tells nothing.
    Partial,
}

impl Scope {
    /// Whether what is missing among the records is not on record in the store.
    #[must_use]
    pub const fn reaches_all_keys(self) -> bool {
        matches!(self, Self::Complete | Self::Restored)
    }
}

/// Records obtained by one read of a topic, in log order.
#[derive(Clone, Debug, PartialEq)]
pub struct Batch<T> {
    /// What the records are.
    pub scope: Scope,
    /// Decoded records; undecodable ones may be left out.
    pub items: Vec<T>,
    /// Position at which the next read continues.
    pub end: ids::Position,
    /// Time as of which nothing is lacking: the start of the read. `None` if the read has not
    /// reached the end of the topic, or the store may lack records that are written again.
    pub confirmed: Option<runtime::Moment>,
}

/// Leases that the store has assigned to this entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Assignment {
    /// Leases held, in order of their numbers.
    pub leases: Arc<[ids::LeaseNumber]>,
    /// Start of the call; the leases are held at least as of this time.
    pub call_started: runtime::Moment,
}

/// Input of the control thread.
#[derive(Clone, Debug)]
pub enum Event {
    /// Records of the operator's topic.
    Operator(Batch<OperatorChange>),
    /// Records of the endpoints' topic.
    Endpoints(Batch<EndpointChange>),
    /// Rollout stages from the reports' topic.
    Reports(Batch<RolloutReport>),
    /// Crash reports from the reports' topic, by any entry.
    CrashReports(Vec<poison::CrashReport>),
    /// An endpoint broke off a request, or was left by one, and then accepted no connection.
    Crashed {
        /// What the fingerprint stands for.
        subject: poison::Subject,
        /// Fingerprint of the request's team and content, or of a part of its prompt.
        fingerprint: ids::Fingerprint,
        /// Endpoint that crashed under the request.
        endpoint: ids::EndpointId,
        /// Stage of the visit under which it crashed.
        stage: poison::VisitStage,
    },
    /// A visit went unanswered under which an endpoint has crashed; holds the fingerprints of
    /// the request and of the parts of its prompt.
    SuspectUnanswered(Vec<ids::Fingerprint>),
    /// The store may not have taken the crash reports on these requests.
    CrashReportsLost(Vec<ids::Fingerprint>),
    /// A request suspected of crashing endpoints was answered.
    SuspectCleared(ids::Fingerprint),
    /// A request was refused because it, or a part of its prompt, has crashed endpoints.
    SuspectRefused(ids::Fingerprint),
    /// An answer of an endpoint has named a limit, changed or lifted it.
    LimitNamed(ids::EndpointId),
    /// Limits of endpoints from the reports' topic, by any entry.
    LimitReports(Batch<LimitReport>),
    /// A read of a topic failed, with the reason.
    ReadFailed(Source, Arc<str>),
    /// An attempt to write a rollout report has ended.
    ReportAttempted {
        /// Report that was to be written.
        report: RolloutReport,
        /// Whether the store accepted it.
        written: bool,
    },
    /// Results of rollouts at all entries, as far as they have shared them.
    EvidenceRead(Vec<SharedEvidence>),
    /// The store has assigned leases to this entry.
    Assigned(Assignment),
    /// The members of the group of entries were listed.
    MembersListed(Vec<peers::Member>),
    /// The settings of the process were reloaded.
    Settings(Box<settings::Direct>),
}

/// Work that the control thread requests from the I/O tasks.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Write a rollout report, provided that the topic still ends at this position.
    Report(RolloutReport, ids::Position),
    /// Publish the crashes under requests to other entries.
    PublishCrashes(Vec<poison::CrashReport>),
    /// Publish the limit of an endpoint to other entries.
    PublishLimit(LimitReport),
    /// Read the results of a rollout that entries have shared, then share those of this
    /// entry; `None` if they are shared already.
    ExchangeEvidence(Option<Box<SharedEvidence>>),
}
