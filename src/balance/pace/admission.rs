//! Whether an endpoint takes another request.

use crate::runtime;

/// Answer to the question whether an endpoint takes another request of this entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It does.
    Open,
    /// Only if no other endpoint does: the entry suspects that it is not well, but the
    /// endpoint has not asked to be left alone.
    LastResort(Hold),
    /// It does not.
    Closed(Hold),
}

/// Why an endpoint takes no request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Hold {
    /// It has asked for a pause until this time.
    Paused(runtime::Moment),
    /// It has failed, and is tried again at this time.
    Failed(runtime::Moment),
    /// The request that tries it has not been answered; another one may at this time.
    Probed(runtime::Moment),
    /// It has as many requests as its pace allows; expected to take another at this time.
    Rising(runtime::Moment),
    /// It sends nothing although it has requests.
    Silent,
    /// It leaves.
    Leaving,
}
