//! Rate-limited warnings about accounts that come close to their caps.
use crate::account::Account;
use crate::Ms;
use std::collections::HashMap;
use std::fmt;

/// Part of the cap from which on a warning is due.
const WARNING_FRACTION: f64 = 0.8;
/// Shortest time between two warnings about one account.
const WARNING_INTERVAL_MS: Ms = 10_000.0;

/// An account came close to its cap.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Warning {
    /// Name of the account, with its ancestors.
    pub account: String,
    /// The highest use since the last check, in bytes.
    pub recent_peak: usize,
    /// Cap in bytes.
    pub cap: usize,
}

impl fmt::Display for Warning {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let percent = self.recent_peak as f64 / self.cap.max(1) as f64 * 100.0;
        write!(f, "{} holds {} of {} bytes ({percent:.0}%)", self.account, self.recent_peak, self.cap)
    }
}

/// Remembers when a warning about each account was last given.
#[derive(Debug, Default)]
pub struct Alarm {
    last_warned: HashMap<String, Ms>,
}

impl Alarm {
    /// Checks accounts; returns those that were close to their caps at any time since the last check, each at
    /// most once in ten seconds. `now` is in milliseconds.
    pub fn check<'a>(&mut self, now: Ms, accounts: impl Iterator<Item = &'a Account>) -> Vec<Warning> {
        let mut warnings = Vec::new();
        for account in accounts {
            let (recent_peak, cap) = (account.take_recent_peak(), account.cap());
            if cap == 0 || (recent_peak as f64) < WARNING_FRACTION * cap as f64 {
                continue;
            }
            let name = account.to_string();
            if self.last_warned.get(&name).is_none_or(|at| now - at >= WARNING_INTERVAL_MS) {
                self.last_warned.insert(name.clone(), now);
                warnings.push(Warning { account: name, recent_peak, cap });
            }
        }
        warnings
    }
}

#[cfg(test)]
mod tests;
