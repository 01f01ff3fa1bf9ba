//! A temporary folder.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};

/// A temporary folder, removed with its content when dropped.
#[derive(Debug)]
pub struct Folder(PathBuf);

impl Folder {
    /// Creates a folder that only this run uses.
    pub fn create(prefix: &str) -> io::Result<Self> {
        let path = std::env::temp_dir().join(format!("{prefix}-{}", uuid::Uuid::new_v4()));
        fs::create_dir(&path)?;
        Ok(Self(path))
    }

    /// Its path.
    #[must_use]
    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if let Err(err) = fs::remove_dir_all(&self.0) {
            log::warn!("standin: cannot remove the temporary folder: {err}.");
        }
    }
}
