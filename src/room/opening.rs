//! When an endpoint takes another request.
//!
//! Load pattern: endpoints that pause, return or are full while others are open.

use crate::runtime;

/// When an endpoint takes another request, as this entry knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Opening {
    /// It takes one now.
    Now,
    /// It is expected to take one at this time: a pause ends, a permit is due or a place is
    /// left.
    At(runtime::Moment),
    /// Only where no other does; `Some` is when it is expected to take one as usual.
    LastResort(Option<runtime::Moment>),
    /// It has failed or is silent; nothing tells when it is back. A request may be sent to it
    /// where nothing better is left.
    Unknown,
    /// It leaves.
    Never,
}
