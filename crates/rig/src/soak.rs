//! An hour's turnover in a few minutes: steady, churning, flooding, and steady again.
use crate::client::{request, Client};
use crate::daemon::{Daemon, Deployment};
use crate::fault_schedule::FaultSchedule;
use crate::fleet::{Fleet, Kind};
use crate::load::{self, Outcome};
use crate::plan::{tenant, Arrival, Offer, Plan};
use crate::verdict::Sample;
use std::collections::{BTreeMap, VecDeque};
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// The name of the first and the last phase.
pub const STEADY: &str = "steady";
const PHASES: [&str; 4] = [STEADY, "churning", "flooding", STEADY];
const PATIENCE: Duration = Duration::from_secs(5);
const WORKERS: usize = 6;
const THREADS: usize = 48;
/// Work and loads of workers whose own pace is of no interest.
const QUICK: Duration = Duration::from_millis(1);
const LOOK: Duration = Duration::from_millis(500);
/// Connections that one kind of guest holds at a time, and that a flood offers.
const STAYING: usize = 60;
const OFFERED: usize = 400;

/// A soak that is to be run.
#[derive(Clone, Debug)]
pub struct Soak {
    /// How long it takes.
    pub span: Duration,
    /// What all of it follows from.
    pub seed: u64,
    /// The daemon's program.
    pub program: PathBuf,
    /// Where its files go.
    pub folder: PathBuf,
    /// Further lines for the head of its deploy file.
    pub head: String,
}

impl Soak {
    /// Runs it; gives what was sampled and what came of the calls of configured functions.
    pub fn run(&self) -> io::Result<(Vec<Sample>, Outcome)> {
        let fleet =
            Fleet::start(WORKERS, Kind::default(), FaultSchedule { seed: self.seed, fault_rate: 0.05 })?;
        let offer = Offer { rate: 100.0, ..Offer::default() };
        // An hour's retention, compressed as the hour is.
        let retention = (self.span.as_secs_f64() / 10.0).max(1.0);
        let deployment = Deployment {
            head: format!("data_dir = \"data\"\nretention_s = {retention}\n{}", self.head),
            protocol: "http",
            workers: fleet.addresses(),
            functions: offer.functions,
        };
        let daemon = Daemon::start(&self.program, &self.folder, &deployment)?;
        let (began, quarter) = (Instant::now(), self.span / 4);
        let plan = Plan::new(offer, self.seed).ok_or_else(|| io::Error::other("the offer makes no sense"))?;
        let address = daemon.address;
        let phase = || (began.elapsed().as_nanos() / quarter.as_nanos().max(1)) as usize;
        std::thread::scope(|scope| {
            let steady = scope.spawn(|| load::run(address, plan, self.span, THREADS));
            scope.spawn(|| {
                wait_until(began + quarter);
                churn(address, &fleet, began + 2 * quarter);
                flood(address, began + 3 * quarter);
            });
            let mut samples = Vec::new();
            while began.elapsed() < self.span {
                std::thread::sleep(LOOK);
                // The daemon may be too busy for a look now and then; that one is left out.
                samples.extend(daemon.sample(began, PHASES[phase().min(PHASES.len() - 1)]));
            }
            let outcome = steady.join().map_err(|_| io::Error::other("the load tool panicked"))??;
            Ok((samples, outcome))
        })
    }
}

fn wait_until(at: Instant) {
    std::thread::sleep(at.saturating_duration_since(Instant::now()));
}

fn function_text(number: usize, class: &str) -> Vec<u8> {
    format!("{{\"class\":\"{class}\",\"tenant\":\"{}\",\"memory_mb\":64}}", tenant(number)).into_bytes()
}

/// New models, hosts under new names at old addresses, guests that ask once and stay.
fn churn(address: SocketAddr, fleet: &Fleet, end: Instant) {
    let mut client = Client::new(address, PATIENCE);
    let (mut staying, workers) = (VecDeque::new(), fleet.addresses());
    for number in 0.. {
        if Instant::now() >= end {
            return;
        }
        let name = format!("churn-{number}");
        let (path, put) = (format!("/v1/functions/{name}"), function_text(number, "check"));
        // What is refused is refused; the daemon's accounts tell.
        let _ = client.ask("PUT", &path, &[], &put);
        let _ = load::call(&mut client, &held(&name, None));
        if number >= 20 {
            let _ = client.ask("DELETE", &format!("/v1/functions/churn-{}", number - 20), &[], b"");
        }
        if number % 10 == 0 {
            let (host, turn) = (number / 10 % workers.len(), number / 10 / workers.len());
            let before = if turn == 0 { format!("w{host}") } else { format!("w{host}-{turn}") };
            let worker = format!("{{\"address\":\"{}\",\"cell\":{}}}", workers[host], host % 3);
            let after = format!("/v1/workers/w{host}-{}", turn + 1);
            fleet.restart(host);
            let _ = client.ask("PUT", &after, &[], worker.as_bytes());
            let _ = client.ask("DELETE", &format!("/v1/workers/{before}"), &[], b"");
        }
        if let Ok(mut guest) = TcpStream::connect_timeout(&address, PATIENCE) {
            let _ = guest.write_all(&request("GET", "/v1/invocations/0000000000000000", &[], b""));
            staying.push_back(guest);
        }
        if staying.len() > STAYING {
            staying.pop_front();
        }
        std::thread::sleep(Duration::from_millis(20));
    }
}

fn held(function: &str, key: Option<String>) -> Arrival {
    let (function, at) = (function.to_string(), Duration::ZERO);
    Arrival { at, function, key, deferred: false, abandoned: false, body: 64 }
}

/// Unknown names, new names, new keys, deferred calls that nobody collects, connections without end, guests
/// that never read and bodies that are announced and not sent.
fn flood(address: SocketAddr, end: Instant) {
    let open = || Instant::now() < end;
    std::thread::scope(|scope| {
        scope.spawn(|| {
            let mut client = Client::new(address, PATIENCE);
            for number in (0usize..).take_while(|_| open()) {
                let _ = load::call(&mut client, &held(&format!("unknown-{number}"), None));
            }
        });
        scope.spawn(|| {
            let mut client = Client::new(address, PATIENCE);
            for number in (0usize..).take_while(|_| open()) {
                let name = format!("new-{number}");
                let _ =
                    client.ask("PUT", &format!("/v1/functions/{name}"), &[], &function_text(number, "check"));
                let _ = load::call(&mut client, &held(&name, None));
            }
        });
        for style in ["keys", "deferred"] {
            scope.spawn(move || {
                let mut client = Client::new(address, PATIENCE);
                for number in (0usize..).take_while(|_| open()) {
                    let deferred = style == "deferred";
                    let key = Some(format!("{style}-{number}"));
                    let body = if deferred { 12 << 10 } else { 64 };
                    let call = Arrival { deferred, abandoned: true, body, ..held("post-1", key) };
                    let _ = load::call(&mut client, &call);
                }
            });
        }
        scope.spawn(|| {
            let mut guests = VecDeque::new();
            let half =
                b"POST /v1/functions/check-1/invocations HTTP/1.1\r\nContent-Length: 16000\r\n\r\nhalf";
            let never_reads = request("GET", "/v1/functions", &[], b"").repeat(50);
            for number in (0usize..).take_while(|_| open()) {
                if let Ok(mut guest) = TcpStream::connect_timeout(&address, PATIENCE) {
                    let _ = guest.set_write_timeout(Some(Duration::from_millis(50)));
                    let _ = match number % 3 {
                        0 => guest.write_all(half),
                        1 => guest.write_all(&never_reads),
                        _ => Ok(()),
                    };
                    guests.push_back(guest);
                }
                if guests.len() > OFFERED {
                    guests.pop_front();
                }
                std::thread::sleep(Duration::from_millis(2));
            }
        });
    });
}

/// What a flood of ever new function names came to.
#[derive(Clone, Debug)]
pub struct Flooded {
    /// Resident memory after each quarter, in bytes; the first figure before the flood.
    pub resident: Vec<f64>,
    /// Answers to the flood, by method and status.
    pub answers: BTreeMap<(&'static str, u16), u64>,
    /// Answers to calls of a configured function meanwhile, by status.
    pub configured: BTreeMap<u16, u64>,
    /// The accounts at the end.
    pub end: Sample,
}

/// One `PUT` of a new function and one call of it for each name; a configured function is called meanwhile.
pub fn names(program: &Path, folder: &Path, count: usize, head: &str) -> io::Result<Flooded> {
    let fleet = Fleet::start(
        WORKERS,
        Kind { work: QUICK, load: QUICK, ..Kind::default() },
        FaultSchedule { seed: 1, fault_rate: 0.0 },
    )?;
    let deployment =
        Deployment { head: head.into(), protocol: "http", workers: fleet.addresses(), functions: 4 };
    let daemon = Daemon::start(program, folder, &deployment)?;
    let address = daemon.address;
    let mut flooded = Flooded {
        resident: vec![daemon.resident()?],
        answers: BTreeMap::new(),
        configured: BTreeMap::new(),
        end: Sample::default(),
    };
    const PARALLEL: usize = 8;
    for quarter in 0..4 {
        let part = |lane: usize| (quarter * count / 4 + lane..(quarter + 1) * count / 4).step_by(PARALLEL);
        let (answers, configured) = std::thread::scope(|scope| {
            let lanes: Vec<_> = (0..PARALLEL)
                .map(|lane| {
                    scope.spawn(move || {
                        let mut client = Client::new(address, PATIENCE);
                        let mut answers: BTreeMap<(&'static str, u16), u64> = BTreeMap::new();
                        for number in part(lane) {
                            let name = format!("f-{number}");
                            let path = format!("/v1/functions/{name}");
                            let put = client.ask("PUT", &path, &[], &function_text(number, "check"));
                            let call = load::call(&mut client, &held(&name, None));
                            for (method, end) in [("PUT", put), ("call", call)] {
                                *answers.entry((method, end.map_or(0, |one| one.status))).or_default() += 1;
                            }
                        }
                        answers
                    })
                })
                .collect();
            let mut client = Client::new(address, PATIENCE);
            let mut configured: BTreeMap<u16, u64> = BTreeMap::new();
            while !lanes.iter().all(|lane| lane.is_finished()) {
                let end = load::call(&mut client, &held("check-1", None));
                *configured.entry(end.map_or(0, |one| one.status)).or_default() += 1;
                std::thread::sleep(Duration::from_millis(5));
            }
            let answers: Vec<_> = lanes.into_iter().filter_map(|lane| lane.join().ok()).collect();
            (answers, configured)
        });
        answers
            .into_iter()
            .flatten()
            .for_each(|(kind, count)| *flooded.answers.entry(kind).or_default() += count);
        configured
            .into_iter()
            .for_each(|(status, count)| *flooded.configured.entry(status).or_default() += count);
        flooded.resident.push(daemon.resident()?);
    }
    // The program before there were accounts has no status to look at.
    flooded.end = daemon.sample(Instant::now(), "end").unwrap_or_default();
    Ok(flooded)
}
