//! Processor time and memory of a process.

use std::fs;
use std::ops::Sub;
use std::time::Duration;

use crate::bench;
use crate::units;

/// What a process uses, from `/proc`.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProcessUsage {
    /// Processor time of all its threads.
    pub cpu: Duration,
    /// Resident memory that is its own.
    pub private: units::Bytes,
}

impl ProcessUsage {
    /// Usage of the process with this id.
    pub fn of(pid: u32) -> Result<Self, bench::BenchError> {
        let mut nanos = 0;
        for task in fs::read_dir(format!("/proc/{pid}/task"))? {
            let text = fs::read_to_string(task?.path().join("schedstat"))?;
            let ran = text.split_whitespace().next().unwrap_or_default();
            nanos += ran.parse::<u64>()?;
        }
        let memory = fs::read_to_string(format!("/proc/{pid}/smaps_rollup"))?;
        let private = memory
            .lines()
            .filter(|line| line.starts_with("Private_"))
            .filter_map(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok())
            .sum::<u64>();
        Ok(Self {
            cpu: Duration::from_nanos(nanos),
            private: units::Bytes(private * 1_024),
        })
    }
}

/// Processor time since an earlier reading; memory as it is now.
impl Sub for ProcessUsage {
    type Output = Self;

    fn sub(self, earlier: Self) -> Self {
        Self {
            cpu: self.cpu.saturating_sub(earlier.cpu),
            private: self.private,
        }
    }
}
