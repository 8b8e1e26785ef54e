//! What a thread or a process has used: CPU time, resident memory, open sockets and bytes written.
use rustix::time::{clock_gettime, ClockId};
use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// CPU time of the calling thread.
pub fn thread_cpu() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

/// What reading [`thread_cpu`] twice in a row tells at the least: the part of a short span that is the clock's.
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
    resident(Path::new("/proc/self"))
}

/// A running process, looked at from outside.
#[derive(Clone, Debug)]
pub struct Process {
    folder: PathBuf,
}

impl Process {
    /// The process of that number.
    pub fn new(number: u32) -> Self {
        Process { folder: PathBuf::from(format!("/proc/{number}")) }
    }

    /// Resident memory, in bytes.
    pub fn resident(&self) -> io::Result<f64> {
        resident(&self.folder)
    }

    /// CPU time of all its threads that still run.
    pub fn cpu(&self) -> io::Result<Duration> {
        let mut sum = Duration::ZERO;
        for thread in std::fs::read_dir(self.folder.join("task"))? {
            let text = std::fs::read_to_string(thread?.path().join("schedstat"))?;
            let nanoseconds = text.split_whitespace().next().and_then(|field| field.parse().ok());
            sum += Duration::from_nanos(nanoseconds.ok_or_else(|| odd("schedstat"))?);
        }
        Ok(sum)
    }

    /// Sockets that it holds open.
    pub fn sockets(&self) -> io::Result<usize> {
        let mut count = 0;
        for descriptor in std::fs::read_dir(self.folder.join("fd"))? {
            // A descriptor may be closed while the list is read.
            let Ok(target) = std::fs::read_link(descriptor?.path()) else { continue };
            count += usize::from(target.to_string_lossy().starts_with("socket:"));
        }
        Ok(count)
    }
}

fn resident(folder: &Path) -> io::Result<f64> {
    let status = std::fs::read_to_string(folder.join("status"))?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|rest| rest.trim().trim_end_matches(" kB").parse::<f64>().ok());
    kib.map(|kib| kib * 1024.0).ok_or_else(|| odd("status"))
}

fn odd(file: &str) -> io::Error {
    io::Error::other(format!("the process's {file} can't be read"))
}
