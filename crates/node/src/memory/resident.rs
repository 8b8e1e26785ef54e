//! What the process really holds, as the kernel counts it.

/// Resident memory in bytes; 0 where the kernel does not tell.
pub fn resident_bytes() -> usize {
    // Served from memory by the kernel: no disk is waited for.
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|rest| rest.trim().trim_end_matches(" kB").parse::<usize>().ok());
    kib.unwrap_or(0) << 10
}

#[cfg(test)]
mod tests;
