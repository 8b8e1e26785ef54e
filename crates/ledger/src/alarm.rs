//! Warnings about accounts that come close to their caps, few enough to be read.
use crate::account::Account;
use crate::Ms;
use std::collections::HashMap;
use std::fmt;

/// The part of a cap from which on a warning is due.
const CLOSE: f64 = 0.8;
/// The least time between two warnings about one account, in milliseconds.
const QUIET_MS: Ms = 10_000.0;

/// An account came close to its cap.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Warning {
    /// Its name, with those above it.
    pub account: String,
    /// The most that it held since the last look, in bytes.
    pub high: usize,
    /// What it may hold, in bytes.
    pub cap: usize,
}

impl fmt::Display for Warning {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let percent = self.high as f64 / self.cap.max(1) as f64 * 100.0;
        write!(f, "{} holds {} of {} bytes ({percent:.0}%)", self.account, self.high, self.cap)
    }
}

/// Remembers which accounts were warned of, and when.
#[derive(Debug, Default)]
pub struct Alarm {
    warned: HashMap<String, Ms>,
}

impl Alarm {
    /// Looks at accounts; tells those that were close to their caps at any time since the last look, each
    /// at most once in ten seconds.
    pub fn look<'a>(&mut self, now: Ms, accounts: impl Iterator<Item = &'a Account>) -> Vec<Warning> {
        let mut warnings = Vec::new();
        for account in accounts {
            let (high, cap) = (account.take_high(), account.cap());
            if cap == 0 || (high as f64) < CLOSE * cap as f64 {
                continue;
            }
            let name = account.to_string();
            if self.warned.get(&name).is_none_or(|at| now - at >= QUIET_MS) {
                self.warned.insert(name.clone(), now);
                warnings.push(Warning { account: name, high, cap });
            }
        }
        warnings
    }
}

#[cfg(test)]
mod tests;
