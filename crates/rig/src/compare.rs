//! The whole way of a call through two builds of the daemon, in turns within one run.
//!
//! One client asks, one call after the other, and each round takes both builds: what else the machine does
//! meets both alike, and the ratio of a round says more than any single time.
use crate::client::Client;
use crate::daemon::{Daemon, Deployment};
use crate::fault_schedule::FaultSchedule;
use crate::fleet::{Fleet, Kind};
use hdrhistogram::Histogram;
use std::io;
use std::path::Path;
use std::time::{Duration, Instant};

const PATIENCE: Duration = Duration::from_secs(5);
/// Longest call that is told apart, in nanoseconds.
const LONGEST_NS: u64 = 10_000_000_000;
const PATH: &str = "/v1/functions/check-1/invocations";

/// What one round found: the median time of a call in microseconds, by build.
pub type Round = [f64; 2];

/// Runs so many rounds of so many calls through each of two programs.
pub fn run(programs: [&Path; 2], folder: &Path, rounds: usize, calls: usize) -> io::Result<Vec<Round>> {
    let kind = Kind { work: Duration::ZERO, load: Duration::ZERO, cold: Duration::ZERO, ..Kind::default() };
    let fleet = Fleet::start(2, kind, FaultSchedule { seed: 1, fault_rate: 0.0 })?;
    let workers = fleet.addresses();
    let deployment = Deployment { head: String::new(), protocol: "frames", workers, functions: 2 };
    let start = |place: usize| Daemon::start(programs[place], &folder.join(place.to_string()), &deployment);
    let daemons = [start(0)?, start(1)?];
    let mut clients = [0, 1].map(|place| Client::new(daemons[place].address, PATIENCE));
    let mut round = || -> io::Result<Round> {
        let mut medians = [0.0; 2];
        for (client, median) in clients.iter_mut().zip(&mut medians) {
            let mut times = Histogram::<u64>::new_with_bounds(1, LONGEST_NS, 4).map_err(io::Error::other)?;
            for _ in 0..calls {
                let began = Instant::now();
                let response = client.ask("POST", PATH, &[], b"a household")?;
                if response.status != 200 {
                    return Err(io::Error::other(format!("a call was answered {}", response.status)));
                }
                times.saturating_record(began.elapsed().as_nanos() as u64);
            }
            *median = times.value_at_quantile(0.5) as f64 / 1000.0;
        }
        Ok(medians)
    };
    // The first finds no copy loaded.
    round()?;
    (0..rounds).map(|_| round()).collect()
}

/// The median of figures; 0 of none.
pub fn median(mut figures: Vec<f64>) -> f64 {
    figures.sort_by(f64::total_cmp);
    figures.get(figures.len() / 2).copied().unwrap_or(0.0)
}
