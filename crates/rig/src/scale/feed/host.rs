//! The rig's side of a process of hollow followers.
use super::protocol::{HostConfig, HostRequest, HostResponse};
use crate::scale::process::OwnedChild;
use crate::scale::ScaleError;
use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::path::{Path, PathBuf};
use std::process::{ChildStdin, ChildStdout, Command, Stdio};

/// A running process of hollow followers. It ends with this value, or when this process does: its standard input
/// ends then.
pub struct FollowerHost {
    child: OwnedChild,
    input: ChildStdin,
    output: BufReader<ChildStdout>,
    followers: usize,
}

impl FollowerHost {
    /// Starts this program again as a process of hollow followers with these deploy files; its configuration and log
    /// go into a folder. Returns before they have been started.
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

    /// Waits until all its followers have been started.
    pub fn wait_until_started(&mut self) -> Result<(), ScaleError> {
        match self.receive()? {
            HostResponse::Started => Ok(()),
            other => Err(unexpected(&other)),
        }
    }

    /// The process.
    pub fn process(&self) -> &OwnedChild {
        &self.child
    }

    /// How many followers it runs.
    pub fn followers(&self) -> usize {
        self.followers
    }

    /// Sends a request; [`FollowerHost::receive`] returns the answer.
    pub fn send(&mut self, request: &HostRequest) -> Result<(), ScaleError> {
        let mut line = serde_json::to_vec(request).map_err(std::io::Error::other)?;
        line.push(b'\n');
        self.input.write_all(&line)?;
        Ok(())
    }

    /// Waits for the next answer.
    pub fn receive(&mut self) -> Result<HostResponse, ScaleError> {
        let mut line = String::new();
        if self.output.read_line(&mut line)? == 0 {
            return Err(ScaleError::Failed("a process of hollow followers ended; see its host.log".into()));
        }
        Ok(serde_json::from_str(&line).map_err(std::io::Error::other)?)
    }

    /// Sends a request and waits for its answer.
    pub fn ask(&mut self, request: &HostRequest) -> Result<HostResponse, ScaleError> {
        self.send(request)?;
        self.receive()
    }
}

/// The error for an answer to another question.
pub fn unexpected(response: &HostResponse) -> ScaleError {
    ScaleError::Failed(format!("an unexpected answer of a process of hollow followers: {response:?}"))
}
