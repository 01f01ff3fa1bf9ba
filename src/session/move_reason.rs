//! Reasons for which a session leaves its version.

/// Reason why a session continues on another version; the caller gets its snake-case name.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::EnumString, strum::EnumIter,
)]
#[strum(serialize_all = "snake_case")]
pub enum MoveReason {
    /// The version has been withdrawn.
    VersionWithdrawn,
    /// The profile of the session does not allow the version any more.
    VersionNotAllowed,
    /// The token was issued for another profile.
    ProfileChanged,
}
