//! Daemons as child processes that can be killed, suspended and started again on the same files.
use super::ScaleError;
use crate::client::{Client, Response};
use rustix::process::{kill_process, Pid, Signal};
use socket2::{Domain, Socket, Type};
use std::fs::File;
use std::io::{self, BufRead, BufReader};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdout, Command, Stdio};
use std::time::{Duration, Instant};

const PATIENCE: Duration = Duration::from_secs(20);
/// Ports below the range from which the kernel takes those of outgoing connections.
const FIRST_PORT: u16 = 20_000;
const LAST_PORT: u16 = 32_000;
const NANOSECONDS: f64 = 1e9;
const KIB: f64 = 1024.0;
/// A standard stream that the command did not have piped, or that was taken before.
const NOT_PIPED: io::ErrorKind = io::ErrorKind::BrokenPipe;

/// What a process has used and holds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// Processor time of all its threads since it started, in seconds.
    pub cpu_s: f64,
    /// Resident memory in bytes.
    pub resident: f64,
}

/// A child process that is ended with this value.
#[derive(Debug)]
pub struct OwnedChild {
    child: Child,
}

impl OwnedChild {
    /// Starts a command.
    pub fn start(command: &mut Command) -> io::Result<Self> {
        Ok(OwnedChild { child: command.spawn()? })
    }

    /// Its process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Its standard output, where the command has it piped; once.
    pub fn stdout(&mut self) -> io::Result<BufReader<ChildStdout>> {
        self.child.stdout.take().map(BufReader::new).ok_or_else(|| NOT_PIPED.into())
    }

    /// Its standard input, where the command has it piped; once.
    pub fn stdin(&mut self) -> io::Result<std::process::ChildStdin> {
        self.child.stdin.take().ok_or_else(|| NOT_PIPED.into())
    }

    /// Ends it at once, as SIGKILL does, and waits for its end.
    pub fn kill(&mut self) -> io::Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// Ends it at once, as SIGKILL does, without waiting for its end.
    pub fn send_kill(&self) -> io::Result<()> {
        self.signal(Signal::KILL)
    }

    /// Stops it from running until [`OwnedChild::resume`]; its connections stay.
    pub fn suspend(&self) -> io::Result<()> {
        self.signal(Signal::STOP)
    }

    /// Lets it run again.
    pub fn resume(&self) -> io::Result<()> {
        self.signal(Signal::CONT)
    }

    /// Has a daemon log its counters and accounts.
    pub fn log_counters(&self) -> io::Result<()> {
        self.signal(Signal::USR1)
    }

    /// What it has used so far.
    pub fn usage(&self) -> io::Result<Usage> {
        usage(self.id())
    }

    fn signal(&self, signal: Signal) -> io::Result<()> {
        let id = Pid::from_raw(self.id() as i32).ok_or(io::ErrorKind::NotFound)?;
        Ok(kill_process(id, signal)?)
    }
}

impl Drop for OwnedChild {
    fn drop(&mut self) {
        // It may have ended by itself.
        let _ = self.kill();
    }
}

/// A daemon with a deploy file of its own in a folder.
#[derive(Debug)]
pub struct DaemonProcess {
    program: PathBuf,
    folder: PathBuf,
    child: OwnedChild,
    /// Kept open, so that what the daemon prints later has somewhere to go.
    _output: BufReader<ChildStdout>,
    /// Where its invoke API listens.
    pub address: SocketAddr,
    /// How long the start took, until the API listened.
    pub start_time: Duration,
}

impl DaemonProcess {
    /// Writes the deploy file into the folder and starts the daemon; its log goes there as well.
    pub fn start(program: &Path, folder: &Path, deploy: &str) -> Result<Self, ScaleError> {
        std::fs::create_dir_all(folder)?;
        std::fs::write(folder.join("deploy.toml"), deploy)?;
        Self::start_in(program, folder)
    }

    fn start_in(program: &Path, folder: &Path) -> Result<Self, ScaleError> {
        let log = File::options().create(true).append(true).open(folder.join("daemon.log"))?;
        let began = Instant::now();
        let mut command = Command::new(program);
        command.arg("serve").arg(folder.join("deploy.toml"));
        command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(log);
        let mut child = OwnedChild::start(&mut command)?;
        let mut output = child.stdout()?;
        let address = read_address(&mut output, folder)?;
        let start_time = began.elapsed();
        let (program, folder) = (program.to_path_buf(), folder.to_path_buf());
        Ok(DaemonProcess { program, folder, child, _output: output, address, start_time })
    }

    /// Kills the daemon.
    pub fn kill(&mut self) -> io::Result<()> {
        self.child.kill()
    }

    /// Starts the daemon again on the files that it left.
    pub fn restart(&mut self) -> Result<(), ScaleError> {
        // It may have been killed before.
        let _ = self.child.kill();
        *self = Self::start_in(&self.program, &self.folder)?;
        Ok(())
    }

    /// The process.
    pub fn process(&self) -> &OwnedChild {
        &self.child
    }

    /// The folder of its files.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// A client of its API.
    pub fn client(&self) -> Client {
        Client::new(self.address, PATIENCE)
    }

    /// Asks once over a new connection, and fails unless the status is a success.
    pub fn request(&self, method: &str, path: &str, body: &[u8]) -> Result<Response, ScaleError> {
        let response = self.client().ask(method, path, &[], body)?;
        if response.status >= 300 {
            let text = String::from_utf8_lossy(&response.body).into_owned();
            return Err(ScaleError::Failed(format!("{method} {path}: {} {text}", response.status)));
        }
        Ok(response)
    }
}

fn read_address(output: &mut impl BufRead, folder: &Path) -> Result<SocketAddr, ScaleError> {
    let mut line = String::new();
    loop {
        line.clear();
        if output.read_line(&mut line)? == 0 {
            let log = std::fs::read_to_string(folder.join("daemon.log")).unwrap_or_default();
            let last = log.lines().last().unwrap_or("no word in its log").to_string();
            return Err(ScaleError::Failed(format!("the daemon did not start: {last}")));
        }
        if let Some(address) = line.trim().strip_prefix("invoke API on ") {
            return address.parse().map_err(|_| ScaleError::Failed(format!("no address: {address}")));
        }
    }
}

/// What a process has used and holds, as the kernel counts it.
pub fn usage(process: u32) -> io::Result<Usage> {
    let mut nanoseconds = 0.0;
    for task in std::fs::read_dir(format!("/proc/{process}/task"))? {
        // A thread may end between the two steps.
        let text = std::fs::read_to_string(task?.path().join("schedstat")).unwrap_or_default();
        let ran = text.split_whitespace().next().and_then(|field| field.parse::<f64>().ok());
        nanoseconds += ran.unwrap_or(0.0);
    }
    let status = std::fs::read_to_string(format!("/proc/{process}/status"))?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|rest| rest.trim().trim_end_matches(" kB").parse::<f64>().ok());
    Ok(Usage { cpu_s: nanoseconds / NANOSECONDS, resident: kib.unwrap_or(0.0) * KIB })
}

/// Loopback ports that nobody listens on.
pub fn free_ports(count: usize) -> Result<Vec<u16>, ScaleError> {
    let range = LAST_PORT - FIRST_PORT;
    let first = (std::process::id() * 97 % u32::from(range)) as u16;
    let mut ports = Vec::with_capacity(count);
    for offset in 0..range {
        if ports.len() == count {
            break;
        }
        let port = FIRST_PORT + (first + offset) % range;
        if is_free(port) {
            ports.push(port);
        }
    }
    if ports.len() < count {
        return Err(ScaleError::Failed("there are too few free ports".into()));
    }
    Ok(ports)
}

/// Whether a loopback port can be listened at. It is bound without listening: a process that is just being started
/// holds a copy of the descriptor until it runs its program, and a copy that listened would keep others away.
fn is_free(port: u16) -> bool {
    let bind = || {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, port)).into())
    };
    bind().is_ok()
}
