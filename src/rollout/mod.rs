//! Roll-outs of versions into profiles.

mod allotment;

pub use allotment::Allotment;
