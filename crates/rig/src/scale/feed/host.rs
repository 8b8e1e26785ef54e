//! Handle of a process of headless followers, used by the rig.
use super::protocol::{HostConfig, HostRequest, HostResponse};
use crate::scale::process::OwnedChild;
use crate::scale::ScaleError;
use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::path::{Path, PathBuf};
use std::process::{ChildStdin, ChildStdout, Command, Stdio};

/// A running process of headless followers. It is killed when this value is dropped; if this process ends, it sees the
/// end of its standard input and ends too.
pub struct FollowerHost {
    child: OwnedChild,
    input: ChildStdin,
    output: BufReader<ChildStdout>,
    followers: usize,
}

impl FollowerHost {
    /// Starts this executable as a process of headless followers with the given deploy files; its configuration and log
    /// are written to `folder`. Returns before the followers have started.
    pub fn spawn(folder: &Path, deploy_files: Vec<PathBuf>) -> Result<Self, ScaleError> {
        std::fs::create_dir_all(folder)?;
        let followers = deploy_files.len();
        let config_file = folder.join("host.json");
        let config = serde_json::to_vec(&HostConfig { deploy_files }).map_err(std::io::Error::other)?;
        std::fs::write(&config_file, config)?;
        let log = File::options().create(true).append(true).open(folder.join("host.log"))?;
        let mut command = Command::new(std::env::current_exe()?);
        command.arg("follower-host").arg(&config_file);
        command.stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(log);
        let mut child = OwnedChild::start(&mut command)?;
        let (input, output) = (child.stdin()?, child.stdout()?);
        Ok(FollowerHost { child, input, output, followers })
    }

    /// Waits until all followers have started.
    pub fn wait_until_started(&mut self) -> Result<(), ScaleError> {
        match self.receive()? {
            HostResponse::Started => Ok(()),
            other => Err(unexpected(&other)),
        }
    }

    /// The child process.
    pub fn process(&self) -> &OwnedChild {
        &self.child
    }

    /// Number of followers in the process.
    pub fn followers(&self) -> usize {
        self.followers
    }

    /// Sends a request; [`FollowerHost::receive`] returns the response.
    pub fn send(&mut self, request: &HostRequest) -> Result<(), ScaleError> {
        let mut line = serde_json::to_vec(request).map_err(std::io::Error::other)?;
        line.push(b'\n');
        self.input.write_all(&line)?;
        Ok(())
    }

    /// Waits for the next response.
    pub fn receive(&mut self) -> Result<HostResponse, ScaleError> {
        let mut line = String::new();
        if self.output.read_line(&mut line)? == 0 {
            return Err(ScaleError::Failed("a process of headless followers ended; see its host.log".into()));
        }
        Ok(serde_json::from_str(&line).map_err(std::io::Error::other)?)
    }

    /// Sends a request and waits for its response.
    pub fn ask(&mut self, request: &HostRequest) -> Result<HostResponse, ScaleError> {
        self.send(request)?;
        self.receive()
    }
}

/// The error for a response that doesn't match the request.
pub fn unexpected(response: &HostResponse) -> ScaleError {
    ScaleError::Failed(format!("unexpected response from a process of headless followers: {response:?}"))
}
