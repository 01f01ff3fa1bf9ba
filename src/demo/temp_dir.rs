//! Temporary folders of the demo and the benchmarks.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};

/// A temporary folder that is removed with its content on drop.
#[derive(Debug)]
pub struct TempDir(PathBuf);

impl TempDir {
    /// Creates a folder with a unique name, `prefix` and a UUID, in the system's
    /// folder for temporary files.
    pub fn create(prefix: &str) -> io::Result<Self> {
        let path = std::env::temp_dir().join(format!("{prefix}-{}", uuid::Uuid::new_v4()));
        fs::create_dir(&path)?;
        Ok(Self(path))
    }

    /// Returns the path of the folder.
    #[must_use]
    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        if let Err(err) = fs::remove_dir_all(&self.0) {
            log::warn!("standin: cannot remove the temporary folder: {err}.");
        }
    }
}
