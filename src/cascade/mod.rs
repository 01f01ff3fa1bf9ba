//! Model cascade: the smallest model answers first, a larger one when that
//! answer has too little confidence.

mod models;

pub use models::{Cascade, Decision};
