//! Publishes the configuration of a deployment, as operators would.

use std::sync::Arc;

use serde_json::json;

use crate::bench;
use crate::bench::policy;
use crate::catalog;
use crate::demo;
use crate::estimate;
use crate::ids;
use crate::platform;
use crate::standin;
use crate::units;

/// Publishes the objects of a mix to the log and its qualities to the rating service.
pub struct Publication<'a> {
    /// Deployment and traffic to publish.
    pub mix: &'a bench::Mix,
    /// Log that receives the configuration records.
    pub log: &'a standin::StandinLog,
    /// Rating service that receives the true qualities.
    pub rating: &'a standin::StandinRating,
}

impl Publication<'_> {
    /// Publishes teams, versions, profiles and the booking service; returns the tokens of
    /// the teams.
    pub fn publish(&self) -> Result<Vec<String>, bench::BenchError> {
        let count = self.mix.team_shares.len();
        let tokens: Vec<String> = (0..count).map(|i| format!("bench-{i}")).collect();
        let teams: Vec<String> = (0..count).map(|i| format!("team-{i}")).collect();
        for (team, token) in teams.iter().zip(&tokens) {
            let content = catalog::Team {
                token_sha256: vec![ids::Digest::of(token.as_bytes())],
                max_concurrent: 4_096,
            };
            let content = catalog::Object::Team(Arc::new(content));
            self.put(&format!("teams/{team}"), content)?;
        }
        self.publish_versions()?;
        self.publish_profiles(&teams)?;
        let service = json!({ "teams": teams, "undated_keys": "accept" });
        let service = catalog::Object::Service(serde_json::from_value(service)?);
        self.put("services/bookings", service)?;
        Ok(tokens)
    }

    fn put(&self, id: &str, content: catalog::Object) -> Result<(), bench::BenchError> {
        let id = id.parse::<catalog::ObjectId>()?;
        let record = demo::create_record(id, content);
        self.log.append(platform::Stream::Config, &record)?;
        Ok(())
    }

    fn publish_versions(&self) -> Result<(), bench::BenchError> {
        for model in &self.mix.models {
            let version = model.version();
            let content = demo::version_object(model.name.parse()?, model.cost, model.quality);
            self.put(&format!("versions/{version}"), content)?;
            self.rating.control(standin::RatingCommand::Quality {
                version: version.parse()?,
                quality: units::Quality::clamped(model.quality),
            });
            self.set_task_qualities(&version)?;
        }
        let Some(new_version) = &self.mix.new_version else {
            return Ok(());
        };
        let content = new_version.object(self.mix, true)?;
        self.put(&format!("versions/{}", new_version.version), content)?;
        self.rating.control(standin::RatingCommand::Quality {
            version: new_version.version.clone(),
            quality: new_version.quality,
        });
        Ok(())
    }

    fn set_task_qualities(&self, version: &str) -> Result<(), bench::BenchError> {
        for request in &self.mix.requests {
            let bench::RequestKind::Chat {
                task: Some(task),
                max_tokens,
                ..
            } = &request.kind
            else {
                continue;
            };
            let quality = self.mix.quality(version, Some(task));
            self.rating.control(standin::RatingCommand::ClassQuality {
                version: version.parse()?,
                // Prompts of the load are short, so they fall into the class of the
                // smallest prompts.
                class: estimate::RequestClass::of(Some(task), 0, *max_tokens),
                quality: units::Quality::clamped(quality),
            });
        }
        Ok(())
    }

    /// Publishes each profile of the mix, and for the baselines one profile for each of
    /// its versions.
    fn publish_profiles(&self, teams: &[String]) -> Result<(), bench::BenchError> {
        let versions = self.mix.versions();
        let mut published = Vec::new();
        for request in &self.mix.requests {
            let bench::RequestKind::Chat {
                profile,
                quality_target,
                ..
            } = &request.kind
            else {
                continue;
            };
            if published.contains(&profile) {
                continue;
            }
            published.push(profile);
            let put = |name: &str, versions: &[String]| {
                let content = json!({
                    "teams": teams,
                    "versions": versions,
                    "quality_target": quality_target,
                    "deadline_ms": request.deadline_ms,
                    "max_exposure": self.mix.max_exposure,
                });
                let content = catalog::Object::Profile(serde_json::from_value(content)?);
                self.put(&format!("profiles/{name}"), content)
            };
            put(profile.as_str(), &versions)?;
            for version in &versions {
                put(
                    &policy::single_version_profile(profile, version),
                    std::slice::from_ref(version),
                )?;
            }
        }
        Ok(())
    }
}
