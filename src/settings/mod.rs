//! Settings of the daemon.
//!
//! The daemon's own settings are JSON and checked once at start; those of a
//! direct entry are resolved from the platform's settings file.

mod direct;
mod fields;
mod load;
mod locate;

pub use direct::{Bounds, Direct};
pub use fields::{
    EndpointSettings, EntrySettings, Limits, PlatformSettings, Role, Settings, SidecarSettings,
    TlsSettings,
};
pub use load::{SettingsError, load, parse};
