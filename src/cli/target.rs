//! What some commands act on.

/// What can be taken out and brought back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Place {
    /// A failure domain.
    Domain,
    /// A VM.
    Vm,
}

/// What can be watched.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Watched {
    /// A roll-out.
    Rollout,
    /// A failure domain.
    Domain,
}
