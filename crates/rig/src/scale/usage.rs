//! CPU time of the calling thread, resident memory of this process and open sockets of any process.
use super::process::usage;
use rustix::time::{clock_gettime, ClockId};
use std::io;
use std::time::Duration;

/// CPU time that the calling thread has used.
pub fn thread_cpu() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

/// Smallest difference between two consecutive readings of [`thread_cpu`]: the overhead of the clock in a short span.
pub fn clock_overhead() -> Duration {
    const READINGS: usize = 2000;
    let mut smallest = Duration::MAX;
    for _ in 0..READINGS {
        let began = thread_cpu();
        smallest = smallest.min(thread_cpu() - began);
    }
    smallest
}

/// Resident memory of this process, in bytes.
pub fn own_resident() -> io::Result<f64> {
    Ok(usage(std::process::id())?.resident)
}

/// Number of sockets that a process has open.
pub fn open_sockets(process: u32) -> io::Result<usize> {
    let mut count = 0;
    for descriptor in std::fs::read_dir(format!("/proc/{process}/fd"))? {
        // A descriptor may be closed while the list is read.
        let Ok(target) = std::fs::read_link(descriptor?.path()) else { continue };
        count += usize::from(target.to_string_lossy().starts_with("socket:"));
    }
    Ok(count)
}
