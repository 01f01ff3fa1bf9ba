//! Reasons for the selection of a version.

/// Why a version was selected; part of the log line of the decision.
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
    /// The session is already on this version.
    Session,
    /// The version is in rollout, and its share and allotment admitted the request.
    Rollout,
    /// Cheapest version whose estimated quality meets the target.
    CheapestAtTarget,
    /// No version meets the target; this one has the highest estimated quality.
    BestBelowTarget,
    /// A small fraction of requests goes to a version other than the cheapest at target.
    Explore,
    /// The answer of a cheaper version was rated below the target.
    Cascade,
    /// An interrupted answer is resumed on the same version.
    Resume,
    /// Endpoint of a plain service, which has no versions to select from.
    Service,
    /// The sidecar wrote the record; only the entry knows the reason.
    KnownToEntry,
}
