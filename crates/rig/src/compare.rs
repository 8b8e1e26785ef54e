//! Compares the end-to-end latency of a call in two builds of the daemon, which alternate within one run.
//!
//! One client makes one call after the other, and each round measures both builds. Other load on the machine affects both
//! alike, so the ratio within a round is more reliable than a single time.
use crate::client::Client;
use crate::daemon::{Daemon, Deployment};
use crate::fault_schedule::FaultSchedule;
use crate::fleet::{Fleet, WorkerProfile};
use hdrhistogram::Histogram;
use std::io;
use std::path::Path;
use std::time::{Duration, Instant};

const CLIENT_TIMEOUT: Duration = Duration::from_secs(5);
/// Largest latency that the histogram records, in nanoseconds; higher ones are clamped.
const MAX_LATENCY_NS: u64 = 10_000_000_000;
const PATH: &str = "/v1/functions/check-1/invocations";

/// Result of one round: the median latency of a call in microseconds, by build.
pub type Round = [f64; 2];

/// Runs `rounds` rounds of `calls` calls with each of two programs.
pub fn run(programs: [&Path; 2], folder: &Path, rounds: usize, calls: usize) -> io::Result<Vec<Round>> {
    let profile = WorkerProfile {
        call_time: Duration::ZERO,
        load_time: Duration::ZERO,
        cold: Duration::ZERO,
        ..WorkerProfile::default()
    };
    let fleet = Fleet::start(2, profile, FaultSchedule { seed: 1, fault_rate: 0.0 })?;
    let workers = fleet.addresses();
    let deployment = Deployment { extra_lines: String::new(), protocol: "frames", workers, functions: 2 };
    let start = |build: usize| Daemon::start(programs[build], &folder.join(build.to_string()), &deployment);
    let daemons = [start(0)?, start(1)?];
    let mut clients = [0, 1].map(|build| Client::new(daemons[build].address, CLIENT_TIMEOUT));
    let mut round = || -> io::Result<Round> {
        let mut medians = [0.0; 2];
        for (client, median) in clients.iter_mut().zip(&mut medians) {
            let mut times =
                Histogram::<u64>::new_with_bounds(1, MAX_LATENCY_NS, 4).map_err(io::Error::other)?;
            for _ in 0..calls {
                let started = Instant::now();
                let response = client.send_request("POST", PATH, &[], b"a household")?;
                if response.status != 200 {
                    return Err(io::Error::other(format!(
                        "a call was answered with status {}",
                        response.status
                    )));
                }
                times.saturating_record(started.elapsed().as_nanos() as u64);
            }
            *median = times.value_at_quantile(0.5) as f64 / 1000.0;
        }
        Ok(medians)
    };
    // Warm-up: the first calls load the copies.
    round()?;
    (0..rounds).map(|_| round()).collect()
}

/// Median of `figures`; 0 if there are none.
pub fn median(mut figures: Vec<f64>) -> f64 {
    figures.sort_by(f64::total_cmp);
    figures.get(figures.len() / 2).copied().unwrap_or(0.0)
}
