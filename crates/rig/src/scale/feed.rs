//! The experiment `feed`: the change feed at scale. Many headless followers in a few processes, and two whole daemons,
//! follow three control nodes, which are whole daemons too.
//!
//! A headless follower (`hollow` in the names of rows and files) is an invoker without its API: store and log on disk,
//! feed client, catalog, roster and decisions. The two whole daemons show whether headless followers cost what real
//! ones do.
//!
//! Bytes are reported twice: as the daemons count their messages, and as the loopback interface counts frames with
//! headers and acknowledgements ([`traffic`](super::traffic)); the latter includes the replication between control
//! nodes.
//!
//! Descriptors: a headless follower uses one for its connection and one for its log; a control node uses one per
//! follower.
pub mod cluster;
pub mod failures;
pub mod headless;
pub mod host;
pub mod protocol;

use super::in_force::{longest_s, median_s};
use super::process::Usage;
use super::traffic::loopback_bytes;
use super::{Measurement, ScaleContext, ScaleError};
use clap::Args;
use cluster::{Cluster, ClusterMemory, ClusterOptions, FeedTotals};
use std::time::{Duration, Instant};

/// Time after the last copy by which the activity that it causes has ended.
const SETTLE_TIME: Duration = Duration::from_secs(5);
/// Memory of a function before a change, in MB.
pub(crate) const OLD_MEMORY_MB: f64 = 64.0;
/// Memory of a function after a change, in MB.
pub(crate) const NEW_MEMORY_MB: f64 = 128.0;

/// Command-line options of the experiment.
#[derive(Args, Clone, Debug)]
pub struct Options {
    /// Numbers of headless followers.
    #[arg(long, value_delimiter = ',', default_values_t = [1usize, 4, 16, 64, 200])]
    pub followers: Vec<usize>,
    /// Numbers of functions.
    #[arg(long, value_delimiter = ',', default_values_t = [1000usize])]
    pub functions: Vec<usize>,
    /// Time for which idle nodes are measured, in seconds.
    #[arg(long, default_value_t = 20.0)]
    pub idle_seconds: f64,
    /// Number of single changes timed at each size.
    #[arg(long, default_value_t = 10)]
    pub changes: usize,
    /// Number of changes in the burst at each size; 0 for no burst.
    #[arg(long, default_value_t = 100)]
    pub burst: usize,
    /// Number of changes during which a control node is killed or suspended, at the largest size.
    #[arg(long, default_value_t = 0)]
    pub failures: usize,
    /// Number of times that a control node is suspended during a change and then resumed while the others are
    /// suspended, at the largest size.
    #[arg(long, default_value_t = 0)]
    pub stale: usize,
    /// Number of headless followers per process.
    #[arg(long, default_value_t = 55)]
    pub per_process: usize,
    /// Memory of the cluster's nodes.
    #[command(flatten)]
    pub memory: ClusterMemory,
}

impl Options {
    /// Options of a cluster of the given size.
    pub fn cluster(&self, followers: usize, functions: usize) -> ClusterOptions {
        ClusterOptions { followers, functions, per_process: self.per_process, memory: self.memory }
    }
}

/// Measures each number of followers with each number of functions.
pub fn run(context: &ScaleContext, options: &Options) -> Result<Vec<Measurement>, ScaleError> {
    let largest = options.followers.iter().copied().max().unwrap_or(0);
    let mut measurements = Vec::new();
    for &functions in &options.functions {
        for &followers in &options.followers {
            let folder = context.out.join(format!("feed-{followers}-{functions}"));
            let mut rows = Rows { followers, functions, measurements: Vec::new() };
            let end = measure(context, options, &folder, followers == largest, &mut rows);
            let _ = std::fs::remove_dir_all(&folder);
            for measurement in &rows.measurements {
                eprintln!("{measurement:?}");
            }
            measurements.extend(rows.measurements);
            if let Err(error) = end {
                // Measurements taken before the error are kept.
                eprintln!("feed: {followers} followers, {functions} functions: {error}");
            }
        }
    }
    Ok(measurements)
}

/// The measurements of one size.
struct Rows {
    followers: usize,
    functions: usize,
    measurements: Vec<Measurement>,
}

impl Rows {
    fn add(&mut self, name: &str, value: f64, unit: &str) {
        let row = format!("{name}; {} functions, over followers", self.functions);
        self.measurements.push(Measurement::new(row, self.followers as f64, value, unit));
    }
}

fn measure(
    context: &ScaleContext,
    options: &Options,
    folder: &std::path::Path,
    is_largest: bool,
    rows: &mut Rows,
) -> Result<(), ScaleError> {
    let cluster_options = options.cluster(rows.followers, rows.functions);
    let mut cluster = Cluster::start_controls(&context.program, folder, &cluster_options)?;
    empty_start(&mut cluster, rows)?;
    std::thread::sleep(SETTLE_TIME);
    idle(&mut cluster, options, rows)?;
    single_changes(&mut cluster, options, rows)?;
    if options.burst > 0 {
        burst(&mut cluster, options, rows)?;
    }
    restart_all(&mut cluster, rows)?;
    if is_largest && options.failures > 0 {
        let outcome = failures::control_lost_at_a_change(&mut cluster, options.failures, context.seed)?;
        let times = &outcome.until_in_force;
        rows.add("change while a control node is lost, median", median_s(times), "s");
        rows.add("change while a control node is lost, max", longest_s(times), "s");
        let caught_up = &outcome.until_caught_up;
        rows.add("returned control node: until it has the change, median", median_s(caught_up), "s");
        rows.add("returned control node: until it has the change, max", longest_s(caught_up), "s");
        rows.add("change while a control node is lost, plays", times.len() as f64, "plays");
    }
    if is_largest && options.stale > 0 {
        let outcome = failures::stale_control_wakes(&mut cluster, options.stale)?;
        rows.add("stale control node: followers that went to it", outcome.followed_stale as f64, "followers");
        rows.add("stale control node: changes taken back", outcome.taken_back as f64, "changes");
        rows.add("stale control node: plays", options.stale as f64, "plays");
    }
    Ok(())
}

/// Starts followers with empty disks, which get a full copy from the control nodes.
fn empty_start(cluster: &mut Cluster, rows: &mut Rows) -> Result<(), ScaleError> {
    let bytes = loopback_bytes()?;
    let began = Instant::now();
    cluster.start_followers()?;
    cluster.wait_until_current(began)?;
    cluster.wait_until_following()?;
    let took = began.elapsed();
    let totals = cluster.headless_totals()?;
    let followers = rows.followers as f64;
    let nodes = followers + cluster::WHOLE_FOLLOWERS as f64;
    rows.add("empty start: message bytes a follower", totals.bytes() / followers, "bytes");
    rows.add("empty start: frame bytes a follower", (loopback_bytes()? - bytes) / nodes, "bytes");
    rows.add("empty start: until all are current", took.as_secs_f64(), "s");
    Ok(())
}

fn idle(cluster: &mut Cluster, options: &Options, rows: &mut Rows) -> Result<(), ScaleError> {
    let before = IdleState::of(cluster)?;
    std::thread::sleep(Duration::from_secs_f64(options.idle_seconds));
    let after = IdleState::of(cluster)?;
    let span = after.at.duration_since(before.at).as_secs_f64();
    let followers = rows.followers as f64;
    let whole = cluster::WHOLE_FOLLOWERS as f64;
    let controls = cluster::CONTROLS as f64;
    let headless_bytes = (after.headless.bytes() - before.headless.bytes()) / span / followers;
    let whole_bytes = (after.whole.bytes() - before.whole.bytes()) / span / whole;
    let control_bytes = (after.controls.bytes() - before.controls.bytes()) / span / controls;
    let headless_cpu = (after.headless_usage.cpu_s - before.headless_usage.cpu_s) / span / followers;
    let whole_cpu = (after.whole_usage.cpu_s - before.whole_usage.cpu_s) / span / whole;
    let control_cpu = (after.control_usage.cpu_s - before.control_usage.cpu_s) / span / controls;
    let roleless_cpu = (after.roleless_usage.cpu_s - before.roleless_usage.cpu_s) / span;
    rows.add("idle message bytes a hollow follower", headless_bytes, "bytes/s");
    rows.add("idle message bytes a whole follower", whole_bytes, "bytes/s");
    rows.add("idle message bytes a control node", control_bytes, "bytes/s");
    rows.add("idle frame bytes of all", (after.frames - before.frames) / span, "bytes/s");
    rows.add("idle cpu a hollow follower", headless_cpu * 100.0, "% of a core");
    rows.add("idle cpu a whole follower", whole_cpu * 100.0, "% of a core");
    rows.add("idle cpu a daemon without feed", roleless_cpu * 100.0, "% of a core");
    rows.add("idle cpu a control node", control_cpu * 100.0, "% of a core");
    rows.add("resident a hollow follower", after.headless_usage.resident / followers / 1e6, "MB");
    rows.add("resident a whole follower", after.whole_usage.resident / whole / 1e6, "MB");
    rows.add("resident a daemon without feed", after.roleless_usage.resident / 1e6, "MB");
    rows.add("resident a control node", after.control_usage.resident / controls / 1e6, "MB");
    eprintln!(
        "headless followers compared with whole ones: {:.0}% of the bytes, {:.0}% of the CPU time",
        headless_bytes / whole_bytes * 100.0,
        headless_cpu / whole_cpu * 100.0
    );
    Ok(())
}

/// Counters of the whole cluster at one instant.
struct IdleState {
    headless: FeedTotals,
    whole: FeedTotals,
    controls: FeedTotals,
    headless_usage: Usage,
    whole_usage: Usage,
    control_usage: Usage,
    roleless_usage: Usage,
    frames: f64,
    at: Instant,
}

impl IdleState {
    fn of(cluster: &mut Cluster) -> Result<Self, ScaleError> {
        Ok(IdleState {
            headless: cluster.headless_totals()?,
            whole: cluster.whole_totals()?,
            controls: cluster.control_totals()?,
            headless_usage: cluster.headless_usage()?,
            whole_usage: cluster.whole_usage()?,
            control_usage: cluster.control_usage()?,
            roleless_usage: cluster.roleless_usage()?,
            frames: loopback_bytes()?,
            at: Instant::now(),
        })
    }
}

fn single_changes(cluster: &mut Cluster, options: &Options, rows: &mut Rows) -> Result<(), ScaleError> {
    let mut until_all = Vec::new();
    for change in 0..options.changes {
        let function = format!("single-{change}");
        let writer = change % cluster::CONTROLS;
        let times = cluster.change(&[function], OLD_MEMORY_MB, |controls, names| {
            cluster::configure(&controls[writer], names, OLD_MEMORY_MB)
        })?;
        until_all.extend(times.into_iter().max());
    }
    rows.add("one change in force at all, median", median_s(&until_all), "s");
    rows.add("one change in force at all, max", longest_s(&until_all), "s");
    rows.add("one change in force at all, plays", until_all.len() as f64, "plays");
    Ok(())
}

/// Makes many changes, as fast as one control node accepts them.
fn burst(cluster: &mut Cluster, options: &Options, rows: &mut Rows) -> Result<(), ScaleError> {
    let functions: Vec<String> = (0..options.burst).map(|number| format!("burst-{number}")).collect();
    let before = cluster.headless_totals()?;
    let times = cluster.change(&functions, OLD_MEMORY_MB, |controls, names| {
        cluster::configure(&controls[0], names, OLD_MEMORY_MB)
    })?;
    let bytes = cluster.headless_totals()?.bytes() - before.bytes();
    let changes = (rows.followers * options.burst) as f64;
    rows.add("burst: until all changes are in force at all", longest_s(&times), "s");
    rows.add("burst: message bytes a change and follower", bytes / changes, "bytes");
    Ok(())
}

/// Kills all headless followers and restarts them at once on their stored data; one change is made in between.
fn restart_all(cluster: &mut Cluster, rows: &mut Rows) -> Result<(), ScaleError> {
    let before = cluster.copies()?;
    cluster.kill_headless_followers()?;
    let function = "while-down".to_string();
    cluster::configure(&cluster.controls[1], std::slice::from_ref(&function), OLD_MEMORY_MB)?;
    let began = Instant::now();
    cluster.start_headless_followers()?;
    let times = cluster.wait_for(&[function], OLD_MEMORY_MB, began)?;
    let after = cluster.copies()?;
    let totals = cluster.headless_totals()?;
    rows.add("all restarted: until all are current", longest_s(&times), "s");
    rows.add("all restarted: message bytes a follower", totals.bytes() / rows.followers as f64, "bytes");
    rows.add("all restarted: full copies", after.copies - before.copies, "copies");
    rows.add("all restarted: comparisons", after.comparisons - before.comparisons, "comparisons");
    Ok(())
}
