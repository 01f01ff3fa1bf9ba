//! Why a version was chosen.

/// Why a version was chosen; part of the decision's log line.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    serde::Serialize,
    serde::Deserialize,
    strum::Display,
    strum::EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// The session is on this version.
    Session,
    /// The version is in roll-out and its share and allotment allow it.
    Rollout,
    /// The cheapest version whose estimate meets the target.
    CheapestAtTarget,
    /// No version meets the target; this one is estimated best.
    BestBelowTarget,
    /// A small share of requests goes to a version with few ratings.
    Explore,
    /// A cheaper version's answer was rated below the target.
    Cascade,
    /// The interrupted answer continues on the same version.
    Resume,
    /// An endpoint of the service.
    Service,
    /// The process beside the endpoint wrote the record; only the entry knows the reason.
    KnownToEntry,
}
