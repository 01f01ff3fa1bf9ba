//! Stand-in for the rating service, which scores the quality of answers.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use fastrand::Rng;
use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use serde_json::{Value, json};

use crate::estimate;
use crate::http;
use crate::ids;
use crate::runtime;
use crate::settings;
use crate::standin::serve;
use crate::units;

/// Mean rating of versions for which no quality is set.
const DEFAULT_QUALITY: f64 = 0.8;
/// Maximum difference between a rating and the version's quality.
const DEFAULT_NOISE: f64 = 0.05;

/// A command for the rating service, sent as the body of `POST /standin/control`.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RatingCommand {
    /// Answers each request with status 503 while true.
    Outage(bool),
    /// Sets the maximum difference between a rating and the version's quality;
    /// default 0.05.
    Noise(f64),
    /// Sets the quality of a version for all classes without their own.
    Quality {
        /// The version to be rated so.
        version: ids::VersionName,
        /// Mean of its ratings.
        quality: units::Quality,
    },
    /// Sets the quality of a version in one class of requests.
    ClassQuality {
        /// The version to be rated so.
        version: ids::VersionName,
        /// The class of requests to which the quality applies.
        class: estimate::RequestClass,
        /// Mean of its ratings in the class.
        quality: units::Quality,
    },
}

/// A running stand-in rating service; dropping it stops its server.
#[derive(Debug)]
pub struct StandinRating {
    rating: Arc<Rating>,
    server: http::Server,
}

#[derive(Debug)]
struct Rating(Mutex<State>);

#[derive(Debug)]
struct State {
    qualities: HashMap<ids::VersionName, units::Quality>,
    class_qualities: HashMap<(ids::VersionName, estimate::RequestClass), units::Quality>,
    rated: HashMap<ids::VersionName, u64>,
    noise: f64,
    outage: bool,
    rng: Rng,
}

/// Body of a rating request. Messages and answer are required by the protocol
/// but don't affect the rating.
#[derive(serde::Deserialize)]
struct RateRequest {
    version: ids::VersionName,
    #[serde(default)]
    class: estimate::RequestClass,
    #[serde(rename = "messages")]
    _messages: Value,
    #[serde(rename = "answer")]
    _answer: Value,
}

impl State {
    fn rate(
        &mut self,
        version: &ids::VersionName,
        class: estimate::RequestClass,
    ) -> units::Quality {
        *self.rated.entry(version.clone()).or_default() += 1;
        let of_class = self.class_qualities.get(&(version.clone(), class));
        let mean = of_class
            .or_else(|| self.qualities.get(version))
            .map_or(DEFAULT_QUALITY, |quality| quality.get());
        let noise = (self.rng.f64() * 2.0 - 1.0) * self.noise;
        units::Quality::clamped(mean + noise)
    }
}

impl Rating {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn control(&self, command: RatingCommand) {
        let mut state = self.lock();
        match command {
            RatingCommand::Outage(outage) => state.outage = outage,
            RatingCommand::Noise(noise) => state.noise = noise,
            RatingCommand::Quality { version, quality } => {
                state.qualities.insert(version, quality);
            }
            RatingCommand::ClassQuality {
                version,
                class,
                quality,
            } => {
                state.class_qualities.insert((version, class), quality);
            }
        }
    }

    async fn rate(&self, req: Request<Incoming>) -> http::Reply {
        if self.lock().outage {
            return serve::status(StatusCode::SERVICE_UNAVAILABLE);
        }
        let Some(rate) = serve::read_json::<RateRequest>(req).await else {
            return serve::status(StatusCode::BAD_REQUEST);
        };
        let quality = self.lock().rate(&rate.version, rate.class);
        http::json(StatusCode::OK, &json!({ "quality": quality }))
    }
}

impl http::Handler for Rating {
    async fn handle(&self, req: Request<Incoming>) -> http::Reply {
        match (req.method(), req.uri().path()) {
            (&Method::POST, "/rate") => self.rate(req).await,
            (_, "/standin/control") => serve::control(req, |command| self.control(command)).await,
            (_, "/standin/rated") => {
                let rated = self.lock().rated.clone();
                http::json(StatusCode::OK, &rated)
            }
            _ => http::not_found(),
        }
    }
}

impl StandinRating {
    /// Serves on `addr`; the sequence of noise values depends on `seed` alone.
    pub async fn bind(addr: SocketAddr, seed: u64, traffic: &runtime::Traffic) -> io::Result<Self> {
        let rating = Arc::new(Rating(Mutex::new(State {
            qualities: HashMap::new(),
            class_qualities: HashMap::new(),
            rated: HashMap::new(),
            noise: DEFAULT_NOISE,
            outage: false,
            rng: Rng::with_seed(seed),
        })));
        let handler = Arc::clone(&rating);
        let limits = settings::Limits::default();
        let server = http::Server::bind(addr, limits, traffic, handler).await?;
        Ok(Self { rating, server })
    }

    /// Returns the bound address, with the port that the system chose for port 0.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Applies a command, as `POST /standin/control` does.
    pub fn control(&self, command: RatingCommand) {
        self.rating.control(command);
    }

    /// Returns the number of ratings given per version.
    #[must_use]
    pub fn rated(&self) -> HashMap<ids::VersionName, u64> {
        self.rating.lock().rated.clone()
    }
}
