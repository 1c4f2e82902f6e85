//! Resource usage of the process, from Linux' proc(5).

use std::fs;

/// The resident memory in KiB and the number of open file descriptors; 0 where the value is not available.
pub fn resource_usage() -> (u64, usize) {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = resident.and_then(|text| text.trim().trim_end_matches(" kB").parse().ok()).unwrap_or(0);
    let descriptors = fs::read_dir("/proc/self/fd").map_or(0, Iterator::count);
    (kib, descriptors.saturating_sub(1)) // without the descriptor of this read_dir
}
