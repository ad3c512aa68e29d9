//! Size of the machine on which the process runs.

use std::fs;

use crate::relay::settings;

/// Memory that is assumed if neither the settings nor the system state it, in bytes.
const DEFAULT_MEMORY: usize = 256_000_000;
/// Bytes in an MB of the settings.
const MB: u64 = 1_000_000;

/// Descriptors that are kept for files.
const FILE_DESCRIPTORS: usize = 200;
/// Connections of callers as a fraction of the other descriptors: one in this many.
const DESCRIPTOR_PARTS: usize = 2;
/// Connections of other VMs as a fraction of the other descriptors: one in this many.
const PEER_PARTS: usize = 4;
/// Memory for connections of callers as a fraction of the memory: one part in this many.
const MEMORY_PARTS: usize = 3;
/// Size of the receive buffer of a connection of a caller, in bytes.
pub const RECEIVE_BUFFER_BYTES: usize = 32 * 1024;
/// Memory that a connection of a caller may hold in addition to the body of its request, in
/// bytes: a head, a frame of a body, and what is received and not read, for which the system
/// takes up to one and a half times the receive buffer.
const CONNECTION_BYTES: usize = 32 * 1024 + RECEIVE_BUFFER_BYTES / 2 * 3;
/// Least number of connections of callers.
const MIN_CONNECTIONS: usize = 16;

/// Largest number of connections of other VMs.
const MAX_PEERS: usize = 4_096;

/// What the process may use of its machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Machine {
    /// Memory, in bytes.
    pub memory: usize,
    /// Number of descriptors.
    pub descriptors: usize,
}

impl Machine {
    /// Returns what the settings and the system state; the smaller one counts.
    #[must_use]
    pub fn detect(limits: &settings::Limits) -> Self {
        let memory = limits.memory_mb.get().and_then(|mb| usize::try_from(mb * MB).ok());
        let descriptors = limits.descriptors.get().and_then(|count| usize::try_from(count).ok());
        Self {
            memory: smaller(memory, total_memory()).unwrap_or_else(|| {
                tracing::warn!(
                    step = "start",
                    outcome = "memory not known",
                    reason = "neither limits.memory_mb nor the system states it",
                );
                DEFAULT_MEMORY
            }),
            descriptors: smaller(descriptors, descriptor_limit()).unwrap_or(usize::MAX),
        }
    }

    /// Returns how many connections other VMs may have.
    #[must_use]
    pub fn peers(&self) -> usize {
        let by_descriptors = self.descriptors.saturating_sub(FILE_DESCRIPTORS) / PEER_PARTS;
        by_descriptors.clamp(MIN_CONNECTIONS, MAX_PEERS)
    }

    /// Returns how many connections callers may have.
    #[must_use]
    pub fn connections(&self) -> usize {
        let by_descriptors = self.descriptors.saturating_sub(FILE_DESCRIPTORS) / DESCRIPTOR_PARTS;
        let by_memory = self.memory / MEMORY_PARTS / CONNECTION_BYTES;
        by_descriptors.min(by_memory).max(MIN_CONNECTIONS)
    }
}

/// Returns the smaller one of two limits, as far as they are known.
fn smaller(stated: Option<usize>, system: Option<usize>) -> Option<usize> {
    stated.into_iter().chain(system).min()
}

/// Returns how many descriptors the system lets the process open; `None` if it sets no limit.
fn descriptor_limit() -> Option<usize> {
    let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile);
    limit.current.and_then(|limit| usize::try_from(limit).ok())
}

/// Returns the memory of the system, in bytes; `None` if it does not state that.
fn total_memory() -> Option<usize> {
    let text = fs::read_to_string("/proc/meminfo").ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix("MemTotal:"))?;
    let kib: usize = line.trim().strip_suffix("kB")?.trim().parse().ok()?;
    kib.checked_mul(1_024)
}
