//! Kinds of objects that the commands `out`, `back` and `watch` accept.

/// Kind of object that can be taken out of service and brought back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum DrainTarget {
    /// A failure domain with all its VMs.
    Domain,
    /// A single VM, by its name.
    Vm,
}

/// Kind of object whose progress can be watched.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum WatchTarget {
    /// A rollout, until it is complete or stopped.
    Rollout,
    /// A failure domain, until it is drained or back in service.
    Domain,
}
