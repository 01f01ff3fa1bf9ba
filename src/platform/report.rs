//! Records of the topic in which entries report to the operator and to each other.

use hyper::body::Bytes;

use crate::direct;
use crate::observe;
use crate::platform::{crash_record, limit_record, rollout_status};
use crate::poison;

/// A decoded record of the topic.
#[derive(Clone, Debug, PartialEq)]
pub enum Report {
    /// Stage of a rollout.
    Rollout(direct::RolloutReport),
    /// Crashes of endpoints under a request.
    Crashes(poison::CrashReport),
    /// Limit that an endpoint names.
    Limit(direct::LimitReport),
}

/// Decodes a record; `None` where it cannot be used, and is added to `left_out`, or where it is
/// a rollout report that was removed.
#[must_use]
pub fn decode(key: &str, value: Option<&Bytes>, left_out: &mut observe::LeftOut) -> Option<Report> {
    if let Some(service) = key.strip_prefix(rollout_status::KEY_PREFIX) {
        let report = rollout_status::decode(service, value?);
        left_out.usable(key, report).map(Report::Rollout)
    } else if let Some(fingerprint) = key.strip_prefix(crash_record::KEY_PREFIX) {
        let report = crash_record::decode(fingerprint, value);
        left_out.usable(key, report).map(Report::Crashes)
    } else if let Some(endpoint) = key.strip_prefix(limit_record::KEY_PREFIX) {
        let report = limit_record::decode(endpoint, value);
        left_out.usable(key, report).map(Report::Limit)
    } else {
        left_out.push_unknown(key, value);
        None
    }
}
