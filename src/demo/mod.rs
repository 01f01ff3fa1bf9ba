//! Development demo: entry, sidecars and stand-ins of all services in one process.

mod error;
mod folder;
mod main;
mod node_plan;
mod platform;
mod publish;
mod stack;

pub use error::DemoError;
pub use folder::Folder;
pub use main::main;
pub use node_plan::{NodePlan, Site, sidecar};
pub use publish::{change, version};
pub use stack::{Access, Stack};
