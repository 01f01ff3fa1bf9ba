//! Configuration that decides the admission of a request.

use std::sync::Arc;
use std::time::Duration;

use crate::catalog;
use crate::ids;

/// What is known of the configuration when a request arrives.
#[derive(Clone, Copy, Debug)]
pub struct KnownConfig<'a> {
    /// Last configuration that was read; `None` before the first.
    pub deployment: Option<&'a Arc<catalog::Deployment>>,
    /// Position up to which the topic had been read when it was last proven current.
    pub end: Option<ids::Position>,
    /// Time from that proof to the arrival; `None` before the first.
    pub age: Option<Duration>,
}
