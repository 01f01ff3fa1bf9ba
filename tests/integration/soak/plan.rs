//! Fault plans, derived from a seed.

use std::time::Duration;

use strum::IntoEnumIterator;

/// Range of the time at which a fault starts, from the start of the traffic.
const START_MS: std::ops::Range<u64> = 1_000..11_000;
/// Range of the duration of a fault.
const DURATION_MS: std::ops::Range<u64> = 200..5_000;
/// Number of faults to draw; a series counts as one.
const FAULT_COUNT: std::ops::RangeInclusive<usize> = 3..=9;
/// Maximum of faults in a series.
const MAX_SERIES_LENGTH: u64 = 3;
/// Seeds divisible by this have planned work only, and endpoints without faults.
const PLANNED_ONLY_DIVISOR: u64 = 3;

/// Seeds divisible by this have many entries, among which limits are divided.
const MANY_ENTRIES_DIVISOR: u64 = 4;
const MANY_ENTRIES: usize = 20;
/// Seeds from this on have a store that comes back from an older copy too; the plans of the
/// others stay as they are.
pub const FIRST_RESTORING_SEED: u64 = 1_000;

/// Kind of a fault, or of planned work by an operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::EnumIter)]
pub enum FaultKind {
    /// An entry is stopped as planned and restarted after its exit.
    Terminate,
    /// An entry reloads its settings.
    Reload,
    /// An endpoint drains and leaves permanently.
    Leave,
    /// A route is added to the configuration.
    AddRoute,
    /// A team's key is withdrawn permanently.
    WithdrawKey,
    /// An entry is killed and restarted.
    Kill,
    /// An entry's process is suspended.
    Freeze,
    /// The link between an entry and the store is cut.
    StoreCut,
    /// An entry's calls reach the store, but the answers are lost.
    StoreDeaf,
    /// The link between an entry and the store is slow.
    StoreFar,
    /// An entry's connections to the store are reset.
    StoreReset,
    /// The store refuses all calls.
    StoreRefuses,
    /// The store accepts calls but does not answer.
    StoreHangs,
    /// The store answers slowly.
    StoreSlow,
    /// The store truncates its topics; the newest record of each key stays.
    StoreForgets,
    /// The store comes back from a copy that was made when the fault began.
    StoreRestored,
    /// The link between an entry and its callers is cut.
    CallersCut,
    /// Requests reach an entry, but its answers to callers are lost.
    CallersDeaf,
    /// The link between an entry and its callers is slow.
    CallersFar,
    /// The connections of an entry's callers are reset.
    CallersReset,
    /// The link to an endpoint is cut.
    EndpointCut,
    /// Requests reach an endpoint, but its answers are lost.
    EndpointMute,
    /// The link to an endpoint is slow.
    EndpointFar,
    /// The connections to an endpoint are reset.
    EndpointReset,
    /// Connections to an endpoint are closed when it answers.
    EndpointLosesAnswers,
}

impl FaultKind {
    /// Returns whether it is planned work, during which no request may be lost.
    pub const fn is_planned(self) -> bool {
        matches!(
            self,
            Self::Terminate | Self::Reload | Self::Leave | Self::AddRoute | Self::WithdrawKey
        )
    }

    /// Returns whether it affects an entry or one of its links.
    pub const fn affects_entry(self) -> bool {
        matches!(
            self,
            Self::Terminate
                | Self::Reload
                | Self::Kill
                | Self::Freeze
                | Self::StoreCut
                | Self::StoreDeaf
                | Self::StoreFar
                | Self::StoreReset
        ) || self.affects_callers_link()
    }

    /// Returns whether it affects the link between an entry and its callers.
    pub const fn affects_callers_link(self) -> bool {
        matches!(
            self,
            Self::CallersCut | Self::CallersDeaf | Self::CallersFar | Self::CallersReset
        )
    }

    /// Returns whether it happens at most once per soak.
    const fn happens_once(self) -> bool {
        matches!(self, Self::Leave | Self::AddRoute | Self::WithdrawKey)
    }
}

/// A fault of a plan.
#[derive(Clone, Copy, Debug)]
pub struct Planned {
    pub kind: FaultKind,
    /// Index of the affected entry or endpoint, modulo their number.
    pub target: usize,
    /// Time of its start, from the start of the traffic.
    pub at: Duration,
    pub duration: Duration,
}

/// Size and faults of a soak, as determined by its seed.
#[derive(Clone, Debug)]
pub struct Plan {
    pub entries: usize,
    /// Whether there are unplanned faults, including those of endpoints by themselves.
    pub has_unplanned_faults: bool,
    /// Faults in order of their start.
    pub faults: Vec<Planned>,
}

/// Derives the plan of a seed.
pub fn plan(seed: u64) -> Plan {
    let mut rng = fastrand::Rng::with_seed(seed);
    let has_unplanned_faults = !seed.is_multiple_of(PLANNED_ONLY_DIVISOR);
    let kinds: Vec<_> = FaultKind::iter()
        .filter(|kind| *kind != FaultKind::StoreRestored)
        .filter(|kind| has_unplanned_faults || kind.is_planned())
        .collect();
    let mut faults: Vec<Planned> = Vec::new();
    for _ in 0..rng.usize(FAULT_COUNT) {
        let kind = kinds[rng.usize(..kinds.len())];
        let series_length = if kind.happens_once() {
            1
        } else {
            rng.u64(1..=MAX_SERIES_LENGTH)
        };
        if kind.happens_once() && faults.iter().any(|other| other.kind == kind) {
            continue;
        }
        let first = rng.u64(START_MS);
        let gap = rng.u64(100..2_000);
        let target = rng.usize(..64);
        faults.extend((0..series_length).map(|i| Planned {
            kind,
            target: target + usize::try_from(i).unwrap_or_default() * rng.usize(..2),
            at: Duration::from_millis((first + i * gap).min(START_MS.end)),
            duration: Duration::from_millis(rng.u64(DURATION_MS)),
        }));
    }
    faults.sort_by_key(|fault| fault.at);
    let entries = rng.usize(2..=6);
    if seed >= FIRST_RESTORING_SEED {
        faults.extend((0..rng.u64(1..=MAX_SERIES_LENGTH)).map(|_| Planned {
            kind: FaultKind::StoreRestored,
            target: 0,
            at: Duration::from_millis(rng.u64(START_MS)),
            duration: Duration::from_millis(rng.u64(DURATION_MS)),
        }));
        faults.sort_by_key(|fault| fault.at);
    }
    Plan {
        entries: if seed.is_multiple_of(MANY_ENTRIES_DIVISOR) {
            MANY_ENTRIES
        } else {
            entries
        },
        has_unplanned_faults,
        faults,
    }
}
