//! The experiment `catalog`: start time, CPU and memory of one daemon by the number of configured functions.
use super::deploy::{function_name, DeployFile};
use super::in_force::takes_calls;
use super::process::DaemonProcess;
use super::{Measurement, ScaleContext, ScaleError};
use clap::Args;
use serde_json::Value;
use std::path::Path;

/// Command-line options of the experiment.
#[derive(Args, Clone, Debug)]
pub struct Options {
    /// Numbers of functions.
    #[arg(long, value_delimiter = ',', default_values_t = [1000usize, 4000, 12_000, 25_000])]
    pub functions: Vec<usize>,
    /// Memory limit of the daemon, in MB.
    #[arg(long, default_value_t = 256)]
    pub memory_mb: u64,
    /// Share of the memory for functions and workers, in percent; the daemon's default if not given.
    #[arg(long)]
    pub catalog_percent: Option<f64>,
    /// Number of starts measured at each size.
    #[arg(long, default_value_t = 3)]
    pub plays: usize,
}

/// Measures a first start from the deploy file and a restart on the data that the first start stored.
pub fn run(context: &ScaleContext, options: &Options) -> Result<Vec<Measurement>, ScaleError> {
    let mut measurements = Vec::new();
    for &functions in &options.functions {
        for repetition in 0..options.plays {
            let folder = context.out.join(format!("catalog-{functions}-{repetition}"));
            let found = measure(context, options, functions, &folder);
            let _ = std::fs::remove_dir_all(&folder);
            match found {
                Ok(found) => measurements.extend(found),
                Err(ScaleError::Failed(refusal)) => {
                    eprintln!(
                        "catalog: {functions} functions with memory_mb={}: {refusal}",
                        options.memory_mb
                    );
                }
                Err(error) => return Err(error),
            }
        }
    }
    Ok(measurements)
}

fn measure(
    context: &ScaleContext,
    options: &Options,
    functions: usize,
    folder: &Path,
) -> Result<Vec<Measurement>, ScaleError> {
    std::fs::create_dir_all(folder)?;
    // The daemon resolves a relative data_dir against the folder of the deploy file.
    let folder = folder.canonicalize()?;
    let mut deploy = DeployFile::new("catalog")
        .memory_mb(options.memory_mb)
        .data_dir(&folder.join("data"))
        .functions(functions);
    if let Some(percent) = options.catalog_percent {
        deploy = deploy.catalog_percent(percent);
    }
    let mut daemon = DaemonProcess::start(&context.program, &folder, &deploy.text())?;
    let mut measurements = measure_state(&daemon, functions, "first start")?;
    daemon.restart()?;
    measurements.extend(measure_state(&daemon, functions, "start on kept data")?);
    Ok(measurements)
}

fn measure_state(
    daemon: &DaemonProcess,
    functions: usize,
    phase: &str,
) -> Result<Vec<Measurement>, ScaleError> {
    let usage = daemon.process().usage()?;
    if !takes_calls(&mut daemon.client(), &function_name(functions - 1))? {
        return Err(ScaleError::Failed("the daemon does not know the last configured function".into()));
    }
    let status: Value = serde_json::from_slice(&daemon.request("GET", "/v1/status", b"")?.body)
        .map_err(std::io::Error::other)?;
    let accounts = status["memory"]["accounts"].as_array().cloned().unwrap_or_default();
    let catalog = accounts.iter().find(|account| account["purpose"] == "catalog");
    let catalog_bytes = catalog.and_then(|account| account["used_bytes"].as_f64()).unwrap_or(0.0);
    let log_bytes = folder_bytes(&daemon.folder().join("data"))?;
    let figures = [
        ("time", daemon.start_time.as_secs_f64(), "s"),
        ("cpu", usage.cpu_s, "s"),
        ("resident", usage.resident / 1e6, "MB"),
        ("catalog account", catalog_bytes / 1e6, "MB"),
        ("log on disk", log_bytes / 1e6, "MB"),
    ];
    let measurement = |(name, value, unit): (&str, f64, &str)| {
        Measurement::new(format!("{phase}: {name}"), functions as f64, value, unit)
    };
    Ok(figures.into_iter().map(measurement).collect())
}

/// Total size of the files in a folder, in bytes; subfolders are not included.
pub fn folder_bytes(folder: &Path) -> Result<f64, ScaleError> {
    let mut bytes = 0.0;
    for entry in std::fs::read_dir(folder)? {
        let metadata = entry?.metadata()?;
        if metadata.is_file() {
            bytes += metadata.len() as f64;
        }
    }
    Ok(bytes)
}
