//! Settings of the daemon: JSON, checked once at start.

mod fields;
mod load;
mod locate;

pub use fields::{
    EndpointSettings, EntrySettings, Limits, PlatformSettings, Role, Settings, SidecarSettings,
    TlsSettings,
};
pub use load::{SettingsError, load, parse};
