//! The operators' overrides on hosts: who is held out, and who came back lately.
use crate::Ms;
use std::collections::BTreeMap;

/// For how long a return is remembered, in milliseconds: longer than any host stays cold (16 s here), and than an
/// upgrade takes.
const RETURN_KEPT_MS: Ms = 60_000.0;

/// Where a host stands with the operators.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Stay {
    /// Nothing more may go there, since then.
    Out(Ms),
    /// It came back then, restarted: it is as cold as one that starts.
    Back(Ms),
}

/// Who is held out, by the host's name. What a list says of a host changes nothing here.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Bans {
    stays: BTreeMap<String, Stay>,
}

impl Bans {
    /// Those that were handed over, by name.
    pub fn from_stays(stays: impl IntoIterator<Item = (String, Stay)>) -> Self {
        Bans { stays: stays.into_iter().collect() }
    }

    /// Holds a host out; true if it was not held out already.
    pub fn suspend(&mut self, name: &str, now: Ms) -> bool {
        if self.is_out(name) {
            return false;
        }
        self.stays.insert(name.to_string(), Stay::Out(now));
        true
    }

    /// Lets a host serve again, however often it was suspended; true if it was held out.
    pub fn resume(&mut self, name: &str, now: Ms) -> bool {
        self.stays.retain(|_, stay| !matches!(stay, Stay::Back(at) if now - *at > RETURN_KEPT_MS));
        let out = self.is_out(name);
        if out {
            self.stays.insert(name.to_string(), Stay::Back(now));
        }
        out
    }

    /// Whether nothing may go to that host.
    pub fn is_out(&self, name: &str) -> bool {
        matches!(self.stays.get(name), Some(Stay::Out(_)))
    }

    /// When the host came back, if that was lately.
    pub fn back_at(&self, name: &str) -> Option<Ms> {
        match self.stays.get(name) {
            Some(Stay::Back(at)) => Some(*at),
            _ => None,
        }
    }

    /// Hosts that are held out, by name.
    pub fn out(&self) -> impl Iterator<Item = &str> {
        self.stays.iter().filter(|stay| matches!(stay.1, Stay::Out(_))).map(|stay| stay.0.as_str())
    }

    /// Where each host stands that was suspended, by name; those that came back long ago are left out.
    pub fn stays(&self) -> impl Iterator<Item = (&str, Stay)> {
        self.stays.iter().map(|(name, stay)| (name.as_str(), *stay))
    }

    /// What it takes, in bytes.
    pub fn bytes(&self) -> usize {
        self.stays.keys().map(|name| Self::cost(name)).sum()
    }

    /// What one more would take, in bytes: twice its line, since tree nodes may be half empty.
    pub fn cost(name: &str) -> usize {
        name.len() + 2 * std::mem::size_of::<(String, Stay)>() + 16
    }
}

#[cfg(test)]
mod tests;
