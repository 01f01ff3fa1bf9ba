//! A version that is published during an experiment.

use crate::bench;
use crate::catalog;
use crate::demo;
use crate::ids;
use crate::units;

/// A version that is published during an experiment.
#[derive(Clone, Debug)]
pub struct NewVersion {
    /// Name of the version.
    pub version: ids::VersionName,
    /// The model whose engines serve it, at the model's cost.
    pub model: String,
    /// True quality of its answers.
    pub quality: units::Quality,
    /// Quality that the operators expect.
    pub prior_quality: f64,
}

impl NewVersion {
    /// Returns the version's configuration object; `withdrawn` bars it from new work.
    pub fn object(
        &self,
        mix: &bench::Mix,
        withdrawn: bool,
    ) -> Result<catalog::Object, bench::BenchError> {
        let model = mix.models.iter().find(|model| model.name == self.model);
        let cost = model.map_or(0, |model| model.cost);
        let content = demo::version_object(self.model.parse()?, cost, self.prior_quality);
        Ok(match content {
            catalog::Object::Version(version) => {
                let mut version = (*version).clone();
                version.withdrawn = withdrawn;
                catalog::Object::Version(version.into())
            }
            other => other,
        })
    }
}
