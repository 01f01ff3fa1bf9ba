//! Configuration that decides the admission of a request.

use std::sync::Arc;
use std::time::Duration;

use crate::catalog;
use crate::direct;

/// What is known of the configuration when a request arrives.
#[derive(Clone, Copy, Debug)]
pub struct KnownConfig<'a> {
    /// Last configuration that was read; `None` before the first.
    pub deployment: Option<&'a Arc<catalog::Deployment>>,
    /// Last proof that it was current; `None` before the first.
    pub confirmation: Option<direct::Confirmation>,
    /// Time from that proof to the arrival.
    pub age: Option<Duration>,
}
