//! The operators' overrides on hosts: which hosts are suspended, and which were resumed recently.
use crate::Ms;
use std::collections::BTreeMap;

/// How long a resume is remembered: longer than any host stays cold (16 s here), and than an upgrade takes.
const RESUME_KEPT_MS: Ms = 60_000.0;

/// The override of one host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum HostOverride {
    /// Suspended since this time: no calls may be sent there.
    Suspended(Ms),
    /// Resumed at this time after a restart: the host is as cold as one that has just started.
    Resumed(Ms),
}

/// Suspended and recently resumed hosts, by name. Entries of a worker list do not change these.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HostOverrides {
    by_name: BTreeMap<String, HostOverride>,
}

impl HostOverrides {
    /// Overrides that were handed over from another process, by host name.
    pub fn from_host_overrides(host_overrides: impl IntoIterator<Item = (String, HostOverride)>) -> Self {
        HostOverrides { by_name: host_overrides.into_iter().collect() }
    }

    /// Suspends a host; returns whether it was not suspended before.
    pub fn suspend(&mut self, name: &str, now: Ms) -> bool {
        if self.is_suspended(name) {
            return false;
        }
        self.by_name.insert(name.to_string(), HostOverride::Suspended(now));
        true
    }

    /// Resumes a host, however often it was suspended; returns whether it was suspended.
    pub fn resume(&mut self, name: &str, now: Ms) -> bool {
        self.by_name
            .retain(|_, entry| !matches!(entry, HostOverride::Resumed(at) if now - *at > RESUME_KEPT_MS));
        let out = self.is_suspended(name);
        if out {
            self.by_name.insert(name.to_string(), HostOverride::Resumed(now));
        }
        out
    }

    /// Whether the host is suspended.
    pub fn is_suspended(&self, name: &str) -> bool {
        matches!(self.by_name.get(name), Some(HostOverride::Suspended(_)))
    }

    /// When the host was resumed, if that was recently, in milliseconds.
    pub fn resumed_at(&self, name: &str) -> Option<Ms> {
        match self.by_name.get(name) {
            Some(HostOverride::Resumed(at)) => Some(*at),
            _ => None,
        }
    }

    /// Names of the suspended hosts.
    pub fn out(&self) -> impl Iterator<Item = &str> {
        self.by_name
            .iter()
            .filter(|entry| matches!(entry.1, HostOverride::Suspended(_)))
            .map(|entry| entry.0.as_str())
    }

    /// All overrides by host name; a resume of long ago may be missing.
    pub fn host_overrides(&self) -> impl Iterator<Item = (&str, HostOverride)> {
        self.by_name.iter().map(|(name, entry)| (name.as_str(), *entry))
    }

    /// Memory of all overrides, in bytes.
    pub fn bytes(&self) -> usize {
        self.by_name.keys().map(|name| Self::cost(name)).sum()
    }

    /// Memory of one override, in bytes: twice the size of its entry, since tree nodes may be half empty.
    pub fn cost(name: &str) -> usize {
        name.len() + 2 * std::mem::size_of::<(String, HostOverride)>() + 16
    }
}

#[cfg(test)]
mod tests;
