//! What the process uses of its host.

use rustix::process::{Resource, getrlimit};

use crate::node::Node;

/// Descriptors of an open call: the connections to its caller and to its upstream.
const DESCRIPTORS_PER_CALL: u64 = 2;
const BYTES_PER_MB: u64 = 1_000_000;

/// Returns the memory in use, in percent of the host's. 0 if the settings do not say how much it has.
pub(super) fn memory_percent(node: &Node) -> u32 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let available = u64::from(node.settings.capacity.memory_mb) * BYTES_PER_MB;
    percent(resident_bytes(&status), available)
}

/// Returns the descriptors that open calls need, in percent of the limit.
pub(super) fn descriptor_percent(node: &Node) -> u32 {
    let needed = node.stop.open_calls() as u64 * DESCRIPTORS_PER_CALL;
    percent(needed, getrlimit(Resource::Nofile).current.unwrap_or(0))
}

/// Returns the resident memory that a process status in the format of Linux states.
pub(super) fn resident_bytes(status: &str) -> u64 {
    let line = status.lines().find_map(|it| it.strip_prefix("VmRSS:"));
    let kib = line.and_then(|it| it.trim().strip_suffix(" kB"));
    let kib: Option<u64> = kib.and_then(|it| it.trim().parse().ok());
    kib.unwrap_or_default() * 1_024
}

fn percent(used: u64, available: u64) -> u32 {
    let percent = (used * 100).checked_div(available);
    percent.unwrap_or_default().min(u64::from(u32::MAX)) as u32
}
