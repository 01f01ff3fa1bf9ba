//! Deployable versions of models.

use crate::ids;
use crate::units;

/// A deployable version of a model, with its cost and expected quality.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Version {
    /// Model that this is a version of.
    pub model: ids::ModelName,
    /// Cost per 1,000 prompt tokens.
    pub prompt_cost: units::MicroCost,
    /// Cost per 1,000 generated tokens.
    pub output_cost: units::MicroCost,
    /// Quality that is assumed before there are ratings; set by the operator.
    pub prior_quality: units::Quality,
    /// Whether the version is withdrawn and receives no new work. Default: false.
    #[serde(default)]
    pub withdrawn: bool,
}

impl Version {
    /// Returns the cost of an answer with these token counts, rounded up.
    #[must_use]
    pub fn cost(&self, prompt: units::Tokens, output: units::Tokens) -> units::MicroCost {
        let sum = prompt
            .0
            .saturating_mul(self.prompt_cost.0)
            .saturating_add(output.0.saturating_mul(self.output_cost.0));
        units::MicroCost(sum.div_ceil(1_000))
    }
}
