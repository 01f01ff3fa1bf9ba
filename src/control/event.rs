//! What the control thread is told.

use smol::channel::Sender;

use crate::catalog;
use crate::control;
use crate::estimate;
use crate::fleet;
use crate::ids;
use crate::ledger;
use crate::platform;
use crate::services;

/// Something that happened; systems read the events of their tick.
#[derive(Clone, Debug)]
pub enum Event {
    /// Records of the `config` stream, read from the log.
    ConfigPage(LogPage<catalog::Record>),
    /// Records of the `config` stream, handed over by another process.
    ConfigFromPeer(Vec<catalog::Record>),
    /// Records of the `control` stream, read from the log.
    ControlPage(LogPage<ledger::Record>),
    /// Records of the `control` stream, handed over by another process.
    ControlFromPeer(Vec<ledger::Record>),
    /// Records of the `evidence` stream with their offsets, read under this fence.
    EvidencePage(
        ids::Fence,
        LogPage<(ids::Offset, Option<estimate::Evidence>)>,
    ),
    /// What came of an order to the endpoint on this VM.
    Ordered {
        /// The VM.
        vm: ids::VmName,
        /// The order.
        action: fleet::OrderAction,
        /// Whether the endpoint carried it out.
        done: bool,
    },
    /// A read of a stream failed; the log may be unavailable.
    LogFailed(platform::Stream),
    /// The platform's list of VMs.
    Inventory(Vec<services::Vm>),
    /// A connection to another process is up.
    LinkUp(fleet::Identity),
    /// The connection to the process on this VM is down.
    LinkDown(ids::VmName),
    /// State of the endpoint on this VM.
    Report(ids::VmName, fleet::Report),
    /// An endpoint died while it ran requests.
    Crash(fleet::CrashReport),
    /// What the process on this VM has read of `config` and `control`.
    Applied {
        /// The VM.
        vm: ids::VmName,
        /// Last `config` record.
        config: Option<ids::Offset>,
        /// Last `control` record.
        control: Option<ids::Offset>,
    },
    /// State of entries, told by another entry.
    Members(Vec<fleet::Member>),
    /// Whether this VM is leaving according to the list that the entry on that VM reads.
    Leaving(ids::VmName, bool),
    /// A request with this fingerprint has been answered.
    Completed(ids::Fingerprint),
    /// An operator's request for the catalog; answered with a copy.
    ReadCatalog(Sender<catalog::Catalog>),
    /// An operator's request for the rows of other entries; answered with a copy.
    ReadEntries(Sender<Vec<control::EntryRow>>),
    /// The process begins a planned stop.
    Stop,
}

impl Event {
    /// Whether the event may wait some tens of milliseconds for others like it.
    #[must_use]
    pub const fn can_wait(&self) -> bool {
        matches!(
            self,
            Self::Report(..) | Self::Applied { .. } | Self::Members(_)
        )
    }
}

/// Records read from the log in one call.
#[derive(Clone, Debug)]
pub struct LogPage<R> {
    /// Offset of the oldest record that the log retains.
    pub first_retained: ids::Offset,
    /// Offset of the next record to be appended.
    pub end: ids::Offset,
    /// The records in order.
    pub records: Vec<R>,
}
