//! What operators have asked for as it passes from process to process: one record with a version and a check.
use crate::{Bans, Ms, Stay};
use serde::{Deserialize, Serialize};

/// First word of the record, with the version of its form.
const HEAD: &str = "corkbay-word-1";
/// Largest record that is read, in bytes: some thousands of hosts.
pub const MOST: usize = 1 << 20;

/// The clocks by which two processes of one machine can date what they share, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Clocks {
    /// Now on the process's own monotonic clock, by which overrides are dated in memory.
    pub now: Ms,
    /// How far the machine's monotonic clock is ahead of it, which all processes share until the machine is started
    /// anew.
    pub machine_ahead: Ms,
    /// How far the wall clock was ahead of it when the process began.
    pub wall_ahead: Ms,
}

impl Clocks {
    /// A date of the record on the process's clock. What seems to lie ahead was dated before the machine was started
    /// anew, or before the wall clock was set back: it counts as now, so that a host that came back is cold.
    fn to_process(self, host: &Host) -> Ms {
        let at = match host.since_machine_ms {
            Some(at) => at - self.machine_ahead,
            // Written by an earlier version.
            None => host.since_ms - self.wall_ahead,
        };
        at.min(self.now)
    }
}

/// What operators have asked for and not taken back.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Overrides {
    /// Grows with each change.
    pub version: u64,
    /// No clients are wanted.
    pub drained: bool,
    /// Who is held out.
    pub bans: Bans,
}

/// Why bytes are no such record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BadRecord {
    /// It is empty, cut short, or of another form.
    #[error("no record of a form that is read here")]
    Form,
    /// The check does not fit.
    #[error("the check does not fit")]
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
    /// By the wall clock, for earlier versions.
    since_ms: f64,
    /// By the machine's monotonic clock.
    #[serde(default)]
    since_machine_ms: Option<f64>,
}

impl Host {
    fn new(name: &str, stay: Stay, clocks: Clocks) -> Self {
        let (out, at) = match stay {
            Stay::Out(at) => (true, at),
            Stay::Back(at) => (false, at),
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
    /// Its bytes: the head, the check in hex, a line end, and the record as JSON.
    pub fn encode(&self, clocks: Clocks) -> Vec<u8> {
        let hosts = self.bans.stays().map(|(name, stay)| Host::new(name, stay, clocks));
        let text = Text { version: self.version, drained: self.drained, hosts: hosts.collect() };
        // Texts, numbers and flags: none of it fails to be written.
        let text = serde_json::to_string(&text).unwrap_or_default();
        format!("{HEAD} {:08x}\n{text}", crc32fast::hash(text.as_bytes())).into_bytes()
    }

    /// Reads it back; what is damaged in any place is told as such.
    pub fn decode(bytes: &[u8], clocks: Clocks) -> Result<Overrides, BadRecord> {
        let text = std::str::from_utf8(bytes).map_err(|_| BadRecord::Form)?;
        let (head, text) = text.split_once('\n').ok_or(BadRecord::Form)?;
        let check = head.strip_prefix(HEAD).and_then(|rest| rest.strip_prefix(' ')).ok_or(BadRecord::Form)?;
        if check != format!("{:08x}", crc32fast::hash(text.as_bytes())) {
            return Err(BadRecord::Check);
        }
        let text: Text = serde_json::from_str(text).map_err(|_| BadRecord::Form)?;
        let stays = text.hosts.into_iter().map(|host| {
            let at = clocks.to_process(&host);
            (host.name, if host.out { Stay::Out(at) } else { Stay::Back(at) })
        });
        Ok(Overrides { version: text.version, drained: text.drained, bans: Bans::from_stays(stays) })
    }
}

/// What to do about the record that stands, as seen by a process that knows a word.
#[derive(Clone, Debug, PartialEq)]
pub enum Look {
    /// It says what is known.
    Same,
    /// It is newer: take it over.
    Newer(Overrides),
    /// It is damaged, gone or older than what is known: write it again, so that nobody misses what it said.
    Restore,
    /// It can't be read, and nothing better is known here: wait for whoever knows.
    Wait,
}

/// Judges the record that stands (`None` where there is none) against the word that is known, if any is.
pub fn look(stands: Option<Result<Overrides, BadRecord>>, known: Option<&Overrides>) -> Look {
    match (stands, known) {
        (Some(Ok(overrides)), Some(known)) if overrides.version == known.version => Look::Same,
        (Some(Ok(overrides)), Some(known)) if overrides.version < known.version => Look::Restore,
        (Some(Ok(overrides)), _) => Look::Newer(overrides),
        (None, Some(known)) if known.version == 0 => Look::Same,
        (None | Some(Err(_)), Some(_)) => Look::Restore,
        (None, None) => Look::Newer(Overrides::default()),
        (Some(Err(_)), None) => Look::Wait,
    }
}

#[cfg(test)]
mod tests;
