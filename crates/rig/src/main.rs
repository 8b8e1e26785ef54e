//! `corkbay-rig`: runs an emulated fleet, and load and soak tests against daemons that it starts.
use clap::{Parser, Subcommand};
use corkbay_rig::client::Client;
use corkbay_rig::daemon::{default_program, Daemon, Deployment};
use corkbay_rig::fault_schedule::FaultSchedule;
use corkbay_rig::faults::flood::FloodKind;
use corkbay_rig::faults::{self, Scenario, SoakPaths};
use corkbay_rig::fleet::{Fleet, WorkerProfile};
use corkbay_rig::floods::FloodRun;
use corkbay_rig::grow;
use corkbay_rig::plan::{OfferedLoad, Plan};
use corkbay_rig::scale::feed::headless;
use corkbay_rig::scale::{self, Experiment, ScaleContext};
use corkbay_rig::soak::{flood_names, Soak, STEADY};
use corkbay_rig::verdict::{judge, Bounds};
use corkbay_rig::{compare, load, report};
use std::error::Error;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// The daemon's allocator, so that simulated followers use as much memory as in the daemon.
#[global_allocator]
static ALLOCATOR: tikv_jemallocator::Jemalloc = tikv_jemallocator::Jemalloc;

/// Client timeout of the runs with floods, in milliseconds.
const FLOOD_ALLOWED_MS: u64 = 334;

/// Most violations printed for one run.
const MAX_PRINTED_VIOLATIONS: usize = 5;

/// Emulated workers and loads for corkbay, on loopback and for a bounded time.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    #[command(subcommand)]
    task: Task,
    /// The daemon's executable; by default `corkbay` in the folder of this program.
    #[arg(long, global = true)]
    program: Option<PathBuf>,
    /// Folder for tables, charts, logs and the daemon's files.
    #[arg(long, global = true, default_value = "found/rig")]
    out: PathBuf,
    /// Seed of the random numbers.
    #[arg(long, global = true, default_value_t = 1)]
    seed: u64,
}

#[derive(Subcommand)]
enum Task {
    /// Starts a fleet and a daemon, and makes one held and one deferred call.
    Demo,
    /// Runs emulated workers and prints their addresses.
    Fleet {
        /// Number of workers.
        #[arg(long, default_value_t = 6)]
        workers: usize,
        /// Duration, in seconds.
        #[arg(long, default_value_t = 600)]
        seconds: u64,
        /// Fraction of the time in which a worker is slow or silent, closes connections, or answers with garbage or errors.
        #[arg(long, default_value_t = 0.0)]
        trouble: f64,
        /// Workers wait for load orders instead of loading missing models by themselves.
        #[arg(long)]
        ordered: bool,
    },
    /// Sends an open-loop load to a daemon with an emulated fleet and writes a report.
    Load {
        /// Calls per second.
        #[arg(long, default_value_t = 110.0)]
        rate: f64,
        /// Duration, in seconds.
        #[arg(long, default_value_t = 30)]
        seconds: u64,
        /// Most calls in flight.
        #[arg(long, default_value_t = 64)]
        threads: usize,
        /// Fraction of the time in which a worker misbehaves.
        #[arg(long, default_value_t = 0.0)]
        trouble: f64,
        /// Protocol for talking to workers.
        #[arg(long, default_value = "http", value_parser = ["http", "frames"])]
        protocol: String,
    },
    /// Floods a daemon with new function names and prints its memory after each quarter.
    Flood {
        /// Total number of names.
        #[arg(long, default_value_t = 24_000)]
        names: usize,
        /// A line added to the top of the deploy file.
        #[arg(long, default_value = "")]
        head: String,
    },
    /// Compares the end-to-end latency of calls in another build and this one, alternating between them.
    Compare {
        /// The other build.
        #[arg(long)]
        before: PathBuf,
        /// Number of rounds; each measures both builds.
        #[arg(long, default_value_t = 15)]
        rounds: usize,
        /// Number of calls to each build per round.
        #[arg(long, default_value_t = 1000)]
        calls: usize,
    },
    /// Runs soaks of several daemons on the Thrift front under faults drawn from the seed; fails if a rule is violated.
    Faults {
        /// Number of runs; the seed increases by one for each.
        #[arg(long, default_value_t = 1)]
        runs: u64,
        /// How long clients send requests in each run, in seconds.
        #[arg(long, default_value_t = 15)]
        seconds: u64,
        /// The preload library that steps clocks and fails system calls.
        #[arg(long, default_value = "target/debug/libcorkbay_shim.so")]
        shim: PathBuf,
    },
    /// Sends requests at a steady rate while other clients flood the daemon; fails if a rule is violated.
    Floods {
        /// What the flooding clients send; all kinds if none is given.
        #[arg(long, value_delimiter = ',')]
        kinds: Vec<FloodKind>,
        /// Numbers of flooding clients; each is a run of its own.
        #[arg(long, value_delimiter = ',', default_values_t = [1, 3, 8, 32, 100])]
        connections: Vec<usize>,
        /// How long each flood lasts, in seconds.
        #[arg(long, default_value_t = 6)]
        seconds: u64,
        /// Number of clients that connect at once and send slowly or not to the end.
        #[arg(long, default_value_t = 0)]
        slow_clients: usize,
        /// Memory limit of the daemon, in MB.
        #[arg(long, default_value_t = 64)]
        memory_mb: u64,
        /// Share of a core that the daemon may use; unlimited if it is not given.
        #[arg(long)]
        core_share: Option<f64>,
        /// All kinds at once instead of one after the other.
        #[arg(long)]
        mixed: bool,
    },
    /// Compresses an hour's turnover into a few minutes; fails unless memory stays flat.
    Soak {
        /// Duration, in minutes.
        #[arg(long, default_value_t = 10.0)]
        minutes: f64,
        /// A line added to the top of the deploy file.
        #[arg(long, default_value = "")]
        head: String,
    },
    /// Measures a cost at several sizes and fits how it grows.
    Scale {
        /// The experiment to run.
        #[command(subcommand)]
        experiment: Experiment,
    },
    /// Runs the same scenario with fleets of several sizes; fails if a rule is violated or resource usage grows too much.
    Grow(grow::Options),
    /// Runs a process of simulated followers for the scale experiments.
    #[command(hide = true)]
    FollowerHost {
        /// Path of its JSON configuration.
        config: PathBuf,
    },
}

fn main() -> ExitCode {
    match run(&Arguments::parse()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("corkbay-rig: {error}");
            ExitCode::from(2)
        }
    }
}

fn run(arguments: &Arguments) -> Result<bool, Box<dyn Error>> {
    let (seed, out) = (arguments.seed, &arguments.out);
    let program = || arguments.program.clone().map_or_else(default_program, Ok);
    match &arguments.task {
        Task::Demo => demo(&Daemon::start(
            &program()?,
            out,
            &small_deployment(&Fleet::start(
                3,
                WorkerProfile::default(),
                FaultSchedule { seed, fault_rate: 0.0 },
            )?),
        )?),
        Task::Fleet { workers, seconds, trouble, ordered } => {
            let profile = WorkerProfile { loads: !ordered, ..WorkerProfile::default() };
            let fleet = Fleet::start(*workers, profile, FaultSchedule { seed, fault_rate: *trouble })?;
            fleet.addresses().iter().for_each(|address| println!("{address}"));
            std::thread::sleep(Duration::from_secs(*seconds));
            Ok(true)
        }
        Task::Load { rate, seconds, threads, trouble, protocol } => {
            let protocol = if protocol == "frames" { "frames" } else { "http" };
            let profile = WorkerProfile { loads: protocol == "http", ..WorkerProfile::default() };
            let fleet = Fleet::start(6, profile, FaultSchedule { seed, fault_rate: *trouble })?;
            let offered_load = OfferedLoad { rate: *rate, ..OfferedLoad::default() };
            let deployment =
                Deployment { protocol, functions: offered_load.functions, ..small_deployment(&fleet) };
            let daemon = Daemon::start(&program()?, out, &deployment)?;
            let plan = Plan::new(offered_load, seed).ok_or("the rate must be positive and finite")?;
            let outcome = load::run(daemon.address, plan, Duration::from_secs(*seconds), *threads)?;
            report::load(out, &outcome)?;
            print!("{}", std::fs::read_to_string(out.join("load.csv"))?);
            println!("resident {:.1} MB", daemon.resident()? / 1e6);
            Ok(true)
        }
        Task::Flood { names: count, head } => {
            let flooded = flood_names(&program()?, out, *count, head)?;
            let resident: Vec<String> =
                flooded.resident.iter().map(|bytes| format!("{:.1}", bytes / 1e6)).collect();
            println!("resident MB before and after each quarter: {}", resident.join(" "));
            println!("answers to the flood: {:?}", flooded.answers);
            println!("answers to a configured function meanwhile: {:?}", flooded.configured);
            for (name, holding) in flooded.end.accounts.iter().filter(|(name, _)| !name.contains('/')) {
                println!("{name}: {} of {} bytes, at most {}", holding.used, holding.cap, holding.peak);
            }
            Ok(true)
        }
        Task::Compare { before, rounds, calls } => {
            let now = program()?;
            let found = compare::run([before, &now], out, *rounds, *calls)?;
            let of = |build: usize| compare::median(found.iter().map(|round| round[build]).collect());
            let ratio = compare::median(found.iter().map(|round| round[1] / round[0]).collect());
            println!("a call takes {:.1} us before and {:.1} us now; median ratio {ratio:.3}", of(0), of(1));
            Ok(true)
        }
        Task::Soak { minutes, head } => {
            let span = Duration::try_from_secs_f64(minutes * 60.0)?;
            let soak =
                Soak { span, seed, program: program()?, folder: out.clone(), extra_lines: head.clone() };
            let (samples, outcome) = soak.run()?;
            let findings = judge(&samples, STEADY, Bounds::default());
            report::soak(out, &samples, &findings)?;
            report::load(out, &outcome)?;
            print!("{}", std::fs::read_to_string(out.join("load.csv"))?);
            print!("{}", std::fs::read_to_string(out.join("verdict.csv"))?);
            let flat = findings.iter().all(|finding| finding.flat);
            println!("{}", if flat { "memory stayed flat" } else { "memory did not stay flat" });
            Ok(flat)
        }
        Task::Faults { runs, seconds, shim } => {
            let shim = std::fs::canonicalize(shim)?;
            let mut are_kept = true;
            for seed in seed..seed + runs {
                let folder = std::path::absolute(out)?.join(format!("faults-{seed}"));
                let places = SoakPaths { program: program()?, shim: shim.clone(), folder };
                let scenario = Scenario::draw(seed, Duration::from_secs(*seconds));
                are_kept &= print_faults(seed, &faults::run(scenario, seed, &places)?);
            }
            Ok(are_kept)
        }
        Task::Floods { kinds, connections, seconds, slow_clients, memory_mb, core_share, mixed } => {
            let kinds = if kinds.is_empty() { FloodKind::ALL.to_vec() } else { kinds.clone() };
            let run = FloodRun {
                kinds: Vec::new(),
                connections: 0,
                slow_clients: *slow_clients,
                span: Duration::from_secs(*seconds),
                allowed_ms: FLOOD_ALLOWED_MS,
                memory_mb: *memory_mb,
                core_share: *core_share,
                program: program()?,
                folder: std::path::absolute(out)?,
                seed,
            };
            let groups: Vec<Vec<FloodKind>> = match mixed {
                true => vec![kinds],
                false => kinds.into_iter().map(|kind| vec![kind]).collect(),
            };
            print_floods(&run, &groups, connections)
        }
        Task::Scale { experiment } => {
            let context = ScaleContext { program: program()?, out: out.clone(), seed };
            scale::run(&context, experiment)?;
            Ok(true)
        }
        Task::Grow(options) => print_growth(&grow::run(options, &program()?, out, seed)?, out),
        Task::FollowerHost { config } => {
            headless::serve(&serde_json::from_slice(&std::fs::read(config)?)?)?;
            Ok(true)
        }
    }
}

/// Prints the results of runs with several fleet sizes. Returns whether all rules and bounds were kept.
fn print_growth(readings: &[grow::Reading], out: &std::path::Path) -> Result<bool, Box<dyn Error>> {
    for reading in readings {
        let grow::Reading { workers, requests, served, cpu_s, .. } = reading;
        let ready_ms = reading.startup_time.as_millis();
        println!("{workers} workers: ready after {ready_ms} ms, {requests} asked, served {served:.3}, CPU {cpu_s:.2} s");
        if reading.has_unlisted_workers {
            println!("{workers} workers: there was no room for all of them");
        }
        for (rule, count) in reading.violations_by_rule() {
            println!("{workers} workers: {rule:?} broken {count} times");
        }
        reading
            .violations
            .iter()
            .take(MAX_PRINTED_VIOLATIONS)
            .for_each(|violation| println!("{workers} workers: {violation}"));
    }
    let rows = grow::growth(readings);
    for row in &rows {
        let grow::Row { figure, unit, workers, before, value, ratio, bound, is_kept } = row;
        let verdict = if *is_kept { "within" } else { "OVER" };
        println!("{figure:28} {workers:>5} workers {value:>14.3} {unit}, {ratio:.2} times {before:.3}, bound {bound:.3}: {verdict}");
    }
    grow::write(out, &rows)?;
    Ok(rows.iter().all(|row| row.is_kept)
        && readings.iter().all(|reading| reading.violations.is_empty() && !reading.has_unlisted_workers))
}

/// Runs each group of kinds with each number of connections and prints the readings. Returns whether all rules were kept.
fn print_floods(
    run: &FloodRun,
    groups: &[Vec<FloodKind>],
    connections: &[usize],
) -> Result<bool, Box<dyn Error>> {
    let mut are_kept = true;
    for kinds in groups {
        for count in connections {
            let reading = FloodRun { kinds: kinds.clone(), connections: *count, ..run.clone() }.execute()?;
            println!("{kinds:?} x {count}: {reading}");
            reading.log_lines.iter().for_each(|line| println!("    {line}"));
            let shown = reading.violations.iter().take(MAX_PRINTED_VIOLATIONS);
            shown.for_each(|violation| println!("    {violation}"));
            are_kept &= reading.violations.is_empty();
        }
    }
    Ok(are_kept)
}

/// Prints the result of a soak under faults. Returns whether all rules were kept.
fn print_faults(seed: u64, outcome: &faults::Outcome) -> bool {
    let [check, post, once] = outcome.served;
    println!(
        "seed {seed}: asked {} arrived {} served check {check:.2} post {post:.2} once {once:.2} resident {:.1} MB descriptors {} breaks {}",
        outcome.requests,
        outcome.arrivals,
        outcome.peaks.0 as f64 / 1e6,
        outcome.peaks.1,
        outcome.violations.len()
    );
    outcome.violations.iter().for_each(|violation| println!("seed {seed}: {violation}"));
    outcome.violations.is_empty() && outcome.within_limits
}

fn small_deployment(fleet: &Fleet) -> Deployment {
    Deployment { extra_lines: String::new(), protocol: "http", workers: fleet.addresses(), functions: 4 }
}

fn demo(daemon: &Daemon) -> Result<bool, Box<dyn Error>> {
    let mut client = Client::new(daemon.address, Duration::from_secs(5));
    let held = client.send_request("POST", "/v1/functions/check-1/invocations", &[], b"a household")?;
    println!("held: {} {:?}", held.status, String::from_utf8_lossy(&held.body));
    let headers = [("Idempotency-Key", "loan-1"), ("Prefer", "respond-async")];
    let accepted =
        client.send_request("POST", "/v1/functions/post-1/invocations", &headers, b"a meter loan")?;
    let location = accepted.head.headers.get("location").unwrap_or_default().to_string();
    println!("deferred: {} {location}", accepted.status);
    let collected = client.send_request("GET", &location, &[("Prefer", "wait=5")], b"")?;
    println!("collected: {} {:?}", collected.status, String::from_utf8_lossy(&collected.body));
    Ok(held.status == 200 && collected.status == 200)
}
