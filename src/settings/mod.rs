//! Settings of the daemon: JSON, checked once at start.

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
