//! Runs the same phases with fleets of several sizes: how a daemon's resource use grows with the number of workers.
//!
//! The request rate, the daemon's limits and the total capacity of the workers are the same at each size.
//!
//! | module | job |
//! | --- | --- |
//! | `run` | one run: the fleet, its phases, the measurements |
//! | `bounds` | upper bound for the growth of each figure |
//! | `daemon` | the daemon process, limited to a share of a core |
//! | `workers` | simulated workers, thousands on one thread |
mod bounds;
pub(crate) mod daemon;
mod run;
mod workers;

pub use bounds::{table, Row};
pub use run::{GrowthRun, Phase, Reading, PHASES};

use clap::Args;
use std::io;
use std::path::Path;
use std::time::Duration;

/// Command-line options.
#[derive(Args, Clone, Debug)]
pub struct Options {
    /// Numbers of workers; the first is the baseline.
    #[arg(long, value_delimiter = ',', default_values_t = [200, 800, 3200])]
    pub workers: Vec<usize>,
    /// Phases in the order in which they run; all phases if not given.
    #[arg(long, value_delimiter = ',')]
    pub phases: Vec<Phase>,
    /// Duration of each phase, in seconds.
    #[arg(long, default_value_t = 5.0)]
    pub phase_seconds: f64,
    /// Requests per second.
    #[arg(long, default_value_t = 40.0)]
    pub rate: f64,
    /// Client timeout, in milliseconds.
    #[arg(long, default_value_t = 2000)]
    pub allowed_ms: u64,
    /// Share of a core that the daemon may use; unlimited if not given.
    #[arg(long)]
    pub core_share: Option<f64>,
    /// Memory limit of the daemon, in MB.
    #[arg(long, default_value_t = 32)]
    pub memory_mb: u64,
}

/// Executes the run at each number of workers.
pub fn run(options: &Options, program: &Path, out: &Path, seed: u64) -> io::Result<Vec<Reading>> {
    let growth_run = |workers: usize| GrowthRun {
        workers,
        phases: if options.phases.is_empty() { PHASES.to_vec() } else { options.phases.clone() },
        phase: Duration::from_secs_f64(options.phase_seconds),
        rate: options.rate,
        allowed_ms: options.allowed_ms,
        core_share: options.core_share,
        memory_mb: options.memory_mb,
        seed,
        program: program.to_path_buf(),
        folder: out.join(format!("grow-{workers}")),
    };
    options.workers.iter().map(|workers| growth_run(*workers).execute()).collect()
}

/// Compares the reading of each further size with that of the first, the baseline.
pub fn growth(readings: &[Reading]) -> Vec<Row> {
    let Some((first, others)) = readings.split_first() else { return Vec::new() };
    others.iter().flat_map(|reading| table(first, reading)).collect()
}

/// Writes the rows to `grow.csv` in `folder`.
pub fn write(folder: &Path, rows: &[Row]) -> Result<(), csv::Error> {
    std::fs::create_dir_all(folder)?;
    let mut writer = csv::Writer::from_path(folder.join("grow.csv"))?;
    for row in rows {
        writer.serialize(row)?;
    }
    Ok(writer.flush()?)
}
