//! The experiment `deferred`: cost of deferred calls and idempotency keys in CPU, memory, bytes on disk and bytes sent
//! to other nodes, by calls per second and by the number of nodes that keep copies of the records.
//!
//! All calls go to the first node; the others keep copies. Bytes between nodes pass a [`Relay`] that counts them.
use super::deploy::DeployFile;
use super::process::{free_ports, DaemonProcess};
use super::relay::Relay;
use super::{Measurement, ScaleContext, ScaleError};
use crate::fault_schedule::FaultSchedule;
use crate::fleet::{Fleet, WorkerProfile};
use crate::load::{self, Outcome};
use crate::plan::Arrival;
use clap::Args;
use serde_json::Value;
use std::fmt::Write;
use std::path::Path;
use std::time::{Duration, Instant};

const WORKERS: usize = 4;
const FUNCTIONS: usize = 8;
/// Memory limit of a daemon, in MB, as planned for production.
const MEMORY_MB: u64 = 256;
/// Execution and load time of the emulated workers; their speed is not measured here.
const EMULATED_WORK_TIME: Duration = Duration::from_millis(1);
const SETTLE: Duration = Duration::from_millis(500);
/// Time after the last call by which its final record is stored and replicated.
const FINAL_RECORDS_DELAY: Duration = Duration::from_millis(1500);
/// Interval between digest exchanges, in milliseconds: longer than a point, so that only the first exchange and the
/// pushes are counted.
const DIGEST_INTERVAL_MS: u64 = 60_000;
/// Deduplication window of idempotency keys, in milliseconds.
const KEY_WINDOW_MS: u64 = 6000;
const MICROSECONDS_PER_SECOND: f64 = 1e6;

/// Command-line options of the experiment.
#[derive(Args, Clone, Debug)]
pub struct Options {
    /// Calls per second to a single node.
    #[arg(long, value_delimiter = ',', default_values_t = [10.0, 50.0, 200.0, 500.0])]
    pub rates: Vec<f64>,
    /// Calls per second to the first of several nodes.
    #[arg(long, value_delimiter = ',', default_values_t = [10.0, 50.0, 200.0])]
    pub shared_rates: Vec<f64>,
    /// Numbers of nodes that keep copies of the records, the one that is called included.
    #[arg(long, value_delimiter = ',', default_values_t = [2, 3])]
    pub nodes: Vec<usize>,
    /// Calls per second at which the kinds of calls are compared.
    #[arg(long, default_value_t = 159.0)]
    pub compared_rate: f64,
    /// Duration of the calls at each size, in seconds.
    #[arg(long, default_value_t = 3.0)]
    pub seconds: f64,
    /// Size of a call's body, in bytes; its answer has the same size.
    #[arg(long, default_value_t = 256)]
    pub body: usize,
    /// Maximum number of concurrent calls.
    #[arg(long, default_value_t = 32)]
    pub threads: usize,
}

/// A kind of call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Style {
    name: &'static str,
    keyed: bool,
    deferred: bool,
}

const HELD: Style = Style { name: "held", keyed: false, deferred: false };
const HELD_KEYED: Style = Style { name: "held, keyed", keyed: true, deferred: false };
const DEFERRED: Style = Style { name: "deferred", keyed: false, deferred: true };
const DEFERRED_KEYED: Style = Style { name: "deferred, keyed", keyed: true, deferred: true };

/// One size at which calls are measured.
#[derive(Clone, Copy, Debug)]
struct Point {
    style: Style,
    rate: f64,
    nodes: usize,
}

/// Runs the experiment and returns its measurements.
pub fn run(context: &ScaleContext, options: &Options) -> Result<Vec<Measurement>, ScaleError> {
    let mut measurements = Vec::new();
    for style in [HELD, HELD_KEYED, DEFERRED, DEFERRED_KEYED] {
        let point = Point { style, rate: options.compared_rate, nodes: 1 };
        let row = format!("{}, one node, at one rate", style.name);
        measurements.extend(point.measure(context, options)?.measurements(&row, point.rate));
    }
    for &rate in &options.rates {
        let point = Point { style: DEFERRED_KEYED, rate, nodes: 1 };
        measurements.extend(point.measure(context, options)?.measurements("one node, calls a second", rate));
    }
    for &nodes in &options.nodes {
        for &rate in &options.shared_rates {
            let point = Point { style: DEFERRED_KEYED, rate, nodes };
            let row = format!("{nodes} nodes, calls a second");
            measurements.extend(point.measure(context, options)?.measurements(&row, rate));
        }
    }
    Ok(measurements)
}

/// Resources that one node uses at one instant.
#[derive(Clone, Copy, Debug, Default)]
struct NodeSnapshot {
    cpu_s: f64,
    resident: f64,
    log_bytes: f64,
    /// Bytes written to disk, in whole pages.
    disk_bytes: f64,
    final_bytes: f64,
    key_bytes: f64,
    refused_for_room: f64,
}

/// Readings at one point.
struct Reading {
    accepted: f64,
    other: f64,
    span_s: f64,
    nodes: Vec<(NodeSnapshot, NodeSnapshot)>,
    sent_bytes: f64,
    /// Connections to the copies while calls were made, and since the start.
    connections: f64,
    connections_in_all: f64,
}

impl Point {
    fn measure(&self, context: &ScaleContext, options: &Options) -> Result<Reading, ScaleError> {
        let style = self.style.name.replace(", ", "-");
        let folder = context.out.join(format!("deferred-{style}-{}-{}", self.nodes, self.rate));
        // The daemon would load the records of an earlier run.
        let _ = std::fs::remove_dir_all(&folder);
        let found = self.measure_in(context, options, &folder);
        let _ = std::fs::remove_dir_all(&folder);
        found
    }

    fn measure_in(
        &self,
        context: &ScaleContext,
        options: &Options,
        folder: &Path,
    ) -> Result<Reading, ScaleError> {
        let profile = WorkerProfile {
            load_time: EMULATED_WORK_TIME,
            call_time: EMULATED_WORK_TIME,
            cold: EMULATED_WORK_TIME,
            slots: 1024,
            ..WorkerProfile::default()
        };
        let schedule = FaultSchedule { seed: context.seed, fault_rate: 0.0 };
        let fleet = Fleet::start(WORKERS, profile, schedule)?;
        let ports = free_ports(self.nodes)?;
        let relays: Vec<Relay> =
            ports[1..].iter().map(|port| Relay::start(*port)).collect::<Result<_, _>>()?;
        let mut nodes = Vec::new();
        // The node that gets the calls starts last, so that the nodes that it pushes to are running.
        for (number, port) in ports.iter().enumerate().rev() {
            let peers: Vec<u16> = match number {
                0 => relays.iter().map(|relay| relay.address.port()).collect(),
                _ => Vec::new(),
            };
            let text = deploy(number, *port, &peers, &fleet);
            nodes.push(DaemonProcess::start(&context.program, &folder.join(number.to_string()), &text)?);
        }
        nodes.reverse();
        std::thread::sleep(SETTLE);
        self.measure_calls(options, &nodes, &relays, context.seed)
    }

    fn measure_calls(
        &self,
        options: &Options,
        nodes: &[DaemonProcess],
        relays: &[Relay],
        seed: u64,
    ) -> Result<Reading, ScaleError> {
        // Warm-up: the one-time costs of first calls are not counted.
        let warm_up = Duration::from_secs_f64(FUNCTIONS as f64 / self.rate);
        load::run(nodes[0].address, self.arrivals(options, seed, 0), warm_up, options.threads)?;
        std::thread::sleep(SETTLE);
        let before = snapshot_all(nodes)?;
        let (bytes, connections) = relayed(relays);
        let began = Instant::now();
        let span = Duration::from_secs_f64(options.seconds);
        let outcome = load::run(nodes[0].address, self.arrivals(options, seed, 1), span, options.threads)?;
        let span_s = began.elapsed().as_secs_f64();
        std::thread::sleep(FINAL_RECORDS_DELAY);
        let after = snapshot_all(nodes)?;
        let (bytes_later, connections_later) = relayed(relays);
        let wanted = if self.style.deferred { 202 } else { 200 };
        let (accepted, other) = counts(&outcome, wanted);
        if accepted <= 0.0 {
            return Err(ScaleError::Failed(format!("no call was answered with {wanted}: {outcome:?}")));
        }
        Ok(Reading {
            accepted,
            other,
            span_s,
            nodes: before.into_iter().zip(after).collect(),
            sent_bytes: (bytes_later - bytes) as f64,
            connections: (connections_later - connections) as f64,
            connections_in_all: connections_later as f64,
        })
    }

    /// An endless sequence of calls at even intervals; idempotency keys differ by run.
    fn arrivals(&self, options: &Options, seed: u64, run: u64) -> impl Iterator<Item = Arrival> + Send {
        let Point { style, rate, .. } = *self;
        let body = options.body;
        (0u64..).map(move |number| Arrival {
            at: Duration::from_secs_f64(number as f64 / rate),
            function: function(style.keyed, number as usize % FUNCTIONS),
            key: style.keyed.then(|| format!("{seed:x}-{run}-{number}")),
            deferred: style.deferred,
            abandoned: style.deferred,
            body,
        })
    }
}

fn function(keyed: bool, number: usize) -> String {
    format!("{}-{number}", if keyed { "post" } else { "check" })
}

fn deploy(number: usize, port: u16, peers: &[u16], fleet: &Fleet) -> String {
    let mut tables = format!("interval_ms = {DIGEST_INTERVAL_MS}\n");
    let _ = writeln!(tables, "[[class]]\nname = \"post\"\naim_ms = 750\ngive_up_ms = 3000");
    let _ = writeln!(tables, "effect = \"token\"\ndedup_window_ms = {KEY_WINDOW_MS}");
    for function_number in 0..FUNCTIONS {
        for (keyed, class) in [(false, "check"), (true, "post")] {
            let name = function(keyed, function_number);
            let _ = writeln!(tables, "[[function]]\nname = \"{name}\"\nclass = \"{class}\"");
            let _ = writeln!(tables, "memory_mb = 64\nlanes = 64");
        }
    }
    for (worker, address) in fleet.addresses().iter().enumerate() {
        let _ = writeln!(tables, "[[worker]]\nname = \"w{worker}\"\naddress = \"{address}\"");
    }
    DeployFile::new(&format!("node-{number}"))
        .memory_mb(MEMORY_MB)
        .data_dir(Path::new("data"))
        .replication(port, peers)
        .tables(&tables)
        .text()
}

fn snapshot_all(nodes: &[DaemonProcess]) -> Result<Vec<NodeSnapshot>, ScaleError> {
    nodes.iter().map(look).collect()
}

fn look(node: &DaemonProcess) -> Result<NodeSnapshot, ScaleError> {
    let status: Value = serde_json::from_slice(&node.request("GET", "/v1/status", b"")?.body)
        .map_err(|error| ScaleError::Failed(format!("status: {error}")))?;
    let accounts = status["memory"]["accounts"].as_array().cloned().unwrap_or_default();
    let account = |purpose: &str, field: &str| {
        let whole = |account: &&Value| account["purpose"] == purpose && account["tenant"].is_null();
        accounts.iter().find(whole).and_then(|account| account[field].as_f64()).unwrap_or_default()
    };
    let used = node.process().usage()?;
    let log = std::fs::metadata(node.folder().join("data").join("records.log"));
    Ok(NodeSnapshot {
        cpu_s: used.cpu_s,
        resident: used.resident,
        log_bytes: log.map_or(0.0, |log| log.len() as f64),
        disk_bytes: disk_bytes(node.process().id())?,
        final_bytes: account("deferred-final", "used_bytes"),
        key_bytes: account("keys", "used_bytes"),
        refused_for_room: account("deferred-final", "refused") + account("keys", "refused"),
    })
}

/// Bytes that a process caused to be written to the block layer.
fn disk_bytes(process: u32) -> Result<f64, ScaleError> {
    let text = std::fs::read_to_string(format!("/proc/{process}/io"))?;
    let line = text.lines().find_map(|line| line.strip_prefix("write_bytes:"));
    let bytes = line.and_then(|bytes| bytes.trim().parse().ok());
    bytes.ok_or_else(|| ScaleError::Failed("/proc io has no readable write_bytes line".into()))
}

fn relayed(relays: &[Relay]) -> (u64, u64) {
    let bytes = relays.iter().map(Relay::bytes).sum();
    let connections = relays.iter().map(Relay::connections).sum();
    (bytes, connections)
}

/// Number of answers with the wanted status, and of all others.
fn counts(outcome: &Outcome, wanted: u16) -> (f64, f64) {
    let all: u64 = outcome.values().map(load::CallResults::count).sum();
    let of_status = |results: &load::CallResults| results.statuses.get(&wanted).copied().unwrap_or(0);
    let accepted: u64 = outcome.values().map(of_status).sum();
    (accepted as f64, (all - accepted) as f64)
}

impl Reading {
    fn measurements(&self, row: &str, size: f64) -> Vec<Measurement> {
        let calls = self.accepted;
        let mut measurements = Vec::new();
        let mut add = |name: &str, value: f64, unit: &str| {
            measurements.push(Measurement::new(format!("{row}: {name}"), size, value, unit));
        };
        add("calls taken", calls, "calls");
        add("calls not taken", self.other, "calls");
        add("calls taken a second", calls / self.span_s, "calls/s");
        let (first, copies) = self.nodes.split_at(1);
        for (before, after) in first {
            add("CPU a call", (after.cpu_s - before.cpu_s) * MICROSECONDS_PER_SECOND / calls, "us");
            add("log a call", (after.log_bytes - before.log_bytes) / calls, "bytes");
            add("disk a call", (after.disk_bytes - before.disk_bytes) / calls, "bytes");
            add("resident a call", (after.resident - before.resident) / calls, "bytes");
            add("deferred-final account a call", (after.final_bytes - before.final_bytes) / calls, "bytes");
            add("keys account a call", (after.key_bytes - before.key_bytes) / calls, "bytes");
            add("refused for room", after.refused_for_room - before.refused_for_room, "times");
        }
        if copies.is_empty() {
            return measurements;
        }
        let count = copies.len() as f64;
        let mean = |of: fn(&NodeSnapshot) -> f64| {
            copies.iter().map(|(before, after)| of(after) - of(before)).sum::<f64>() / count
        };
        add("copy: CPU a call", mean(|look| look.cpu_s) * MICROSECONDS_PER_SECOND / calls, "us");
        add("copy: log a call", mean(|look| look.log_bytes) / calls, "bytes");
        add("copy: resident a call", mean(|look| look.resident) / calls, "bytes");
        add("bytes sent a call and copy", self.sent_bytes / calls / count, "bytes");
        add("connections a call and copy", self.connections / calls / count, "connections");
        add("connections to a copy since the start", self.connections_in_all / count, "connections");
        measurements
    }
}
