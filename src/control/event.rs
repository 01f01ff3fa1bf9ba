//! Events: inputs of the control thread.

use smol::channel::Sender;

use crate::catalog;
use crate::control;
use crate::estimate;
use crate::fleet;
use crate::ids;
use crate::ledger;
use crate::platform;
use crate::platform_clients;

/// An input of the control thread; each system sees all events of a tick, in order.
#[derive(Clone, Debug)]
pub enum Event {
    /// A page of the `config` stream, read from the log.
    ConfigPage(LogPage<catalog::Record>),
    /// Records of the `config` stream, received from another process.
    ConfigFromPeer(Vec<catalog::Record>),
    /// A page of the `control` stream, read from the log.
    ControlPage(LogPage<ledger::Record>),
    /// Records of the `control` stream, received from another process.
    ControlFromPeer(Vec<ledger::Record>),
    /// A page of the `evidence` stream, and the fencing number held when it was read.
    EvidencePage(
        ids::Fence,
        LogPage<(ids::Offset, Option<estimate::Evidence>)>,
    ),
    /// Outcome of an order to the endpoint on this VM.
    OrderFinished {
        /// VM of the endpoint.
        vm: ids::VmName,
        /// The order that was sent.
        action: fleet::OrderAction,
        /// Whether the endpoint confirmed that it carried the order out.
        done: bool,
    },
    /// A read of `config` or `control` failed; the log may be unavailable.
    LogFailed(platform::Stream),
    /// The platform's complete list of VMs, after a change.
    Inventory(Vec<platform_clients::Vm>),
    /// A connection to another process was established.
    LinkUp(fleet::Identity),
    /// The connection to the process on this VM is down.
    LinkDown(ids::VmName),
    /// A state report from the sidecar on this VM.
    Report(ids::VmName, fleet::Report),
    /// An endpoint crashed while it was processing requests.
    Crash(fleet::CrashReport),
    /// Replication progress reported by the process on this VM.
    AppliedOffsets {
        /// VM of the reporting process.
        vm: ids::VmName,
        /// Last `config` record that it has applied; `None` before the first.
        config: Option<ids::Offset>,
        /// Last `control` record that it has applied; `None` before the first.
        control: Option<ids::Offset>,
    },
    /// State of entries, received by gossip from another entry.
    Members(Vec<fleet::Member>),
    /// Sent by the entry on the named VM to a sidecar: whether the sidecar's own VM
    /// is leaving according to the VM list that this entry reads.
    Leaving(ids::VmName, bool),
    /// A request with this fingerprint was answered; clears its suspicion.
    RequestAnswered(ids::Fingerprint),
    /// An operator's request for a copy of the catalog, sent to this channel.
    ReadCatalog(Sender<catalog::Catalog>),
    /// An operator's request for a copy of the other entries' rows, sent to this channel.
    ReadEntries(Sender<Vec<control::EntryRow>>),
    /// A planned stop of this process begins.
    Stop,
}

impl Event {
    /// Whether the event may be delayed by some tens of milliseconds to share a
    /// tick with others of its kind.
    #[must_use]
    pub const fn is_deferrable(&self) -> bool {
        matches!(
            self,
            Self::Report(..) | Self::AppliedOffsets { .. } | Self::Members(_)
        )
    }
}

/// A page of records, read from the log in one call.
#[derive(Clone, Debug)]
pub struct LogPage<R> {
    /// Offset of the oldest record that the log still retains.
    pub first_retained: ids::Offset,
    /// Offset that the next appended record will get.
    pub end: ids::Offset,
    /// Records in offset order.
    pub records: Vec<R>,
}
