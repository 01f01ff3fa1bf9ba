//! Faults drawn from a seed.

use std::time::Duration;

use strum::IntoEnumIterator;

/// First and last start of a fault.
const STARTS_MS: std::ops::Range<u64> = 1_000..11_000;
/// How long a fault lasts.
const LASTS_MS: std::ops::Range<u64> = 200..5_000;
/// Faults drawn; a series counts once.
const FAULTS: std::ops::RangeInclusive<usize> = 3..=9;
/// Most faults in a series.
const MAX_SERIES: u64 = 3;
/// Each seed that this divides has planned work only, and endpoints that behave.
const PLANNED_ONLY: u64 = 3;

/// What goes wrong, or what the operator does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::EnumIter)]
pub enum Kind {
    /// An entry is told to stop, and started again when it has.
    Terminate,
    /// An entry reads its settings again.
    Reload,
    /// An endpoint drains and leaves for good.
    Leave,
    /// A route is added.
    AddRoute,
    /// A team's key is withdrawn for good.
    WithdrawKey,
    /// An entry is killed and started again.
    Kill,
    /// An entry stands still.
    Freeze,
    /// An entry and the store are cut from each other.
    StoreCut,
    /// An entry reaches the store, but gets no answers.
    StoreDeaf,
    /// The way between an entry and the store is slow.
    StoreFar,
    /// An entry's connections to the store are reset.
    StoreReset,
    /// The store refuses all calls.
    StoreRefuses,
    /// The store answers no call.
    StoreHangs,
    /// The store answers slowly.
    StoreSlow,
    /// The store drops its history.
    StoreForgets,
    /// An entry and its callers are cut from each other.
    CallersCut,
    /// An entry gets requests, and its callers get nothing.
    CallersDeaf,
    /// The way between an entry and its callers is slow.
    CallersFar,
    /// The connections of an entry's callers are reset.
    CallersReset,
    /// An endpoint is cut off.
    EndpointCut,
    /// An endpoint gets requests, and its answers are lost.
    EndpointMute,
    /// The way to an endpoint is slow.
    EndpointFar,
    /// The connections to an endpoint are reset.
    EndpointReset,
    /// Connections to an endpoint close as it answers.
    EndpointLosesAnswers,
}

impl Kind {
    /// Whether it is planned work, around which no request may be lost.
    pub const fn is_planned(self) -> bool {
        matches!(
            self,
            Self::Terminate | Self::Reload | Self::Leave | Self::AddRoute | Self::WithdrawKey
        )
    }

    /// Whether it happens to an entry.
    pub const fn is_of_entry(self) -> bool {
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
        ) || self.is_of_callers()
    }

    /// Whether it happens to the link between an entry and its callers.
    pub const fn is_of_callers(self) -> bool {
        matches!(
            self,
            Self::CallersCut | Self::CallersDeaf | Self::CallersFar | Self::CallersReset
        )
    }

    /// Whether it happens once at most.
    const fn is_once(self) -> bool {
        matches!(self, Self::Leave | Self::AddRoute | Self::WithdrawKey)
    }
}

/// A fault to come.
#[derive(Clone, Copy, Debug)]
pub struct Planned {
    pub kind: Kind,
    /// Number of the entry or endpoint that it happens to.
    pub target: usize,
    /// Time from the start of the traffic.
    pub at: Duration,
    pub lasts: Duration,
}

/// What a seed stands for.
#[derive(Clone, Debug)]
pub struct Plan {
    pub entries: usize,
    /// Whether endpoints misbehave by themselves.
    pub is_rough: bool,
    /// In the order of their starts.
    pub faults: Vec<Planned>,
}

/// Draws the plan of a seed.
pub fn plan(seed: u64) -> Plan {
    let mut rng = fastrand::Rng::with_seed(seed);
    let is_rough = !seed.is_multiple_of(PLANNED_ONLY);
    let kinds: Vec<_> = Kind::iter()
        .filter(|kind| is_rough || kind.is_planned())
        .collect();
    let mut faults: Vec<Planned> = Vec::new();
    for _ in 0..rng.usize(FAULTS) {
        let kind = kinds[rng.usize(..kinds.len())];
        let series = if kind.is_once() {
            1
        } else {
            rng.u64(1..=MAX_SERIES)
        };
        if kind.is_once() && faults.iter().any(|known| known.kind == kind) {
            continue;
        }
        let first = rng.u64(STARTS_MS);
        let gap = rng.u64(100..2_000);
        let target = rng.usize(..64);
        faults.extend((0..series).map(|i| Planned {
            kind,
            target: target + usize::try_from(i).unwrap_or_default() * rng.usize(..2),
            at: Duration::from_millis((first + i * gap).min(STARTS_MS.end)),
            lasts: Duration::from_millis(rng.u64(LASTS_MS)),
        }));
    }
    faults.sort_by_key(|fault| fault.at);
    Plan {
        entries: rng.usize(2..=6),
        is_rough,
        faults,
    }
}
