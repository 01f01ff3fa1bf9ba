//! Refusals of processes that lag behind the configuration.

use crate::errors;
use crate::ids;

/// The refusal, where its sender has all the configuration that the entry has.
/// One that lags refuses what is allowed by now, which another may run.
#[must_use]
pub fn current(
    refusal: errors::Refusal,
    theirs: Option<ids::Offset>,
    ours: Option<ids::Offset>,
) -> errors::Refusal {
    let by_configuration = matches!(
        refusal.code,
        errors::ResultCode::NotAllowed
            | errors::ResultCode::UnknownProfile
            | errors::ResultCode::VersionWithdrawn
    );
    if theirs >= ours || !by_configuration {
        return refusal;
    }
    errors::Refusal {
        code: errors::ResultCode::NotReady,
        ..refusal
    }
}
