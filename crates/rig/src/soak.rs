//! A memory soak that compresses an hour's turnover of functions, workers and connections into a few minutes. Its phases
//! are steady, churning, flooding, and steady again.
use crate::client::{request, Client};
use crate::daemon::{Daemon, Deployment};
use crate::fault_schedule::FaultSchedule;
use crate::fleet::{Fleet, WorkerProfile};
use crate::load::{self, Outcome};
use crate::plan::{tenant, Arrival, OfferedLoad, Plan};
use crate::verdict::Sample;
use std::collections::{BTreeMap, VecDeque};
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// The name of the first and the last phase.
pub const STEADY: &str = "steady";
const PHASES: [&str; 4] = [STEADY, "churning", "flooding", STEADY];
const CLIENT_TIMEOUT: Duration = Duration::from_secs(5);
const WORKERS: usize = 6;
const THREADS: usize = 48;
/// Call and load time of workers in runs that don't depend on it.
const MINIMAL_DELAY: Duration = Duration::from_millis(1);
const SAMPLE_INTERVAL: Duration = Duration::from_millis(500);
/// Most idle connections that the churn phase keeps open.
const MAX_IDLE_CONNECTIONS: usize = 60;
/// Most connections that the flood phase keeps open.
const MAX_FLOOD_CONNECTIONS: usize = 400;

/// Parameters of a soak.
#[derive(Clone, Debug)]
pub struct Soak {
    /// Duration of the soak.
    pub span: Duration,
    /// Seed of the random numbers.
    pub seed: u64,
    /// The daemon's executable.
    pub program: PathBuf,
    /// Folder for the daemon's files.
    pub folder: PathBuf,
    /// Lines added to the top of the daemon's deploy file.
    pub extra_lines: String,
}

impl Soak {
    /// Runs the soak. Returns the samples and the outcome of the calls to configured functions.
    pub fn run(&self) -> io::Result<(Vec<Sample>, Outcome)> {
        let fleet = Fleet::start(
            WORKERS,
            WorkerProfile::default(),
            FaultSchedule { seed: self.seed, fault_rate: 0.05 },
        )?;
        let offer = OfferedLoad { rate: 100.0, ..OfferedLoad::default() };
        // The retention is shortened in step with the compressed hour.
        let retention = (self.span.as_secs_f64() / 10.0).max(1.0);
        let deployment = Deployment {
            extra_lines: format!("data_dir = \"data\"\nretention_s = {retention}\n{}", self.extra_lines),
            protocol: "http",
            workers: fleet.addresses(),
            functions: offer.functions,
        };
        let daemon = Daemon::start(&self.program, &self.folder, &deployment)?;
        let (started, quarter) = (Instant::now(), self.span / 4);
        let plan =
            Plan::new(offer, self.seed).ok_or_else(|| io::Error::other("the offered load is invalid"))?;
        let address = daemon.address;
        let phase = || (started.elapsed().as_nanos() / quarter.as_nanos().max(1)) as usize;
        std::thread::scope(|scope| {
            let steady = scope.spawn(|| load::run(address, plan, self.span, THREADS));
            scope.spawn(|| {
                wait_until(started + quarter);
                churn(address, &fleet, started + 2 * quarter);
                flood(address, started + 3 * quarter);
            });
            let mut samples = Vec::new();
            while started.elapsed() < self.span {
                std::thread::sleep(SAMPLE_INTERVAL);
                // A sample is skipped if the daemon is too busy to answer.
                samples.extend(daemon.sample(started, PHASES[phase().min(PHASES.len() - 1)]));
            }
            let outcome = steady.join().map_err(|_| io::Error::other("the load tool panicked"))??;
            Ok((samples, outcome))
        })
    }
}

fn wait_until(at: Instant) {
    std::thread::sleep(at.saturating_duration_since(Instant::now()));
}

fn function_json(number: usize, class: &str) -> Vec<u8> {
    format!("{{\"class\":\"{class}\",\"tenant\":\"{}\",\"memory_mb\":64}}", tenant(number)).into_bytes()
}

/// Adds and deletes functions, restarts workers under new names at their old addresses, and opens connections that send
/// one request and then stay idle.
fn churn(address: SocketAddr, fleet: &Fleet, end: Instant) {
    let mut client = Client::new(address, CLIENT_TIMEOUT);
    let (mut idle_connections, workers) = (VecDeque::new(), fleet.addresses());
    for number in 0.. {
        if Instant::now() >= end {
            return;
        }
        let name = format!("churn-{number}");
        let (path, put) = (format!("/v1/functions/{name}"), function_json(number, "check"));
        // Refusals are expected; the soak checks only the daemon's memory accounts.
        let _ = client.send_request("PUT", &path, &[], &put);
        let _ = load::call(&mut client, &held_call(&name, None));
        if number >= 20 {
            let _ = client.send_request("DELETE", &format!("/v1/functions/churn-{}", number - 20), &[], b"");
        }
        if number % 10 == 0 {
            let (host, generation) = (number / 10 % workers.len(), number / 10 / workers.len());
            let old_name = if generation == 0 { format!("w{host}") } else { format!("w{host}-{generation}") };
            let worker = format!("{{\"address\":\"{}\",\"cell\":{}}}", workers[host], host % 3);
            let after = format!("/v1/workers/w{host}-{}", generation + 1);
            fleet.restart(host);
            let _ = client.send_request("PUT", &after, &[], worker.as_bytes());
            let _ = client.send_request("DELETE", &format!("/v1/workers/{old_name}"), &[], b"");
        }
        if let Ok(mut connection) = TcpStream::connect_timeout(&address, CLIENT_TIMEOUT) {
            let _ = connection.write_all(&request("GET", "/v1/invocations/0000000000000000", &[], b""));
            idle_connections.push_back(connection);
        }
        if idle_connections.len() > MAX_IDLE_CONNECTIONS {
            idle_connections.pop_front();
        }
        std::thread::sleep(Duration::from_millis(20));
    }
}

fn held_call(function: &str, key: Option<String>) -> Arrival {
    let (function, at) = (function.to_string(), Duration::ZERO);
    Arrival { at, function, key, deferred: false, abandoned: false, body: 64 }
}

/// Floods the daemon with unknown function names, new functions, new idempotency keys, deferred calls that nobody collects,
/// idle connections, clients that never read and request bodies that are never completed.
fn flood(address: SocketAddr, end: Instant) {
    let is_running = || Instant::now() < end;
    std::thread::scope(|scope| {
        scope.spawn(|| {
            let mut client = Client::new(address, CLIENT_TIMEOUT);
            for number in (0usize..).take_while(|_| is_running()) {
                let _ = load::call(&mut client, &held_call(&format!("unknown-{number}"), None));
            }
        });
        scope.spawn(|| {
            let mut client = Client::new(address, CLIENT_TIMEOUT);
            for number in (0usize..).take_while(|_| is_running()) {
                let name = format!("new-{number}");
                let _ = client.send_request(
                    "PUT",
                    &format!("/v1/functions/{name}"),
                    &[],
                    &function_json(number, "check"),
                );
                let _ = load::call(&mut client, &held_call(&name, None));
            }
        });
        for style in ["keys", "deferred"] {
            scope.spawn(move || {
                let mut client = Client::new(address, CLIENT_TIMEOUT);
                for number in (0usize..).take_while(|_| is_running()) {
                    let deferred = style == "deferred";
                    let key = Some(format!("{style}-{number}"));
                    let body = if deferred { 12 << 10 } else { 64 };
                    let call = Arrival { deferred, abandoned: true, body, ..held_call("post-1", key) };
                    let _ = load::call(&mut client, &call);
                }
            });
        }
        scope.spawn(|| {
            let mut connections = VecDeque::new();
            let half =
                b"POST /v1/functions/check-1/invocations HTTP/1.1\r\nContent-Length: 16000\r\n\r\nhalf";
            let never_reads = request("GET", "/v1/functions", &[], b"").repeat(50);
            for number in (0usize..).take_while(|_| is_running()) {
                if let Ok(mut connection) = TcpStream::connect_timeout(&address, CLIENT_TIMEOUT) {
                    let _ = connection.set_write_timeout(Some(Duration::from_millis(50)));
                    let _ = match number % 3 {
                        0 => connection.write_all(half),
                        1 => connection.write_all(&never_reads),
                        _ => Ok(()),
                    };
                    connections.push_back(connection);
                }
                if connections.len() > MAX_FLOOD_CONNECTIONS {
                    connections.pop_front();
                }
                std::thread::sleep(Duration::from_millis(2));
            }
        });
    });
}

/// Result of a flood of new function names.
#[derive(Clone, Debug)]
pub struct FloodResult {
    /// Resident memory in bytes, before the flood and after each quarter of it.
    pub resident: Vec<f64>,
    /// Number of answers to the flood, by method and status.
    pub answers: BTreeMap<(&'static str, u16), u64>,
    /// Number of answers to concurrent calls of a configured function, by status.
    pub configured: BTreeMap<u16, u64>,
    /// The memory accounts at the end.
    pub end: Sample,
}

/// Sends one `PUT` of a new function and one call of it for each of `count` names, and calls a configured function
/// meanwhile.
pub fn flood_names(
    program: &Path,
    folder: &Path,
    count: usize,
    extra_lines: &str,
) -> io::Result<FloodResult> {
    let fleet = Fleet::start(
        WORKERS,
        WorkerProfile { call_time: MINIMAL_DELAY, load_time: MINIMAL_DELAY, ..WorkerProfile::default() },
        FaultSchedule { seed: 1, fault_rate: 0.0 },
    )?;
    let deployment = Deployment {
        extra_lines: extra_lines.into(),
        protocol: "http",
        workers: fleet.addresses(),
        functions: 4,
    };
    let daemon = Daemon::start(program, folder, &deployment)?;
    let address = daemon.address;
    let mut result = FloodResult {
        resident: vec![daemon.resident()?],
        answers: BTreeMap::new(),
        configured: BTreeMap::new(),
        end: Sample::default(),
    };
    const PARALLEL_CLIENTS: usize = 8;
    for quarter in 0..4 {
        let numbers = |client_number: usize| {
            (quarter * count / 4 + client_number..(quarter + 1) * count / 4).step_by(PARALLEL_CLIENTS)
        };
        let (answers, configured) = std::thread::scope(|scope| {
            let client_threads: Vec<_> = (0..PARALLEL_CLIENTS)
                .map(|client_number| {
                    scope.spawn(move || {
                        let mut client = Client::new(address, CLIENT_TIMEOUT);
                        let mut answers: BTreeMap<(&'static str, u16), u64> = BTreeMap::new();
                        for number in numbers(client_number) {
                            let name = format!("f-{number}");
                            let path = format!("/v1/functions/{name}");
                            let put = client.send_request("PUT", &path, &[], &function_json(number, "check"));
                            let call = load::call(&mut client, &held_call(&name, None));
                            for (method, end) in [("PUT", put), ("call", call)] {
                                *answers
                                    .entry((method, end.map_or(0, |response| response.status)))
                                    .or_default() += 1;
                            }
                        }
                        answers
                    })
                })
                .collect();
            let mut client = Client::new(address, CLIENT_TIMEOUT);
            let mut configured: BTreeMap<u16, u64> = BTreeMap::new();
            while !client_threads.iter().all(|thread| thread.is_finished()) {
                let end = load::call(&mut client, &held_call("check-1", None));
                *configured.entry(end.map_or(0, |response| response.status)).or_default() += 1;
                std::thread::sleep(Duration::from_millis(5));
            }
            let answers: Vec<_> =
                client_threads.into_iter().filter_map(|thread| thread.join().ok()).collect();
            (answers, configured)
        });
        answers
            .into_iter()
            .flatten()
            .for_each(|(kind, count)| *result.answers.entry(kind).or_default() += count);
        configured
            .into_iter()
            .for_each(|(status, count)| *result.configured.entry(status).or_default() += count);
        result.resident.push(daemon.resident()?);
    }
    // Old builds without memory accounts don't report them in their status.
    result.end = daemon.sample(Instant::now(), "end").unwrap_or_default();
    Ok(result)
}
