//! The platform's services, as embedded stand-ins.

use std::net::SocketAddr;

use crate::catalog;
use crate::demo;
use crate::demo::error::setup_error;
use crate::platform;
use crate::runtime;
use crate::settings;
use crate::standin;
use crate::units;

/// Seed of the rating noise.
const RATING_SEED: u64 = 1;

/// Running stand-ins for all services of the platform.
pub struct Platform {
    pub(super) log: standin::StandinLog,
    pub(super) inventory: standin::StandinInventory,
    pub(super) rating: standin::StandinRating,
    pub(super) weights: standin::StandinWeights,
}

impl Platform {
    /// Starts the stand-ins on loopback ports that the system chooses.
    pub async fn bind(traffic: &runtime::Traffic) -> std::io::Result<Self> {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let load_time = units::Millis(500);
        Ok(Self {
            log: standin::StandinLog::bind(any_port, traffic).await?,
            inventory: standin::StandinInventory::bind(any_port, traffic).await?,
            rating: standin::StandinRating::bind(any_port, RATING_SEED, traffic).await?,
            weights: standin::StandinWeights::bind(any_port, 2, load_time, traffic).await?,
        })
    }

    /// Returns the addresses of the stand-ins as settings for the processes.
    pub fn settings(&self) -> settings::PlatformSettings {
        settings::PlatformSettings {
            log_addr: self.log.addr(),
            inventory_addr: self.inventory.addr(),
            rating_addr: Some(self.rating.addr()),
            weights_addr: Some(self.weights.addr()),
        }
    }

    /// Appends a record that creates an object; fails if `id` is no valid object id.
    pub fn publish(&self, id: &str, content: catalog::Object) -> Result<(), demo::DemoError> {
        let id = id.parse().map_err(setup_error)?;
        let record = demo::create_record(id, content);
        self.log
            .append(platform::Stream::Config, &record)
            .map_err(setup_error)?;
        Ok(())
    }
}
