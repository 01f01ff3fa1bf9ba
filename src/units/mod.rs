//! Newtypes for sizes, durations, costs, fractions and rates.

mod count;
mod fraction;

pub use count::{Bytes, InvalidCount, MicroCost, Millis, Tokens};
pub use fraction::{InvalidFraction, Quality, Rate, Share};
