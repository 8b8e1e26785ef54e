//! Actual memory usage of the process, as reported by the kernel.

/// Resident memory in bytes; 0 if the kernel does not report it.
pub fn resident_bytes() -> usize {
    // procfs is served from memory, so this does not block on disk I/O.
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|rest| rest.trim().trim_end_matches(" kB").parse::<usize>().ok());
    kib.unwrap_or(0) << 10
}

#[cfg(test)]
mod tests;
