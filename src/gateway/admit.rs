//! Admission of requests by route, key and age of the configuration.

use std::sync::Arc;
use std::time::Duration;

use crate::catalog;
use crate::direct;
use crate::errors;
use crate::gateway;
use crate::ids;
use crate::runtime;
use crate::units;

/// Subtracted from the limit on the use of withdrawn keys, for the time on the network
/// and the resolution of the clock.
const REVOKE_MARGIN: Duration = Duration::from_millis(300);
/// Age up to which the configuration counts as current: reads prove it current about
/// every second.
const MAX_CURRENT_AGE: Duration = Duration::from_millis(2_500);
/// Earliest `Retry-After` while the configuration is not known to be current.
const CONFIG_RETRY_AFTER: units::Millis = units::Millis(400);
/// Time after the begin of a planned stop in which requests are still admitted; the
/// platform takes the entry out of rotation after two probes a second apart.
const STOP_ADMIT_PERIOD: Duration = Duration::from_secs(3);
/// `Retry-After` during a planned stop; the caller reaches another entry.
const STOP_RETRY_AFTER: units::Millis = units::Millis(50);

/// Result of the admission of a request.
#[derive(Clone, Debug)]
pub struct Admitted {
    /// Configuration that decided the admission.
    pub deployment: Arc<catalog::Deployment>,
    /// Route that the request matches.
    pub rule: Arc<catalog::RouteRule>,
    /// Team that holds the key; `None` on an anonymous route.
    pub team: Option<ids::TeamName>,
    /// Priority of the request; 0 is the most urgent.
    pub priority: u8,
    /// Regions in which the request may be executed: those of the route that are also the
    /// team's.
    pub regions: catalog::AllowedRegions,
}

/// Decides whether a request is admitted, by its key and what is known of the configuration.
/// `revoke` is the time for which a withdrawn key may be accepted; `None` sets no limit. The
/// error is the refusal for the caller.
pub fn admit(
    config: &direct::KnownConfig<'_>,
    revoke: Option<units::Millis>,
    host: &str,
    path: &str,
    key: Option<&catalog::ApiKey>,
) -> Result<Admitted, errors::Refusal> {
    let Some(deployment) = config.deployment else {
        return Err(config_refusal("the configuration is not known yet"));
    };
    let is_current = config.age.is_some_and(|age| age < MAX_CURRENT_AGE);
    let Some(rule) = deployment.route(host, path) else {
        return Err(if is_current {
            errors::Refusal::new(errors::ResultCode::UnknownPath, "no route takes this path")
        } else {
            config_refusal("no route takes this path, but the configuration may be old")
        });
    };
    let (team, priority, regions) = match &deployment.teams {
        Some(teams) if !rule.anonymous => {
            check_config_age(revoke, config.age)?;
            let Some(access) = key.and_then(|key| teams.get(key)) else {
                return Err(if is_current {
                    errors::Refusal::new(errors::ResultCode::Unauthorized, "unknown key")
                } else {
                    config_refusal("unknown key, but the configuration may be old")
                });
            };
            let priority = access.priority.unwrap_or(rule.priority);
            let regions = rule.regions.and(&access.regions);
            (Some(access.team.clone()), priority, regions)
        }
        _ => (None, rule.priority, rule.regions.clone()),
    };
    Ok(Admitted {
        deployment: Arc::clone(deployment),
        rule: Arc::clone(rule),
        team,
        priority,
        regions,
    })
}

/// Refuses requests once a planned stop has gone on for so long that they may not end before
/// the process does.
pub fn check_stopping(cx: &gateway::Cx, now: runtime::Moment) -> Result<(), errors::Refusal> {
    let is_late = |since| since > STOP_ADMIT_PERIOD;
    if !cx.stopping_for(now).is_some_and(is_late) {
        return Ok(());
    }
    Err(
        errors::Refusal::new(errors::ResultCode::Draining, "the process is stopping")
            .with_retry_after(STOP_RETRY_AFTER),
    )
}

/// Refuses keys once the configuration is so old that a key may have been withdrawn for
/// longer than the limit allows.
fn check_config_age(
    revoke: Option<units::Millis>,
    age: Option<Duration>,
) -> Result<(), errors::Refusal> {
    let Some(revoke) = revoke else {
        return Ok(());
    };
    let limit = revoke.duration().saturating_sub(REVOKE_MARGIN);
    if age.is_some_and(|age| age < limit) {
        return Ok(());
    }
    Err(config_refusal(
        "the configuration is too old to tell whether the key still holds",
    ))
}

fn config_refusal(reason: &'static str) -> errors::Refusal {
    errors::Refusal::new(errors::ResultCode::NotReady, reason).with_retry_after(CONFIG_RETRY_AFTER)
}
