//! The experiment `mesh`: idle cost of a mesh of replicating daemons, and the time until a change is in force at all of
//! them, by the number of nodes and of functions.
//!
//! The first node's deploy file configures the functions; the others get them by replication. Bytes are
//! those of the loopback interface ([`traffic`](super::traffic)), so they include headers and acknowledgements.
use super::deploy::{function_name, DeployFile};
use super::in_force::{longest_s, median_s, takes_calls, times_until_in_force};
use super::process::{free_ports, DaemonProcess};
use super::traffic::loopback_bytes;
use super::{Measurement, ScaleContext, ScaleError};
use clap::Args;
use std::path::Path;
use std::time::{Duration, Instant};

/// Longest time until all nodes have all functions.
const SETTLE_LIMIT: Duration = Duration::from_secs(90);
/// Time after the arrival of the last function by which replication exchanges that began earlier have ended.
const SETTLE_TIME: Duration = Duration::from_secs(5);
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Command-line options of the experiment.
#[derive(Args, Clone, Debug)]
pub struct Options {
    /// Numbers of nodes.
    #[arg(long, value_delimiter = ',', default_values_t = [2usize, 4, 8, 16])]
    pub nodes: Vec<usize>,
    /// Numbers of functions.
    #[arg(long, value_delimiter = ',', default_values_t = [250usize, 1000])]
    pub functions: Vec<usize>,
    /// Time for which idle daemons are measured, in seconds.
    #[arg(long, default_value_t = 10.0)]
    pub idle_seconds: f64,
    /// Number of changes timed at each size.
    #[arg(long, default_value_t = 5)]
    pub changes: usize,
    /// Memory of each daemon, in MB.
    #[arg(long, default_value_t = 256)]
    pub memory_mb: u64,
}

/// Measures each number of nodes with each number of functions.
pub fn run(context: &ScaleContext, options: &Options) -> Result<Vec<Measurement>, ScaleError> {
    let mut measurements = Vec::new();
    for &functions in &options.functions {
        for &nodes in &options.nodes {
            let folder = context.out.join(format!("mesh-{nodes}-{functions}"));
            let found = measure(context, options, nodes, functions, &folder);
            // The files of the daemons aren't results.
            let _ = std::fs::remove_dir_all(&folder);
            let found = found?;
            eprintln!("mesh: {nodes} nodes, {functions} functions: {found:?}");
            measurements.extend(found.measurements(nodes, functions));
        }
    }
    Ok(measurements)
}

/// Readings at one size.
#[derive(Clone, Copy, Debug)]
struct MeshCost {
    bytes_per_s: f64,
    /// Mean CPU time per second and node, in seconds.
    cpu_per_node: f64,
    resident_per_node: f64,
    median_in_force_s: f64,
    longest_in_force_s: f64,
}

impl MeshCost {
    /// Converts the readings to measurements by nodes and, for a second fit, by functions.
    fn measurements(&self, nodes: usize, functions: usize) -> Vec<Measurement> {
        let figures = [
            ("idle bytes of all", self.bytes_per_s, "bytes/s"),
            ("idle bytes a node", self.bytes_per_s / nodes as f64, "bytes/s"),
            ("idle cpu a node", self.cpu_per_node * 100.0, "% of a core"),
            ("resident a node", self.resident_per_node / 1e6, "MB"),
            ("change in force at all, median", self.median_in_force_s, "s"),
            ("change in force at all, max", self.longest_in_force_s, "s"),
        ];
        let mut measurements = Vec::new();
        for (name, value, unit) in figures {
            let over_nodes = format!("{name}; {functions} functions, over nodes");
            measurements.push(Measurement::new(over_nodes, nodes as f64, value, unit));
            let over_functions = format!("{name}; {nodes} nodes, over functions");
            measurements.push(Measurement::new(over_functions, functions as f64, value, unit));
        }
        measurements
    }
}

fn measure(
    context: &ScaleContext,
    options: &Options,
    nodes: usize,
    functions: usize,
    folder: &Path,
) -> Result<MeshCost, ScaleError> {
    let daemons = start(context, options, nodes, functions, folder)?;
    wait_until_all_have(&daemons, functions)?;
    std::thread::sleep(SETTLE_TIME);
    let (bytes, cpu) = (loopback_bytes()?, cpu_of(&daemons)?);
    let began = Instant::now();
    std::thread::sleep(Duration::from_secs_f64(options.idle_seconds));
    let span = began.elapsed().as_secs_f64();
    let bytes_per_s = (loopback_bytes()? - bytes) / span;
    let cpu_per_node = (cpu_of(&daemons)? - cpu) / span / nodes as f64;
    let mut resident = 0.0;
    for daemon in &daemons {
        resident += daemon.process().usage()?.resident;
    }
    let readers: Vec<&DaemonProcess> = daemons.iter().collect();
    let mut until_all = Vec::new();
    for change in 0..options.changes {
        let times = times_until_in_force(&daemons[0], &readers, &format!("changed-{change}"))?;
        until_all.extend(times.into_iter().max());
    }
    Ok(MeshCost {
        bytes_per_s,
        cpu_per_node,
        resident_per_node: resident / nodes as f64,
        median_in_force_s: median_s(&until_all),
        longest_in_force_s: longest_s(&until_all),
    })
}

fn start(
    context: &ScaleContext,
    options: &Options,
    nodes: usize,
    functions: usize,
    folder: &Path,
) -> Result<Vec<DaemonProcess>, ScaleError> {
    let ports = free_ports(nodes)?;
    let mut daemons = Vec::new();
    for (number, &port) in ports.iter().enumerate() {
        let peers: Vec<u16> = ports.iter().copied().filter(|&peer| peer != port).collect();
        let own_functions = if number == 0 { functions } else { 0 };
        let deploy = DeployFile::new(&format!("node-{number}"))
            .memory_mb(options.memory_mb)
            .replication(port, &peers)
            .functions(own_functions);
        let folder = folder.join(number.to_string());
        daemons.push(DaemonProcess::start(&context.program, &folder, &deploy.text())?);
    }
    Ok(daemons)
}

/// Waits until every node accepts calls to the first, the middle and the last function.
fn wait_until_all_have(daemons: &[DaemonProcess], functions: usize) -> Result<(), ScaleError> {
    let began = Instant::now();
    let samples = [0, functions / 2, functions.saturating_sub(1)];
    for daemon in daemons {
        let mut client = daemon.client();
        for number in samples {
            while !takes_calls(&mut client, &function_name(number))? {
                if began.elapsed() > SETTLE_LIMIT {
                    return Err(ScaleError::Failed(
                        "some nodes did not receive all functions within the time limit".into(),
                    ));
                }
                std::thread::sleep(POLL_INTERVAL);
            }
        }
    }
    Ok(())
}

fn cpu_of(daemons: &[DaemonProcess]) -> Result<f64, ScaleError> {
    let mut cpu = 0.0;
    for daemon in daemons {
        cpu += daemon.process().usage()?.cpu_s;
    }
    Ok(cpu)
}
