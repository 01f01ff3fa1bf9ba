//! Reads the processor time and memory of a process from `/proc`.

use std::fs;
use std::ops::Sub;
use std::time::Duration;

use crate::bench;
use crate::units;

/// Processor time and memory of a process at one time.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProcessUsage {
    /// Processor time of the threads that exist at the time of reading.
    pub cpu: Duration,
    /// Resident memory that no other process shares.
    pub private: units::Bytes,
}

impl ProcessUsage {
    /// Reads the usage of the process with this id; errs where it cannot be read.
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

/// Processor time since an earlier reading; memory as in the later one.
impl Sub for ProcessUsage {
    type Output = Self;

    fn sub(self, earlier: Self) -> Self {
        Self {
            cpu: self.cpu.saturating_sub(earlier.cpu),
            private: self.private,
        }
    }
}
