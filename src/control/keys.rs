//! Slot map keys of the control tables.

slotmap::new_key_type! {
    /// Key of a row in the endpoint table.
    pub struct EndpointKey;
    /// Key of a row in the table of other entries.
    pub struct EntryKey;
    /// Key of a row in the profile table.
    pub struct ProfileKey;
    /// Key of a row in the version table.
    pub struct VersionKey;
    /// Key of a row in the team table.
    pub struct TeamKey;
    /// Key of a row in the service table.
    pub struct ServiceKey;
    /// Key of a row in the rollout table.
    pub struct RolloutKey;
}
