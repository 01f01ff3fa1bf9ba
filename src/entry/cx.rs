//! What the tasks of an entry share.

use std::sync::Arc;

use crate::control;
use crate::entry;
use crate::fleet;
use crate::runtime;
use crate::settings;

/// What the tasks of an entry share.
#[derive(Debug)]
pub struct EntryCx {
    /// This process.
    pub me: fleet::Identity,
    /// Settings of the role.
    pub cfg: settings::EntrySettings,
    /// The control thread.
    pub control: control::Control,
    /// The traffic threads.
    pub traffic: runtime::Traffic,
    /// Connections to sidecars.
    pub links: entry::Links,
}

/// Shared by the tasks.
pub type Shared = Arc<EntryCx>;
