//! Choice of a model: the smallest first, a larger one where its answer is
//! not trusted.

mod ladder;

pub use ladder::{Ladder, Step};
