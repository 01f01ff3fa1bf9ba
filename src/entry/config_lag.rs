//! Refusals by endpoints whose configuration is older than that of the entry.

use crate::errors;
use crate::ids;

/// Returns the refusal unchanged unless it rests on a configuration older than that
/// of the entry. The request may be allowed by now, so the code then becomes a
/// retryable `NotReady` and another endpoint is tried.
#[must_use]
pub fn correct(
    refusal: errors::Refusal,
    peer_config: Option<ids::Offset>,
    own_config: Option<ids::Offset>,
) -> errors::Refusal {
    let depends_on_config = matches!(
        refusal.code,
        errors::ResultCode::NotAllowed
            | errors::ResultCode::UnknownProfile
            | errors::ResultCode::VersionWithdrawn
    );
    if peer_config >= own_config || !depends_on_config {
        return refusal;
    }
    errors::Refusal {
        code: errors::ResultCode::NotReady,
        ..refusal
    }
}
