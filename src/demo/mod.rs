//! Development demo: entry, sidecars and stand-ins of all services in one process.

mod error;
mod main;
mod platform;
mod process_plan;
mod publish;
mod stack;
mod temp_dir;

pub use error::DemoError;
pub use main::main;
pub use process_plan::{Deployment, ProcessPlan, sidecar_role};
pub use publish::{create_record, version_object};
pub use stack::{Access, Stack};
pub use temp_dir::TempDir;
