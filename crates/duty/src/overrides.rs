//! The operators' commands in effect, as passed from process to process: one record with a version and a
//! checksum.
use crate::{HostOverride, HostOverrides, Ms};
use serde::{Deserialize, Serialize};

/// First word of the record; ends with the format version.
const FORMAT_WORD: &str = "corkbay-word-1";
/// Largest record that is read, in bytes: enough for some thousands of hosts.
pub const MAX_RECORD_BYTES: usize = 1 << 20;

/// Clock readings for converting dates that two processes of one machine share, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Clocks {
    /// Now on the process's own monotonic clock, which dates overrides in memory.
    pub now: Ms,
    /// How far the machine's monotonic clock, which all processes share until a reboot, is ahead of the
    /// process's.
    pub machine_ahead: Ms,
    /// How far the wall clock was ahead of the process's clock when the process started.
    pub wall_ahead: Ms,
}

impl Clocks {
    /// Converts a date of the record to the process's clock. A date in the future was written before a reboot
    /// or before the wall clock was set back; it counts as now, so that a host that was resumed counts as
    /// cold.
    fn to_process_clock(self, host: &Host) -> Ms {
        let at = match host.since_machine_ms {
            Some(at) => at - self.machine_ahead,
            // Written by an earlier version.
            None => host.since_ms - self.wall_ahead,
        };
        at.min(self.now)
    }
}

/// Operator commands that are in effect.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Overrides {
    /// Increases with each change.
    pub version: u64,
    /// The invoker is drained.
    pub drained: bool,
    /// Suspended and recently resumed hosts.
    pub host_overrides: HostOverrides,
}

/// Why bytes are not a valid record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecordError {
    /// It is empty, truncated, or in another format.
    #[error("the record is truncated or has an unsupported format")]
    Form,
    /// The checksum does not match.
    #[error("checksum mismatch")]
    Check,
}

#[derive(Serialize, Deserialize)]
struct Text {
    version: u64,
    drained: bool,
    hosts: Vec<Host>,
}

#[derive(Serialize, Deserialize)]
struct Host {
    name: String,
    out: bool,
    /// By the wall clock, for earlier versions, in milliseconds.
    since_ms: f64,
    /// By the machine's monotonic clock, in milliseconds.
    #[serde(default)]
    since_machine_ms: Option<f64>,
}

impl Host {
    fn new(name: &str, host_override: HostOverride, clocks: Clocks) -> Self {
        let (out, at) = match host_override {
            HostOverride::Suspended(at) => (true, at),
            HostOverride::Resumed(at) => (false, at),
        };
        Host {
            name: name.to_string(),
            out,
            since_ms: at + clocks.wall_ahead,
            since_machine_ms: Some(at + clocks.machine_ahead),
        }
    }
}

impl Overrides {
    /// Encodes the record: the format word, the checksum in hex, a newline, and the record as JSON.
    pub fn encode(&self, clocks: Clocks) -> Vec<u8> {
        let hosts = self
            .host_overrides
            .host_overrides()
            .map(|(name, host_override)| Host::new(name, host_override, clocks));
        let text = Text { version: self.version, drained: self.drained, hosts: hosts.collect() };
        // Strings, numbers and booleans always serialize.
        let text = serde_json::to_string(&text).unwrap_or_default();
        format!("{FORMAT_WORD} {:08x}\n{text}", crc32fast::hash(text.as_bytes())).into_bytes()
    }

    /// Decodes a record; damage anywhere in it is an error.
    pub fn decode(bytes: &[u8], clocks: Clocks) -> Result<Overrides, RecordError> {
        let text = std::str::from_utf8(bytes).map_err(|_| RecordError::Form)?;
        let (head, text) = text.split_once('\n').ok_or(RecordError::Form)?;
        let checksum = head
            .strip_prefix(FORMAT_WORD)
            .and_then(|rest| rest.strip_prefix(' '))
            .ok_or(RecordError::Form)?;
        if checksum != format!("{:08x}", crc32fast::hash(text.as_bytes())) {
            return Err(RecordError::Check);
        }
        let text: Text = serde_json::from_str(text).map_err(|_| RecordError::Form)?;
        let host_overrides = text.hosts.into_iter().map(|host| {
            let at = clocks.to_process_clock(&host);
            (host.name, if host.out { HostOverride::Suspended(at) } else { HostOverride::Resumed(at) })
        });
        Ok(Overrides {
            version: text.version,
            drained: text.drained,
            host_overrides: HostOverrides::from_host_overrides(host_overrides),
        })
    }
}

/// What to do about the stored record, for a process that may know overrides itself.
#[derive(Clone, Debug, PartialEq)]
pub enum RecordAction {
    /// It matches what is known.
    Same,
    /// It is newer: adopt it.
    Newer(Overrides),
    /// It is damaged, missing or older than what is known: write it again, so that no process misses what it
    /// said.
    Restore,
    /// It cannot be read, and this process knows no overrides: wait for a process that does.
    Wait,
}

/// Compares the stored record (`None` if there is none) with the overrides known to this process, if any.
pub fn compare_record(
    stored: Option<Result<Overrides, RecordError>>,
    known: Option<&Overrides>,
) -> RecordAction {
    match (stored, known) {
        (Some(Ok(overrides)), Some(known)) if overrides.version == known.version => RecordAction::Same,
        (Some(Ok(overrides)), Some(known)) if overrides.version < known.version => RecordAction::Restore,
        (Some(Ok(overrides)), _) => RecordAction::Newer(overrides),
        (None, Some(known)) if known.version == 0 => RecordAction::Same,
        (None | Some(Err(_)), Some(_)) => RecordAction::Restore,
        (None, None) => RecordAction::Newer(Overrides::default()),
        (Some(Err(_)), None) => RecordAction::Wait,
    }
}

#[cfg(test)]
mod tests;
