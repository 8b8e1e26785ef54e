//! A cluster of control nodes, whole followers and processes of headless followers, started and ended together.
use super::host::{unexpected, FollowerHost};
use super::protocol::{FollowerSummary, HostRequest, HostResponse};
use crate::client::Client;
use crate::scale::deploy::{function_body_with_memory, function_name, DeployFile};
use crate::scale::in_force::{takes_calls, MAX_WAIT};
use crate::scale::process::{free_ports, DaemonProcess, Usage};
use crate::scale::ScaleError;
use clap::Args;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Number of control nodes, each in its own zone.
pub const CONTROLS: usize = 3;
/// Number of followers that are whole daemons.
pub const WHOLE_FOLLOWERS: usize = 2;
/// Maximum number of followers of a control node: enough for all of them while the other control nodes are down.
const MAX_FOLLOWERS: usize = 900;
/// Maximum number of descriptors of a control node; followers may use half of them.
const CONTROL_SOCKETS: usize = 4096;
/// Longest wait until the control nodes agree, or until all followers are current after a start.
const SETTLE_LIMIT: Duration = Duration::from_secs(120);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Memory limits of the nodes of a cluster, from the command line.
#[derive(Args, Clone, Copy, Debug)]
pub struct ClusterMemory {
    /// Memory limit of each control node, in MB.
    #[arg(long, default_value_t = 1024)]
    pub control_memory_mb: u64,
    /// Memory limit of each follower, in MB.
    #[arg(long, default_value_t = 256)]
    pub follower_memory_mb: u64,
    /// Share of a follower's memory for functions and workers, in percent.
    #[arg(long, default_value_t = 15.0)]
    pub follower_catalog_percent: f64,
}

/// Options of a cluster.
#[derive(Clone, Copy, Debug)]
pub struct ClusterOptions {
    /// Number of headless followers.
    pub followers: usize,
    /// Number of configured functions.
    pub functions: usize,
    /// Number of headless followers per process.
    pub per_process: usize,
    /// Memory limits of the nodes.
    pub memory: ClusterMemory,
}

/// Message bytes in each direction, as the daemons count them.
#[derive(Clone, Copy, Debug, Default)]
pub struct FeedTotals {
    received: f64,
    sent: f64,
}

impl FeedTotals {
    /// Total bytes of both directions.
    pub fn bytes(&self) -> f64 {
        self.received + self.sent
    }

    fn add(&mut self, received: f64, sent: f64) {
        self.received += received;
        self.sent += sent;
    }
}

/// Counters of followers that couldn't resume the feed, summed over the control nodes.
#[derive(Clone, Copy, Debug, Default)]
pub struct CopyCounters {
    /// Number of copies of more than one page that were begun.
    pub copies: f64,
    /// Number of comparisons by buckets.
    pub comparisons: f64,
}

/// A running cluster.
pub struct Cluster {
    program: PathBuf,
    folder: PathBuf,
    options: ClusterOptions,
    feed_ports: Vec<u16>,
    /// The control nodes.
    pub controls: Vec<DaemonProcess>,
    whole: Vec<DaemonProcess>,
    /// A daemon without a role in the feed, as a baseline for the cost of any daemon.
    roleless: Option<DaemonProcess>,
    hosts: Vec<FollowerHost>,
}

impl Cluster {
    /// Starts the control nodes and waits until each has all functions.
    pub fn start_controls(
        program: &Path,
        folder: &Path,
        options: &ClusterOptions,
    ) -> Result<Self, ScaleError> {
        std::fs::create_dir_all(folder)?;
        let folder = folder.canonicalize()?;
        let ports = free_ports(2 * CONTROLS)?;
        let (feed_ports, peer_ports) = ports.split_at(CONTROLS);
        let mut controls = Vec::new();
        for (number, &feed_port) in feed_ports.iter().enumerate() {
            let deploy = control_deploy(options, number, feed_port, peer_ports);
            let folder = folder.join(format!("control-{number}"));
            controls.push(DaemonProcess::start(program, &folder, &deploy.text())?);
        }
        let cluster = Cluster {
            program: program.to_path_buf(),
            folder,
            options: *options,
            feed_ports: feed_ports.to_vec(),
            controls,
            whole: Vec::new(),
            roleless: None,
            hosts: Vec::new(),
        };
        if let Some(last) = options.functions.checked_sub(1) {
            cluster.wait_until_controls_know(&function_name(last))?;
        }
        Ok(cluster)
    }

    /// Starts all followers, whole and headless, without waiting for their copies.
    pub fn start_followers(&mut self) -> Result<(), ScaleError> {
        for number in 0..WHOLE_FOLLOWERS {
            let name = format!("whole-{number}");
            let deploy = self.follower_deploy(&name, number);
            let folder = self.folder.join(&name);
            self.whole.push(DaemonProcess::start(&self.program, &folder, &deploy.text())?);
        }
        let roleless = DeployFile::new("roleless").memory_mb(self.options.memory.follower_memory_mb);
        let folder = self.folder.join("roleless");
        self.roleless = Some(DaemonProcess::start(&self.program, &folder, &roleless.text())?);
        self.start_headless_followers()
    }

    /// Starts all headless followers at once, on the data in their folders.
    pub fn start_headless_followers(&mut self) -> Result<(), ScaleError> {
        let mut first = 0;
        while first < self.options.followers {
            let last = (first + self.options.per_process).min(self.options.followers);
            let mut deploy_files = Vec::new();
            for number in first..last {
                deploy_files.push(self.write_headless_follower(number)?);
            }
            let folder = self.folder.join(format!("host-{first}"));
            self.hosts.push(FollowerHost::spawn(&folder, deploy_files)?);
            first = last;
        }
        for host in &mut self.hosts {
            host.wait_until_started()?;
        }
        Ok(())
    }

    /// Kills all headless followers; their files stay.
    pub fn kill_headless_followers(&mut self) -> Result<(), ScaleError> {
        // Dropping a host kills its process.
        self.hosts.clear();
        Ok(())
    }

    /// Removes the stored data of the headless followers, which must have been killed before.
    pub fn clear_headless_disks(&self) -> Result<(), ScaleError> {
        for number in 0..self.options.followers {
            std::fs::remove_dir_all(self.headless_folder(number).join("data"))?;
        }
        Ok(())
    }

    /// Suspends or resumes all headless followers.
    pub fn suspend_headless_followers(&self, suspended: bool) -> Result<(), ScaleError> {
        for host in &self.hosts {
            if suspended {
                host.process().suspend()?;
            } else {
                host.process().resume()?;
            }
        }
        Ok(())
    }

    /// Waits until all followers have the last of the configured functions.
    pub fn wait_until_current(&mut self, began: Instant) -> Result<Vec<Duration>, ScaleError> {
        let last = self.options.functions.saturating_sub(1);
        self.wait_for(&[function_name(last)], super::OLD_MEMORY_MB, began)
    }

    /// Waits until all headless followers have received their copies and follow the feed.
    pub fn wait_until_following(&mut self) -> Result<(), ScaleError> {
        let began = Instant::now();
        while !self.summaries()?.iter().all(|summary| summary.is_following) {
            if began.elapsed() > SETTLE_LIMIT {
                return Err(ScaleError::Failed(
                    "some followers did not follow the feed within the time limit".into(),
                ));
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        Ok(())
    }

    /// Waits until all followers have the functions with `memory_mb`; returns the time of each follower since `began`,
    /// the headless ones first.
    pub fn wait_for(
        &mut self,
        functions: &[String],
        memory_mb: f64,
        began: Instant,
    ) -> Result<Vec<Duration>, ScaleError> {
        let waiting = self.begin_wait(functions, memory_mb, SETTLE_LIMIT)?;
        self.end_wait(&waiting, began)
    }

    /// Makes a change and waits until it is in force at all followers; returns the time of each since the change began.
    pub fn change(
        &mut self,
        functions: &[String],
        memory_mb: f64,
        make: impl FnOnce(&[DaemonProcess], &[String]) -> Result<(), ScaleError>,
    ) -> Result<Vec<Duration>, ScaleError> {
        let waiting = self.begin_wait(functions, memory_mb, MAX_WAIT)?;
        let began = Instant::now();
        make(&self.controls, functions)?;
        self.end_wait(&waiting, began)
    }

    fn begin_wait(
        &mut self,
        functions: &[String],
        memory_mb: f64,
        limit: Duration,
    ) -> Result<Waiting, ScaleError> {
        let limit_ms = limit.as_secs_f64() * 1000.0;
        let request = HostRequest::WaitForFunctions { functions: functions.to_vec(), memory_mb, limit_ms };
        for host in &mut self.hosts {
            host.send(&request)?;
        }
        Ok(Waiting { functions: functions.to_vec(), limit })
    }

    fn end_wait(&mut self, waiting: &Waiting, began: Instant) -> Result<Vec<Duration>, ScaleError> {
        let began_at = unix_time() - began.elapsed().as_secs_f64();
        // Whole followers are polled over their API; the headless ones check their own catalogs meanwhile.
        let whole = wait_for_whole(&self.whole, waiting, began);
        let mut times = Vec::new();
        let mut late = 0;
        for host in &mut self.hosts {
            let HostResponse::HeldSince(held_since) = host.receive()? else {
                return Err(ScaleError::Failed(
                    "a follower host answered with an unexpected response type".into(),
                ));
            };
            for at in held_since {
                match at {
                    Some(at_ms) => times.push(Duration::from_secs_f64((at_ms / 1000.0 - began_at).max(0.0))),
                    None => late += 1,
                }
            }
        }
        if late > 0 {
            let (functions, limit) = (waiting.functions.len(), waiting.limit);
            return Err(ScaleError::Failed(format!(
                "{late} followers lacked some of {functions} functions after {limit:?}"
            )));
        }
        times.extend(whole?);
        Ok(times)
    }

    /// The memory of a function at each headless follower, in MB.
    pub fn memory_of(&mut self, function: &str) -> Result<Vec<Option<f64>>, ScaleError> {
        let mut memory = Vec::new();
        for host in &mut self.hosts {
            match host.ask(&HostRequest::MemoryOf { function: function.to_string() })? {
                HostResponse::Memory(of_host) => memory.extend(of_host),
                other => return Err(unexpected(&other)),
            }
        }
        Ok(memory)
    }

    /// The state of each headless follower.
    pub fn summaries(&mut self) -> Result<Vec<FollowerSummary>, ScaleError> {
        let mut summaries = Vec::new();
        for host in &mut self.hosts {
            match host.ask(&HostRequest::Status)? {
                HostResponse::Status(of_host) => summaries.extend(of_host),
                other => return Err(unexpected(&other)),
            }
        }
        Ok(summaries)
    }

    /// The address at which a control node serves its feed.
    pub fn feed_address(&self, control: usize) -> SocketAddr {
        SocketAddr::from(([127, 0, 0, 1], self.feed_ports[control]))
    }

    /// Message bytes of the headless followers since their start.
    pub fn headless_totals(&mut self) -> Result<FeedTotals, ScaleError> {
        let mut totals = FeedTotals::default();
        for summary in self.summaries()? {
            totals.add(summary.received_bytes as f64, summary.sent_bytes as f64);
        }
        Ok(totals)
    }

    /// Message bytes of the whole followers since their start.
    pub fn whole_totals(&self) -> Result<FeedTotals, ScaleError> {
        totals_of(&self.whole, "follow")
    }

    /// Message bytes of the control nodes with followers since their start.
    pub fn control_totals(&self) -> Result<FeedTotals, ScaleError> {
        totals_of(&self.controls, "feed")
    }

    /// Copy counters, summed over the control nodes.
    pub fn copies(&self) -> Result<CopyCounters, ScaleError> {
        let mut counters = CopyCounters::default();
        for control in &self.controls {
            let status = status(control)?;
            counters.copies += status["feed"]["copies"]["begun"].as_f64().unwrap_or(f64::NAN);
            counters.comparisons += status["feed"]["comparisons"].as_f64().unwrap_or(f64::NAN);
        }
        Ok(counters)
    }

    /// Total CPU time and memory of the headless followers.
    pub fn headless_usage(&self) -> Result<Usage, ScaleError> {
        let usages = self.hosts.iter().map(|host| host.process().usage());
        sum(usages)
    }

    /// Total CPU time and memory of the whole followers.
    pub fn whole_usage(&self) -> Result<Usage, ScaleError> {
        sum(self.whole.iter().map(|daemon| daemon.process().usage()))
    }

    /// CPU time and memory of the daemon without a role in the feed.
    pub fn roleless_usage(&self) -> Result<Usage, ScaleError> {
        sum(self.roleless.iter().map(|daemon| daemon.process().usage()))
    }

    /// Total CPU time and memory of the control nodes.
    pub fn control_usage(&self) -> Result<Usage, ScaleError> {
        sum(self.controls.iter().map(|daemon| daemon.process().usage()))
    }

    /// Waits until every control node accepts calls to a function.
    pub fn wait_until_controls_know(&self, function: &str) -> Result<(), ScaleError> {
        let began = Instant::now();
        for control in &self.controls {
            let mut client = control.client();
            while !takes_calls(&mut client, function)? {
                if began.elapsed() > SETTLE_LIMIT {
                    return Err(ScaleError::Failed(
                        "some control nodes did not receive all functions within the time limit".into(),
                    ));
                }
                std::thread::sleep(POLL_INTERVAL);
            }
        }
        Ok(())
    }

    fn follower_deploy(&self, name: &str, number: usize) -> DeployFile {
        let mut follow = "[follow]\n".to_string();
        for (control, port) in self.feed_ports.iter().enumerate() {
            let zone = zone(control);
            follow.push_str(&format!(
                "[[follow.control]]\naddress = \"127.0.0.1:{port}\"\nzone = \"{zone}\"\n"
            ));
        }
        DeployFile::new(name)
            .memory_mb(self.options.memory.follower_memory_mb)
            .catalog_percent(self.options.memory.follower_catalog_percent)
            .zone(&zone(number))
            .data_dir(Path::new("data"))
            .tables(&follow)
    }

    fn headless_folder(&self, number: usize) -> PathBuf {
        self.folder.join(format!("hollow-{number}"))
    }

    fn write_headless_follower(&self, number: usize) -> Result<PathBuf, ScaleError> {
        let folder = self.headless_folder(number);
        std::fs::create_dir_all(&folder)?;
        let deploy_file = folder.join("deploy.toml");
        let deploy = self.follower_deploy(&format!("hollow-{number}"), number);
        std::fs::write(&deploy_file, deploy.text())?;
        Ok(deploy_file)
    }
}

/// A pending wait for some functions, which the follower hosts have been asked to report.
struct Waiting {
    functions: Vec<String>,
    limit: Duration,
}

/// Configures functions at a control node, one by one over one connection.
pub fn configure(control: &DaemonProcess, functions: &[String], memory_mb: f64) -> Result<(), ScaleError> {
    let mut client = control.client();
    let body = function_body_with_memory(memory_mb);
    for function in functions {
        let response = client.send_request("PUT", &format!("/v1/functions/{function}"), &[], &body)?;
        if response.status >= 300 {
            let text = String::from_utf8_lossy(&response.body).into_owned();
            return Err(ScaleError::Failed(format!("PUT {function}: {} {text}", response.status)));
        }
    }
    Ok(())
}

/// The status of a daemon.
pub fn status(daemon: &DaemonProcess) -> Result<Value, ScaleError> {
    let body = daemon.request("GET", "/v1/status", b"")?.body;
    Ok(serde_json::from_slice(&body).map_err(std::io::Error::other)?)
}

fn control_deploy(options: &ClusterOptions, number: usize, feed_port: u16, peer_ports: &[u16]) -> DeployFile {
    let peers: Vec<u16> = peer_ports.iter().copied().filter(|port| *port != peer_ports[number]).collect();
    let functions = if number == 0 { options.functions } else { 0 };
    let feed = format!("[feed]\nlisten = \"127.0.0.1:{feed_port}\"\nfollowers = {MAX_FOLLOWERS}\n");
    DeployFile::new(&format!("control-{number}"))
        .memory_mb(options.memory.control_memory_mb)
        .sockets(CONTROL_SOCKETS)
        .zone(&zone(number))
        .data_dir(Path::new("data"))
        .replication(peer_ports[number], &peers)
        .tables(&feed)
        .functions(functions)
}

fn zone(number: usize) -> String {
    format!("zone-{}", number % CONTROLS)
}

fn wait_for_whole(
    whole: &[DaemonProcess],
    waiting: &Waiting,
    began: Instant,
) -> Result<Vec<Duration>, ScaleError> {
    let waits = whole.iter().map(|daemon| {
        let client = daemon.client();
        move || wait_for_all_at(client, waiting, began)
    });
    let ends: Vec<Result<Duration, ScaleError>> = std::thread::scope(|scope| {
        let tasks: Vec<_> = waits.map(|wait| scope.spawn(wait)).collect();
        let panicked = || Err(ScaleError::Failed("a waiting thread panicked".into()));
        tasks.into_iter().map(|task| task.join().unwrap_or_else(|_| panicked())).collect()
    });
    ends.into_iter().collect()
}

fn wait_for_all_at(mut client: Client, waiting: &Waiting, began: Instant) -> Result<Duration, ScaleError> {
    for function in &waiting.functions {
        while !takes_calls(&mut client, function)? {
            if began.elapsed() > waiting.limit {
                return Err(ScaleError::Failed(format!("a whole follower lacks {function}")));
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }
    Ok(began.elapsed())
}

fn totals_of(daemons: &[DaemonProcess], section: &str) -> Result<FeedTotals, ScaleError> {
    let mut totals = FeedTotals::default();
    for daemon in daemons {
        let status = status(daemon)?;
        let count = |name: &str| status[section][name].as_f64().unwrap_or(f64::NAN);
        totals.add(count("received_bytes"), count("sent_bytes"));
    }
    Ok(totals)
}

fn sum(usages: impl Iterator<Item = std::io::Result<Usage>>) -> Result<Usage, ScaleError> {
    let mut total = Usage::default();
    for usage in usages {
        let usage = usage?;
        total.cpu_s += usage.cpu_s;
        total.resident += usage.resident;
    }
    Ok(total)
}

fn unix_time() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |since| since.as_secs_f64())
}
