//! Configuration of the demo: team, versions, profiles and service.

use std::sync::Arc;

use serde_json::json;

use crate::catalog;
use crate::demo;
use crate::demo::error::setup_error;
use crate::demo::platform;
use crate::ids;
use crate::standin;
use crate::units;

/// The profile that is printed for callers of the demo.
pub const PROFILE: &str = PROFILES[0].name;

/// A simulated model: cost, quality and speed.
pub struct Model {
    pub(super) name: &'static str,
    /// Cost of 1,000 prompt tokens, in millionths.
    pub(super) cost: u64,
    pub(super) quality: f64,
    pub(super) first_token_ms: u64,
    pub(super) between_tokens_ms: u64,
}

/// The demo's models, cheapest first.
pub const MODELS: [Model; 3] = [
    Model {
        name: "small",
        cost: 100,
        quality: 0.75,
        first_token_ms: 20,
        between_tokens_ms: 2,
    },
    Model {
        name: "medium",
        cost: 400,
        quality: 0.85,
        first_token_ms: 40,
        between_tokens_ms: 4,
    },
    Model {
        name: "large",
        cost: 2_000,
        quality: 0.95,
        first_token_ms: 80,
        between_tokens_ms: 8,
    },
];

/// A profile to publish.
struct ProfileSpec {
    name: &'static str,
    quality_target: f64,
    deadline_ms: u64,
    verify: bool,
}

const PROFILES: [ProfileSpec; 3] = [
    ProfileSpec {
        name: "chat",
        quality_target: 0.7,
        deadline_ms: 30_000,
        verify: false,
    },
    ProfileSpec {
        name: "draft",
        quality_target: 0.8,
        deadline_ms: 60_000,
        verify: true,
    },
    ProfileSpec {
        name: "plan",
        quality_target: 0.9,
        deadline_ms: 120_000,
        verify: false,
    },
];

/// Returns a configuration record that creates an object, with author `demo`.
#[must_use]
pub fn create_record(id: catalog::ObjectId, content: catalog::Object) -> catalog::Body {
    catalog::Body::Change(catalog::Change {
        id: ids::ChangeId::generate(),
        object: id,
        base: ids::Revision(0),
        content: Some(content),
        author: "demo".into(),
    })
}

/// Returns a version for which an output token costs three times as much as a
/// prompt token.
#[must_use]
pub fn version_object(model: ids::ModelName, cost: u64, quality: f64) -> catalog::Object {
    catalog::Object::Version(Arc::new(catalog::Version {
        model,
        prompt_cost: units::MicroCost(cost),
        output_cost: units::MicroCost(3 * cost),
        prior_quality: units::Quality::clamped(quality),
        withdrawn: false,
    }))
}

/// Publishes team, versions, profiles and the booking service, and sets the
/// quality of each version in the rating stand-in.
pub fn publish(
    platform: &platform::Platform,
    access: &demo::Access,
) -> Result<(), demo::DemoError> {
    let teams: Vec<ids::TeamName> = vec!["demo".parse().map_err(setup_error)?];
    let team = catalog::Team {
        token_sha256: vec![ids::Digest::of(access.team_token.as_bytes())],
        max_concurrent: 256,
    };
    platform.publish("teams/demo", catalog::Object::Team(Arc::new(team)))?;
    let mut versions = Vec::new();
    for model in &MODELS {
        let name: ids::VersionName = version_name(model)?;
        let content = version_object(
            model.name.parse().map_err(setup_error)?,
            model.cost,
            model.quality,
        );
        platform.publish(&format!("versions/{name}"), content)?;
        let quality = units::Quality::clamped(model.quality);
        let command = standin::RatingCommand::Quality {
            version: name.clone(),
            quality,
        };
        platform.rating.control(command);
        versions.push(name);
    }
    for spec in &PROFILES {
        let profile = json!({
            "teams": teams,
            "versions": versions,
            "quality_target": spec.quality_target,
            "deadline_ms": spec.deadline_ms,
            "verify": spec.verify,
        });
        let profile = serde_json::from_value(profile).map_err(setup_error)?;
        let id = format!("profiles/{}", spec.name);
        platform.publish(&id, catalog::Object::Profile(profile))?;
    }
    let service = json!({ "teams": teams, "undated_keys": "accept" });
    let service = serde_json::from_value(service).map_err(setup_error)?;
    platform.publish("services/bookings", catalog::Object::Service(service))
}

/// Returns the name of a model's only version.
pub fn version_name(model: &Model) -> Result<ids::VersionName, demo::DemoError> {
    format!("{}-1", model.name).parse().map_err(setup_error)
}
