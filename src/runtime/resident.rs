//! Memory of this process.

use std::fs;

use crate::units;

/// Resident memory that is assumed where the system does not tell it.
const ASSUMED: units::Bytes = units::Bytes(16_000_000);

/// Returns the resident memory of this process.
#[must_use]
pub fn resident_bytes() -> units::Bytes {
    let status = fs::read_to_string("/proc/self/status").ok();
    let kilobytes = status.as_deref().and_then(|status| {
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix("VmRSS:"))?;
        line.trim().trim_end_matches(" kB").parse::<u64>().ok()
    });
    kilobytes.map_or(ASSUMED, |kilobytes| units::Bytes(kilobytes * 1_024))
}
