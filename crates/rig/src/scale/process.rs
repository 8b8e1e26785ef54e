//! Daemons as child processes that can be killed, suspended and restarted on the same files.
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

/// Timeout of a request to the daemon's API.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(20);
/// Ports are chosen below the kernel's ephemeral range, so that outgoing connections don't take them.
const FIRST_PORT: u16 = 20_000;
const LAST_PORT: u16 = 32_000;
const NANOSECONDS_PER_SECOND: f64 = 1e9;
const BYTES_PER_KIB: f64 = 1024.0;
/// Error kind for a standard stream that is not piped or was taken before.
const NOT_PIPED: io::ErrorKind = io::ErrorKind::BrokenPipe;

/// CPU time and memory of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// CPU time of all threads since the start, in seconds.
    pub cpu_s: f64,
    /// Resident memory, in bytes.
    pub resident: f64,
}

/// A child process that is killed when this value is dropped.
#[derive(Debug)]
pub struct OwnedChild {
    child: Child,
}

impl OwnedChild {
    /// Starts a command.
    pub fn start(command: &mut Command) -> io::Result<Self> {
        Ok(OwnedChild { child: command.spawn()? })
    }

    /// The process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Takes the piped standard output; fails if it isn't piped or was taken before.
    pub fn stdout(&mut self) -> io::Result<BufReader<ChildStdout>> {
        self.child.stdout.take().map(BufReader::new).ok_or_else(|| NOT_PIPED.into())
    }

    /// Takes the piped standard input; fails if it isn't piped or was taken before.
    pub fn stdin(&mut self) -> io::Result<std::process::ChildStdin> {
        self.child.stdin.take().ok_or_else(|| NOT_PIPED.into())
    }

    /// Sends SIGKILL and waits until the process has ended.
    pub fn kill(&mut self) -> io::Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// Sends SIGKILL without waiting for the end of the process.
    pub fn send_kill(&self) -> io::Result<()> {
        self.signal(Signal::KILL)
    }

    /// Suspends the process (SIGSTOP) until [`OwnedChild::resume`]; its connections stay open.
    pub fn suspend(&self) -> io::Result<()> {
        self.signal(Signal::STOP)
    }

    /// Resumes a suspended process (SIGCONT).
    pub fn resume(&self) -> io::Result<()> {
        self.signal(Signal::CONT)
    }

    /// Makes a daemon log its counters and memory accounts (SIGUSR1).
    pub fn log_counters(&self) -> io::Result<()> {
        self.signal(Signal::USR1)
    }

    /// CPU time used so far and current resident memory.
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
        // The process may have ended already.
        let _ = self.kill();
    }
}

/// A running daemon with its own folder and deploy file.
#[derive(Debug)]
pub struct DaemonProcess {
    program: PathBuf,
    folder: PathBuf,
    child: OwnedChild,
    /// Kept open, so that the daemon can still write to its standard output.
    _output: BufReader<ChildStdout>,
    /// Address of the invoke API.
    pub address: SocketAddr,
    /// Time from the start until the API listened.
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

    /// Kills the daemon if it is running and starts it again on its existing files.
    pub fn restart(&mut self) -> Result<(), ScaleError> {
        // The process may have been killed already.
        let _ = self.child.kill();
        *self = Self::start_in(&self.program, &self.folder)?;
        Ok(())
    }

    /// The child process.
    pub fn process(&self) -> &OwnedChild {
        &self.child
    }

    /// The folder of its files.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// A new client of the daemon's API.
    pub fn client(&self) -> Client {
        Client::new(self.address, REQUEST_TIMEOUT)
    }

    /// Sends one request over a new connection; fails if the status is 300 or above.
    pub fn request(&self, method: &str, path: &str, body: &[u8]) -> Result<Response, ScaleError> {
        let response = self.client().send_request(method, path, &[], body)?;
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
            let last = log.lines().last().unwrap_or("its log is empty").to_string();
            return Err(ScaleError::Failed(format!("the daemon did not start: {last}")));
        }
        if let Some(address) = line.trim().strip_prefix("invoke API on ") {
            return address.parse().map_err(|_| {
                ScaleError::Failed(format!("the daemon printed an invalid API address: {address}"))
            });
        }
    }
}

/// CPU time and resident memory of a process, as the kernel reports them.
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
    Ok(Usage { cpu_s: nanoseconds / NANOSECONDS_PER_SECOND, resident: kib.unwrap_or(0.0) * BYTES_PER_KIB })
}

/// Returns `count` loopback ports on which nothing listens.
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
        return Err(ScaleError::Failed("too few free loopback ports".into()));
    }
    Ok(ports)
}

/// Whether a loopback port is free. The socket is bound without listening: a child that is just being forked holds a
/// copy of the descriptor until exec, and a listening copy would keep the port in use.
fn is_free(port: u16) -> bool {
    let bind = || {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, port)).into())
    };
    bind().is_ok()
}
