//! Which requests are taken, by configuration, key and age of both.

use std::sync::Arc;
use std::time::Duration;

use crate::catalog;
use crate::direct;
use crate::errors;
use crate::gateway;
use crate::ids;
use crate::runtime;
use crate::units;

/// Taken off the bound on withdrawn keys, for the way of the request and the
/// grain of the clock.
const REVOKE_MARGIN: Duration = Duration::from_millis(300);
/// Age of the configuration up to which it is taken for complete: reads prove
/// it current every second or so.
const CERTAIN_AGE: Duration = Duration::from_millis(2_500);
/// Time after which a caller may come back where the configuration is not known.
const CONFIG_RETRY: units::Millis = units::Millis(400);
/// Time for which requests are still taken once a planned stop has begun; the
/// platform takes the entry out of rotation after two questions a second apart.
const STOP_TAKES: Duration = Duration::from_secs(3);
/// Time after which a caller may come back to another entry.
const STOP_RETRY: units::Millis = units::Millis(50);

/// A request that is taken.
#[derive(Clone, Debug)]
pub struct Admitted {
    /// The configuration that decided.
    pub deployment: Arc<catalog::Deployment>,
    /// Its age in milliseconds; `None` where it was never proven current.
    pub config_age: Option<Duration>,
    /// The route.
    pub rule: Arc<catalog::RouteRule>,
    /// The team that holds the key; `None` on an anonymous route.
    pub team: Option<ids::TeamName>,
    /// Rank of the request; 0 is the most urgent.
    pub priority: u8,
}

/// Decides whether a request is taken.
pub fn admit(
    cx: &gateway::Cx,
    snapshot: &direct::Snapshot,
    host: &str,
    path: &str,
    facts: &gateway::RequestFacts,
    now: runtime::Moment,
) -> Result<Admitted, errors::Refusal> {
    if cx.stopping_for(now).is_some_and(|since| since > STOP_TAKES) {
        return Err(
            errors::Refusal::new(errors::ResultCode::Draining, "the process is stopping")
                .retry_after(STOP_RETRY),
        );
    }
    let Some(deployment) = &snapshot.deployment else {
        return Err(unknown_config("the configuration is not known yet"));
    };
    let age = snapshot.freshness.age(now);
    let is_certain = age.is_some_and(|age| age < CERTAIN_AGE);
    let Some(rule) = deployment.route(host, path) else {
        return Err(if is_certain {
            errors::Refusal::new(errors::ResultCode::UnknownPath, "no route takes this path")
        } else {
            unknown_config("no route takes this path, but the configuration may be old")
        });
    };
    let (team, priority) = match &deployment.teams {
        Some(teams) if !rule.anonymous => {
            check_age(cx, age)?;
            let access = facts.key.as_ref().and_then(|key| teams.get(key));
            let Some(access) = access else {
                return Err(if is_certain {
                    errors::Refusal::new(errors::ResultCode::Unauthorized, "unknown key")
                } else {
                    unknown_config("unknown key, but the configuration may be old")
                });
            };
            let priority = access.priority.unwrap_or(rule.priority);
            (Some(access.team.clone()), priority)
        }
        _ => (None, rule.priority),
    };
    Ok(Admitted {
        deployment: Arc::clone(deployment),
        config_age: age,
        rule: Arc::clone(rule),
        team,
        priority,
    })
}

/// A key counts only while it is certain that it was not withdrawn too long ago.
fn check_age(cx: &gateway::Cx, age: Option<Duration>) -> Result<(), errors::Refusal> {
    let Some(revoke) = cx.settings().bounds.revoke else {
        return Ok(());
    };
    let limit = revoke.duration().saturating_sub(REVOKE_MARGIN);
    if age.is_some_and(|age| age < limit) {
        return Ok(());
    }
    Err(unknown_config(
        "the configuration is too old to tell whether the key still holds",
    ))
}

fn unknown_config(reason: &'static str) -> errors::Refusal {
    errors::Refusal::new(errors::ResultCode::NotReady, reason).retry_after(CONFIG_RETRY)
}
