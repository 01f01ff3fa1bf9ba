//! Why a session has left its version.

/// Why a session has left its version.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::EnumString, strum::EnumIter,
)]
#[strum(serialize_all = "snake_case")]
pub enum Moved {
    /// The version is withdrawn.
    VersionWithdrawn,
    /// The profile no longer allows the version.
    VersionNotAllowed,
    /// The token is of another profile.
    ProfileChanged,
}
