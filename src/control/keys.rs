//! Keys of the tables.

slotmap::new_key_type! {
    /// Key of an endpoint.
    pub struct EndpointKey;
    /// Key of an entry.
    pub struct EntryKey;
    /// Key of a profile.
    pub struct ProfileKey;
    /// Key of a version.
    pub struct VersionKey;
    /// Key of a team.
    pub struct TeamKey;
    /// Key of a service.
    pub struct ServiceKey;
    /// Key of a roll-out.
    pub struct RolloutKey;
}
