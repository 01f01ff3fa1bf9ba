//! Random but reproducible behaviour of the soak's endpoints.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use crate::direct::endpoint::{Behaviour, Received};

/// Selects an endpoint's behaviour per request from the soak's seed.
#[derive(Clone, Debug)]
pub struct RandomBehaviour {
    seed: u64,
    /// Whether all requests are answered successfully.
    is_reliable: Arc<AtomicBool>,
}

impl RandomBehaviour {
    pub fn new(seed: u64, is_reliable: bool) -> Self {
        Self {
            seed,
            is_reliable: Arc::new(AtomicBool::new(is_reliable)),
        }
    }

    /// Makes endpoints answer all requests successfully from now on.
    pub fn make_reliable(&self) {
        self.is_reliable.store(true, Ordering::Release);
    }

    /// Returns the behaviour for the `count`th request at an endpoint.
    pub fn behaviour(&self, req: &Received, count: usize) -> Behaviour {
        let is_chat = req.path().starts_with("/chat/");
        let mix = fastrand::Rng::with_seed(self.seed ^ (count as u64) << 20).u64(..);
        let pause = Duration::from_millis((mix >> 32) & 15);
        let per_mille = if self.is_reliable.load(Ordering::Acquire) {
            999
        } else {
            mix % 1_000
        };
        match (is_chat, per_mille) {
            (_, 0..15) => Behaviour::NotRun,
            (_, 15..25) => Behaviour::Answer(500, "bad"),
            (_, 25..35) => Behaviour::Close,
            (_, 35..38) => Behaviour::Silent,
            (_, 38..43) => Behaviour::Busy,
            (true, 43..58) => Behaviour::Cut(3),
            (true, 58..63) => Behaviour::Stall(2),
            (true, 63..150) => Behaviour::Events("5"),
            (true, _) => Behaviour::Events("90"),
            (false, 43..50) => Behaviour::Truncated,
            (false, 50..55) => Behaviour::Crossed,
            (false, 55..60) => Behaviour::Unsigned,
            (false, 60..70) => Behaviour::Echo(Duration::from_millis(700)),
            (false, _) => Behaviour::Echo(pause),
        }
    }
}
