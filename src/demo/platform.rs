//! The platform's stand-ins.

use std::net::SocketAddr;

use crate::catalog;
use crate::demo;
use crate::demo::error::setup;
use crate::platform;
use crate::runtime;
use crate::settings;
use crate::standin;
use crate::units;

/// Seed of the ratings.
const RATING_SEED: u64 = 1;

/// The platform's stand-ins.
pub struct Platform {
    pub(super) log: standin::StandinLog,
    pub(super) inventory: standin::StandinInventory,
    pub(super) rating: standin::StandinRating,
    pub(super) weights: standin::StandinWeights,
}

impl Platform {
    /// Starts the stand-ins on ports that the system chooses.
    pub async fn bind(traffic: &runtime::Traffic) -> std::io::Result<Self> {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let load_time = units::Millis(500);
        Ok(Self {
            log: standin::StandinLog::bind(any, traffic).await?,
            inventory: standin::StandinInventory::bind(any, traffic).await?,
            rating: standin::StandinRating::bind(any, RATING_SEED, traffic).await?,
            weights: standin::StandinWeights::bind(any, 2, load_time, traffic).await?,
        })
    }

    /// Their addresses.
    pub fn settings(&self) -> settings::PlatformSettings {
        settings::PlatformSettings {
            log_addr: self.log.addr(),
            inventory_addr: self.inventory.addr(),
            rating_addr: Some(self.rating.addr()),
            weights_addr: Some(self.weights.addr()),
        }
    }

    /// Appends the creation of an object to the log.
    pub fn publish(&self, id: &str, content: catalog::Object) -> Result<(), demo::DemoError> {
        let id = id.parse().map_err(setup)?;
        let record = demo::change(id, content);
        self.log
            .append(platform::Stream::Config, &record)
            .map_err(setup)?;
        Ok(())
    }
}
