//! The same day before fleets of several sizes: how what a daemon needs grows with the workers.
//!
//! The traffic of the daemon, its limits and the capacity of all workers together stay the same.
//!
//! | module | job |
//! | --- | --- |
//! | `day` | one day: the fleet, what happens, what is measured |
//! | `bounds` | how much each figure may grow |
//! | `daemon` | the daemon, held to its share of a core |
//! | `workers` | hollow workers, thousands on one thread |
mod bounds;
mod daemon;
mod day;
mod workers;

pub use bounds::{table, Row};
pub use day::{Day, Phase, Reading, PHASES};

use clap::Args;
use std::io;
use std::path::Path;
use std::time::Duration;

/// What is told on the command line.
#[derive(Args, Clone, Debug)]
pub struct Options {
    /// Numbers of workers, the usual one first.
    #[arg(long, value_delimiter = ',', default_values_t = [200, 800, 3200])]
    pub workers: Vec<usize>,
    /// What happens, in this order; all phases without.
    #[arg(long, value_delimiter = ',')]
    pub phases: Vec<Phase>,
    /// How long each phase takes, in seconds.
    #[arg(long, default_value_t = 5.0)]
    pub phase_seconds: f64,
    /// Requests a second.
    #[arg(long, default_value_t = 40.0)]
    pub rate: f64,
    /// How long clients wait, in milliseconds.
    #[arg(long, default_value_t = 2000)]
    pub allowed_ms: u64,
    /// The share of a core that the daemon gets; all it wants without.
    #[arg(long)]
    pub core_share: Option<f64>,
    /// The memory that the daemon may take, in MB.
    #[arg(long, default_value_t = 32)]
    pub memory_mb: u64,
}

/// Plays the day at each size.
pub fn run(options: &Options, program: &Path, out: &Path, seed: u64) -> io::Result<Vec<Reading>> {
    let day = |workers: usize| Day {
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
    options.workers.iter().map(|workers| day(*workers).play()).collect()
}

/// The growth from the first size to each other.
pub fn growth(readings: &[Reading]) -> Vec<Row> {
    let Some((first, others)) = readings.split_first() else { return Vec::new() };
    others.iter().flat_map(|reading| table(first, reading)).collect()
}

/// Writes `grow.csv`.
pub fn write(folder: &Path, rows: &[Row]) -> Result<(), csv::Error> {
    std::fs::create_dir_all(folder)?;
    let mut writer = csv::Writer::from_path(folder.join("grow.csv"))?;
    for row in rows {
        writer.serialize(row)?;
    }
    Ok(writer.flush()?)
}
