//! The daemon under test as a child process.
use crate::client::Client;
use crate::plan::{function, tenant, TENANTS};
use crate::verdict::{Holding, Sample};
use serde_json::Value;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

const STATUS_TIMEOUT: Duration = Duration::from_secs(10);

/// A running daemon; it is killed when this value is dropped.
#[derive(Debug)]
pub struct Daemon {
    child: Child,
    /// The address of its invoke API.
    pub address: SocketAddr,
}

/// Contents of the deploy file of a test run.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Lines before the first table, such as `memory_mb = 128`.
    pub extra_lines: String,
    /// Protocol for talking to workers: `http` or `frames`.
    pub protocol: &'static str,
    /// Addresses of the workers.
    pub workers: Vec<SocketAddr>,
    /// Number of functions of each class.
    pub functions: usize,
}

impl Deployment {
    /// Formats the deploy file.
    pub fn text(&self) -> String {
        let mut text = format!(
            "node = \"rig\"\nlisten = \"127.0.0.1:0\"\n{}\n[transport]\nprotocol = \"{}\"\norders = {}\n\
             ",
            self.extra_lines,
            self.protocol,
            self.protocol == "frames"
        );
        for (class, times, effect) in [
            ("check", "aim_ms = 1500\ngive_up_ms = 4000", "pure"),
            ("post", "aim_ms = 750\ngive_up_ms = 3000\ndedup_window_ms = 6000", "token"),
        ] {
            let _ = write!(text, "[[class]]\nname = \"{class}\"\n{times}\neffect = \"{effect}\"\n");
        }
        for (name, share) in TENANTS {
            let _ = write!(text, "[[tenant]]\nname = \"{name}\"\nquota_per_s = {}\n", share * 120.0);
        }
        for number in 0..self.functions {
            for class in ["check", "post"] {
                let (name, tenant) = (function(class, number), tenant(number));
                let _ = write!(
                    text,
                    "[[function]]\nname = \"{name}\"\nclass = \"{class}\"\ntenant = \"{tenant}\"\nmemory_mb = 64\nlanes = 4\n"
                );
            }
        }
        for (number, address) in self.workers.iter().enumerate() {
            let cell = number % 3;
            let _ = write!(
                text,
                "[[worker]]\nname = \"w{number}\"\naddress = \"{address}\"\nzone = \"hall-{cell}\"\ncell = {cell}\n"
            );
        }
        text
    }
}

impl Daemon {
    /// Writes the deploy file into a folder and starts `program serve` with it. The daemon's log goes to the same folder.
    pub fn start(program: &Path, folder: &Path, deployment: &Deployment) -> io::Result<Self> {
        std::fs::create_dir_all(folder)?;
        let file = folder.join("deploy.toml");
        std::fs::write(&file, deployment.text())?;
        let log = std::fs::File::create(folder.join("daemon.log"))?;
        let mut command = Command::new(program);
        command.arg("serve").arg(&file).stdin(Stdio::null()).stdout(Stdio::piped()).stderr(log);
        let mut child = command.spawn()?;
        let mut lines = BufReader::new(child.stdout.take().ok_or(io::ErrorKind::BrokenPipe)?).lines();
        let address = loop {
            let line =
                lines.next().ok_or_else(|| io::Error::other("the daemon did not start; see its log"))??;
            if let Some(address) = line.strip_prefix("invoke API on ") {
                break address.parse().map_err(io::Error::other)?;
            }
        };
        Ok(Daemon { child, address })
    }

    /// Samples the daemon's memory: its accounts from the status page and its resident memory from the kernel.
    pub fn sample(&self, started: Instant, phase: &str) -> io::Result<Sample> {
        let status = Client::new(self.address, STATUS_TIMEOUT).send_request("GET", "/v1/status", &[], b"")?;
        let status: Value = serde_json::from_slice(&status.body)?;
        let accounts = status["memory"]["accounts"].as_array().cloned().unwrap_or_default();
        let number = |account: &Value, key: &str| account[key].as_f64().unwrap_or_default();
        let holding = |account: &Value| {
            let name = account["purpose"].as_str().unwrap_or_default();
            let name = match account["tenant"].as_str() {
                Some(tenant) => format!("{name}/{tenant}"),
                None => name.to_string(),
            };
            let [used, peak, cap] = ["used_bytes", "peak_bytes", "cap_bytes"].map(|key| number(account, key));
            (name, Holding { used, peak, cap })
        };
        Ok(Sample {
            at_s: started.elapsed().as_secs_f64(),
            phase: phase.into(),
            resident: self.resident()?,
            accounts: accounts.iter().map(holding).collect::<BTreeMap<_, _>>(),
        })
    }

    /// Resident memory, in bytes.
    pub fn resident(&self) -> io::Result<f64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()))?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kib = line.and_then(|rest| rest.trim().trim_end_matches(" kB").parse::<f64>().ok());
        kib.map(|kib| kib * 1024.0).ok_or_else(|| io::Error::other("no VmRSS in the status of the process"))
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // Fails if the daemon has exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Path of the daemon's executable in the folder of this program.
pub fn default_program() -> io::Result<PathBuf> {
    let program = std::env::current_exe()?.with_file_name("corkbay");
    match program.exists() {
        true => Ok(program),
        false => Err(io::Error::other(format!("{} is not built", program.display()))),
    }
}
