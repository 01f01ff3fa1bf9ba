//! Prompts as lists of parts that requests share, and what it takes to read them.

use std::time::Duration;

use crate::balance;
use crate::ids;
use crate::route;
use crate::runtime;
use crate::units;

/// A part of a prompt, which several requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Fingerprint by which the part is recognised.
    pub id: ids::Fingerprint,
    /// Length of the part in tokens.
    pub tokens: units::Tokens,
}

/// Length and parts of a prompt, as stated by the caller.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Length of the prompt in tokens.
    pub input: units::Tokens,
    /// Parts in order. The last is specific to this request or its session.
    pub parts: Vec<PromptPart>,
}

impl Prompt {
    /// Returns the last part that other requests may share; `None` if there are fewer
    /// than two parts.
    #[must_use]
    pub fn shared(&self) -> Option<PromptPart> {
        let (_, shared) = self.parts.split_last()?;
        shared.last().copied()
    }
}

/// A prompt with the model that has to read it.
#[derive(Clone, Copy, Debug)]
pub struct Reading<'a> {
    /// Prompt of the request.
    pub prompt: &'a Prompt,
    /// Index of the model among the models of the route; 0 is the smallest. Engines keep
    /// parts for each model separately.
    pub model: usize,
    /// Speed at which engines read for this model, in tokens per second.
    pub speed: units::Rate,
}

impl Reading<'_> {
    /// Returns the fingerprint of a part as read by this model.
    fn cached_id(&self, part: PromptPart) -> ids::Fingerprint {
        let model = u64::try_from(self.model).unwrap_or_default();
        ids::Fingerprint(route::mix(part.id.0 ^ model))
    }

    /// Returns the fingerprint by which the requests that share the prompt's prefix are
    /// sent to the same endpoint; `None` for a prompt without a shared part.
    #[must_use]
    pub fn affinity(&self) -> Option<ids::Fingerprint> {
        self.prompt.shared().map(|part| self.cached_id(part))
    }

    /// Returns the fingerprints of all parts as read by this model.
    pub(in crate::balance) fn cached_ids(&self) -> impl Iterator<Item = ids::Fingerprint> + '_ {
        self.prompt.parts.iter().map(|part| self.cached_id(*part))
    }

    /// Returns the tokens that an endpoint with these cached parts still has to read. A
    /// part is of use only if all parts before it are cached too.
    #[must_use]
    pub fn unread(&self, cached: &balance::CachedParts, now: runtime::Moment) -> units::Tokens {
        let kept = self
            .prompt
            .parts
            .iter()
            .take_while(|part| cached.contains(self.cached_id(**part), now))
            .fold(units::Tokens(0), |sum, part| {
                sum.saturating_add(part.tokens)
            });
        self.prompt.input.saturating_sub(kept)
    }

    /// Returns the tokens that are left to an endpoint that has cached all shared parts.
    #[must_use]
    pub fn own_tokens(&self) -> units::Tokens {
        let shared = self
            .prompt
            .parts
            .split_last()
            .map_or(&[][..], |(_, shared)| shared);
        let kept = shared.iter().fold(units::Tokens(0), |sum, part| {
            sum.saturating_add(part.tokens)
        });
        self.prompt.input.saturating_sub(kept)
    }

    /// Returns the time in which an idle engine reads this many tokens.
    #[must_use]
    pub fn time(&self, tokens: units::Tokens) -> Duration {
        #[allow(clippy::cast_precision_loss)]
        let seconds = tokens.0 as f64 / self.speed.get().max(1.0);
        Duration::from_secs_f64(seconds)
    }
}
