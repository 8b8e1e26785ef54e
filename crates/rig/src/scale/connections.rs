//! The experiment `connections`: number and idle cost of connections between daemons and workers, and the frames sent
//! over them, by the number of workers that a daemon knows and by the number of daemons that know a worker.
use super::deploy::{function_name, DeployFile};
use super::process::{usage, DaemonProcess, Usage};
use super::usage::open_sockets;
use super::{Measurement, ScaleContext, ScaleError};
use crate::fault_schedule::FaultSchedule;
use crate::fleet::{Fleet, WorkerProfile};
use clap::Args;
use serde_json::Value;
use std::fmt::Write;
use std::path::Path;
use std::time::{Duration, Instant};

/// Time until a start, or the opening or closing of connections, has taken effect at both ends.
const SETTLE: Duration = Duration::from_secs(1);
/// Execution and load time of the emulated workers; their speed is not measured here.
const EMULATED_WORK_TIME: Duration = Duration::from_millis(1);
/// Memory limit of a daemon, in MB, as planned for production.
const MEMORY_MB: u64 = 256;
/// Number of calls to each function; the first locates the function and has it loaded.
const ROUNDS: usize = 2;
const MICROSECONDS_PER_SECOND: f64 = 1e6;
/// Idle timeout of connections where their closing isn't measured, in seconds.
const LONG_IDLE_TIMEOUT_S: f64 = 120.0;

/// Command-line options of the experiment.
#[derive(Args, Clone, Debug)]
pub struct Options {
    /// Numbers of workers that one daemon knows, over frames.
    #[arg(long, value_delimiter = ',', default_values_t = [1, 4, 16, 64])]
    pub workers: Vec<usize>,
    /// Numbers of daemons that know the same workers.
    #[arg(long, value_delimiter = ',', default_values_t = [1, 4, 16])]
    pub daemons: Vec<usize>,
    /// Number of workers that several daemons share.
    #[arg(long, default_value_t = 4)]
    pub shared_workers: usize,
    /// Functions for each worker; each is called a few times, so that every worker gets a connection.
    #[arg(long, default_value_t = 6)]
    pub functions: usize,
    /// Time without calls after which daemons count as idle, in seconds: the dispatcher maintains functions that were
    /// called for up to the keep time (10 s by default).
    #[arg(long, default_value_t = 14.0)]
    pub settle_seconds: f64,
    /// Time for which idle daemons are measured, in seconds.
    #[arg(long, default_value_t = 2.0)]
    pub idle_seconds: f64,
    /// Idle timeout of connections, in seconds, for the point that measures their closing; at other points they are
    /// kept for longer than the measurement.
    #[arg(long, default_value_t = 3.0)]
    pub close_seconds: f64,
}

/// Runs the experiment and returns its measurements.
pub fn run(context: &ScaleContext, options: &Options) -> Result<Vec<Measurement>, ScaleError> {
    let mut measurements = Vec::new();
    let mut measure = |axis: &str, size: usize, point: Point| -> Result<(), ScaleError> {
        let folder = context.out.join(format!("connections-{}-{}", point.daemons, point.workers));
        let found = point.measure(context, options, &folder);
        // The files of the daemons aren't results.
        let _ = std::fs::remove_dir_all(&folder);
        measurements.extend(found?.measurements(axis, size as f64));
        Ok(())
    };
    let frames = Point {
        workers: options.shared_workers,
        daemons: 1,
        protocol: "frames",
        close_s: LONG_IDLE_TIMEOUT_S,
    };
    for &workers in &options.workers {
        measure("frames, workers", workers, Point { workers, ..frames })?;
    }
    for &daemons in &options.daemons {
        measure("frames, daemons", daemons, Point { daemons, ..frames })?;
    }
    let closing = Point { close_s: options.close_seconds, ..frames };
    measure("frames, closing, workers", options.shared_workers, closing)?;
    measure("http, workers", options.shared_workers, Point { protocol: "http", ..frames })?;
    Ok(measurements)
}

/// One size at which connections are measured.
#[derive(Clone, Copy, Debug)]
struct Point {
    workers: usize,
    daemons: usize,
    protocol: &'static str,
    /// Idle timeout of a connection, in seconds.
    close_s: f64,
}

/// Resources that all daemons and the process of the emulated workers use at one instant.
#[derive(Clone, Copy, Debug, Default)]
struct Snapshot {
    daemons: Usage,
    daemon_sockets: f64,
    fleet: Usage,
    /// Connections as the emulated workers count them: descriptors of their process would include other sockets.
    fleet_connections: f64,
    /// Total number of frames that the daemons sent.
    sent: f64,
    /// Total number of connections that the daemons opened.
    dials: f64,
}

/// Readings at one point.
struct Reading {
    point: Point,
    span_s: f64,
    calls_served: f64,
    unconnected: Snapshot,
    unconnected_later: Snapshot,
    connected: Snapshot,
    connected_later: Snapshot,
    closed: Option<Snapshot>,
}

impl Point {
    fn measure(
        &self,
        context: &ScaleContext,
        options: &Options,
        folder: &Path,
    ) -> Result<Reading, ScaleError> {
        let profile = WorkerProfile {
            load_time: EMULATED_WORK_TIME,
            call_time: EMULATED_WORK_TIME,
            cold: EMULATED_WORK_TIME,
            loads: self.protocol == "http",
            ..WorkerProfile::default()
        };
        let schedule = FaultSchedule { seed: context.seed, fault_rate: 0.0 };
        let fleet = Fleet::start(self.workers, profile, schedule)?;
        let functions = options.functions * self.workers;
        let deploy = self.deploy(&fleet, functions);
        let mut daemons = Vec::new();
        for number in 0..self.daemons {
            let text = deploy.replace("NODE", &format!("node-{number}"));
            daemons.push(DaemonProcess::start(&context.program, &folder.join(number.to_string()), &text)?);
        }
        std::thread::sleep(SETTLE);
        let idle = Duration::from_secs_f64(options.idle_seconds);
        let unconnected = look(&daemons, &fleet)?;
        std::thread::sleep(idle);
        let unconnected_later = look(&daemons, &fleet)?;
        let mut calls_served = 0.0;
        for daemon in &daemons {
            calls_served += call_all(daemon, functions)?;
        }
        std::thread::sleep(self.settle_time(options));
        let connected = look(&daemons, &fleet)?;
        let began = Instant::now();
        std::thread::sleep(idle);
        let connected_later = look(&daemons, &fleet)?;
        let span_s = began.elapsed().as_secs_f64();
        let closed = if self.closes_soon() {
            std::thread::sleep(Duration::from_secs_f64(self.close_s) + SETTLE);
            Some(look(&daemons, &fleet)?)
        } else {
            None
        };
        let point = *self;
        let (before, after) = (unconnected, connected);
        if calls_served <= 0.0 || before.daemon_sockets <= 0.0 || after.daemon_sockets <= 0.0 {
            return Err(ScaleError::Failed("no call was served".into()));
        }
        Ok(Reading {
            point,
            span_s,
            calls_served,
            unconnected,
            unconnected_later,
            connected,
            connected_later,
            closed,
        })
    }

    /// Whether idle connections close during the measurement.
    fn closes_soon(&self) -> bool {
        self.close_s < LONG_IDLE_TIMEOUT_S
    }

    /// Time without calls before the idle cost is measured.
    fn settle_time(&self, options: &Options) -> Duration {
        if self.closes_soon() {
            return SETTLE;
        }
        Duration::from_secs_f64(options.settle_seconds)
    }

    fn deploy(&self, fleet: &Fleet, functions: usize) -> String {
        let idle_ms = self.close_s * 1000.0;
        let mut tables = format!(
            "[limits]\nidle_ms = {idle_ms:.1}\n[transport]\nprotocol = \"{}\"\norders = {}\n",
            self.protocol,
            self.protocol == "frames"
        );
        for (number, address) in fleet.addresses().iter().enumerate() {
            let cell = number % 3;
            let _ = writeln!(tables, "[[worker]]\nname = \"w{number}\"\naddress = \"{address}\"");
            let _ = writeln!(tables, "zone = \"zone-{cell}\"\ncell = {cell}");
        }
        DeployFile::new("NODE").memory_mb(MEMORY_MB).functions(functions).tables(&tables).text()
    }
}

/// Calls each function `ROUNDS` times and returns the number of calls served.
fn call_all(daemon: &DaemonProcess, functions: usize) -> Result<f64, ScaleError> {
    let mut client = daemon.client();
    let mut served = 0.0;
    for _ in 0..ROUNDS {
        for number in 0..functions {
            let path = format!("/v1/functions/{}/invocations", function_name(number));
            let response = client.send_request("POST", &path, &[], b"a household")?;
            served += f64::from(u8::from(response.status == 200));
        }
    }
    Ok(served)
}

fn look(daemons: &[DaemonProcess], fleet: &Fleet) -> Result<Snapshot, ScaleError> {
    let own = std::process::id();
    let mut look = Snapshot::default();
    for daemon in daemons {
        let status: Value = serde_json::from_slice(&daemon.request("GET", "/v1/status", b"")?.body)
            .map_err(|error| ScaleError::Failed(format!("status: {error}")))?;
        let count = |name: &str| status["counters"][name].as_f64().unwrap_or_default();
        look.sent += count("sent") + count("orders") + count("questions") + count("evictions");
        look.dials += count("dials");
    }
    // Wait until the daemons have closed the connections of the status requests, which this process closed already.
    std::thread::sleep(Duration::from_millis(100));
    for daemon in daemons {
        let used = daemon.process().usage()?;
        look.daemons.cpu_s += used.cpu_s;
        look.daemons.resident += used.resident;
        look.daemon_sockets += open_sockets(daemon.process().id())? as f64;
    }
    look.fleet = usage(own)?;
    look.fleet_connections = fleet.connections() as f64;
    Ok(look)
}

impl Reading {
    fn measurements(&self, axis: &str, size: f64) -> Vec<Measurement> {
        let daemons = self.point.daemons as f64;
        let workers = self.point.workers as f64;
        let connections = self.connected.daemon_sockets - self.unconnected.daemon_sockets;
        let each = |bytes: f64| if connections > 0.0 { bytes / connections } else { 0.0 };
        let idle_cpu = |from: &Snapshot, to: &Snapshot| {
            (to.daemons.cpu_s - from.daemons.cpu_s) * MICROSECONDS_PER_SECOND / self.span_s / daemons
        };
        let grown = |of: fn(&Snapshot) -> f64| of(&self.connected) - of(&self.unconnected);
        let later = |of: fn(&Snapshot) -> f64| of(&self.connected_later) - of(&self.connected);
        let figures = [
            ("connections a daemon", connections / daemons, "connections"),
            ("connections at a worker", grown(|look| look.fleet_connections) / workers, "connections"),
            ("CPU of an unconnected daemon", idle_cpu(&self.unconnected, &self.unconnected_later), "us/s"),
            ("CPU of a connected, idle daemon", idle_cpu(&self.connected, &self.connected_later), "us/s"),
            ("frames of an idle daemon", later(|look| look.sent) / self.span_s / daemons, "frames/s"),
            ("dials of an idle daemon", later(|look| look.dials) / self.span_s / daemons, "dials/s"),
            ("frames sent before, a daemon", self.connected.sent / daemons, "frames"),
            ("dials before, a daemon", self.connected.dials / daemons, "dials"),
            ("resident of a daemon", self.connected.daemons.resident / daemons, "bytes"),
            ("resident a connection, daemon", each(grown(|look| look.daemons.resident)), "bytes"),
            ("resident a connection, emulated worker", each(grown(|look| look.fleet.resident)), "bytes"),
            ("calls served", self.calls_served, "calls"),
        ];
        let mut measurements: Vec<Measurement> = figures
            .into_iter()
            .map(|(row, value, unit)| Measurement::new(format!("{axis}: {row}"), size, value, unit))
            .collect();
        if let Some(closed) = &self.closed {
            let left = (closed.daemon_sockets - self.unconnected.daemon_sockets) / daemons;
            let row = format!("{axis}: connections a daemon, once idle for long");
            measurements.push(Measurement::new(row, size, left, "connections"));
        }
        measurements
    }
}
