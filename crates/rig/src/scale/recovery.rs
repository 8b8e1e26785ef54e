//! The experiment `recovery`: bytes, CPU and time until followers are current again after a start on stored data, a
//! start with an empty disk, and a pause.
//!
//! In a pause the process is suspended: its connections stay open, and its control node drops the follower after the
//! silence limit.
use super::feed::cluster::{configure, Cluster, ClusterMemory, ClusterOptions};
use super::feed::OLD_MEMORY_MB;
use super::process::Usage;
use super::{Measurement, ScaleContext, ScaleError};
use clap::Args;
use std::time::{Duration, Instant};

/// Number of changes made during each pause and before each start.
const CHANGES_PER_STEP: usize = 10;
/// Time after a step by which the activity that it causes has ended.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// Command-line options of the experiment.
#[derive(Args, Clone, Debug)]
pub struct Options {
    /// Number of headless followers.
    #[arg(long, default_value_t = 16)]
    pub followers: usize,
    /// Numbers of functions.
    #[arg(long, value_delimiter = ',', default_values_t = [1000usize, 4000, 12_000, 25_000])]
    pub functions: Vec<usize>,
    /// Lengths of the pauses, in seconds; at the largest number of functions.
    #[arg(long, value_delimiter = ',', default_values_t = [1.0f64, 3.0, 6.0, 12.0])]
    pub pauses: Vec<f64>,
    /// Memory of the cluster's nodes.
    #[command(flatten)]
    pub memory: ClusterMemory,
}

/// Measures starts by the number of functions, and pauses by their length.
pub fn run(context: &ScaleContext, options: &Options) -> Result<Vec<Measurement>, ScaleError> {
    let most_functions = options.functions.iter().copied().max().unwrap_or(0);
    let mut measurements = Vec::new();
    for &functions in &options.functions {
        let folder = context.out.join(format!("recovery-{functions}"));
        let cluster_options = ClusterOptions {
            followers: options.followers,
            functions,
            per_process: options.followers.max(1),
            memory: options.memory,
        };
        let mut cluster = Cluster::start_controls(&context.program, &folder, &cluster_options)?;
        cluster.start_followers()?;
        cluster.wait_until_current(Instant::now())?;
        cluster.wait_until_following()?;
        measurements.extend(starts(&mut cluster, options, functions)?);
        if functions == most_functions {
            for &pause in &options.pauses {
                measurements.extend(after_pause(&mut cluster, options, pause)?);
            }
        }
        drop(cluster);
        let _ = std::fs::remove_dir_all(&folder);
    }
    Ok(measurements)
}

fn starts(
    cluster: &mut Cluster,
    options: &Options,
    functions: usize,
) -> Result<Vec<Measurement>, ScaleError> {
    let mut measurements = Vec::new();
    for (name, is_empty) in [("kept data", false), ("empty disk", true)] {
        std::thread::sleep(SETTLE_TIME);
        cluster.kill_headless_followers()?;
        if is_empty {
            cluster.clear_headless_disks()?;
        }
        let changed = changed_functions(&format!("{}-{functions}", name.replace(' ', "-")));
        configure(&cluster.controls[0], &changed, OLD_MEMORY_MB)?;
        let control_before: Usage = cluster.control_usage()?;
        let began = Instant::now();
        cluster.start_headless_followers()?;
        cluster.wait_for(&changed, OLD_MEMORY_MB, began)?;
        cluster.wait_until_following()?;
        let took = began.elapsed();
        let control_after = cluster.control_usage()?;
        let followers = options.followers as f64;
        let bytes = cluster.headless_totals()?.bytes() / followers;
        let cpu = cluster.headless_usage()?.cpu_s / followers;
        let control_cpu = (control_after.cpu_s - control_before.cpu_s) / followers;
        let mut add = |what: &str, value: f64, unit: &str| {
            let row = format!("start, {name}: {what}; over functions");
            measurements.push(Measurement::new(row, functions as f64, value, unit));
        };
        add("message bytes a follower", bytes, "bytes");
        add("until the last is current", took.as_secs_f64(), "s");
        add("cpu a follower", cpu, "s");
        add("cpu of the control nodes a follower", control_cpu, "s");
    }
    Ok(measurements)
}

fn after_pause(
    cluster: &mut Cluster,
    options: &Options,
    pause_s: f64,
) -> Result<Vec<Measurement>, ScaleError> {
    std::thread::sleep(SETTLE_TIME);
    let changed = changed_functions(&format!("pause-{pause_s}").replace('.', "-"));
    let bytes_before = cluster.headless_totals()?.bytes();
    let copies_before = cluster.copies()?;
    cluster.suspend_headless_followers(true)?;
    let paused = Instant::now();
    let end = configure(&cluster.controls[0], &changed, OLD_MEMORY_MB);
    std::thread::sleep(Duration::from_secs_f64(pause_s).saturating_sub(paused.elapsed()));
    cluster.suspend_headless_followers(false)?;
    end?;
    let resumed = Instant::now();
    cluster.wait_for(&changed, OLD_MEMORY_MB, resumed)?;
    cluster.wait_until_following()?;
    let took = resumed.elapsed();
    let bytes = (cluster.headless_totals()?.bytes() - bytes_before) / options.followers as f64;
    let copies = cluster.copies()?.copies - copies_before.copies;
    let measurement = |what: &str, value: f64, unit: &str| {
        Measurement::new(format!("pause: {what}; over seconds"), pause_s, value, unit)
    };
    Ok(vec![
        measurement("message bytes a follower", bytes, "bytes"),
        measurement("until the last is current", took.as_secs_f64(), "s"),
        measurement("full copies", copies, "copies"),
    ])
}

fn changed_functions(prefix: &str) -> Vec<String> {
    (0..CHANGES_PER_STEP).map(|number| format!("{prefix}-{number}")).collect()
}
