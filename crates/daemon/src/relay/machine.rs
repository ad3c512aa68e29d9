//! Size of the machine on which the process runs.

use std::fs;

use crate::relay::settings;

/// Memory that is assumed if neither the settings nor the system state it, in bytes.
const DEFAULT_MEMORY: usize = 256_000_000;
/// Bytes in an MB of the settings.
const MB: u64 = 1_000_000;

/// What the process may use of its machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Machine {
    /// Memory, in bytes.
    pub memory: usize,
}

impl Machine {
    /// Returns what the settings and the system state; the smaller one counts.
    #[must_use]
    pub fn detect(limits: &settings::Limits) -> Self {
        let stated = limits.memory_mb.get().and_then(|mb| usize::try_from(mb * MB).ok());
        let memory = match (stated, total_memory()) {
            (Some(stated), Some(total)) => stated.min(total),
            (stated, total) => stated.or(total).unwrap_or_else(|| {
                tracing::warn!(
                    step = "start",
                    outcome = "memory not known",
                    reason = "neither limits.memory_mb nor the system states it",
                );
                DEFAULT_MEMORY
            }),
        };
        Self { memory }
    }
}

/// Returns the memory of the system, in bytes; `None` if it does not state that.
fn total_memory() -> Option<usize> {
    let text = fs::read_to_string("/proc/meminfo").ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix("MemTotal:"))?;
    let kib: usize = line.trim().strip_suffix("kB")?.trim().parse().ok()?;
    kib.checked_mul(1_024)
}
