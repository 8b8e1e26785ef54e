//! From the memory of a process to a cap for each purpose.
//!
//! What the process takes before it serves anything (its base, measured) and a reserve for what no account
//! sees (the allocator's own, fragments, stacks' first pages) come off; the rest is shared out in percent.
//! Shares that the operator's file names stand as they are; the others split what is left in the
//! proportions of the table.
use crate::purpose::Purpose;
use std::collections::BTreeMap;

/// A budget that can't stand, by the key at fault.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{key}: {what}")]
pub struct BudgetError {
    /// The key, as it stands in the file.
    pub key: String,
    /// What is wrong with it.
    pub what: String,
}

impl BudgetError {
    fn new(key: impl Into<String>, what: impl Into<String>) -> Self {
        BudgetError { key: key.into(), what: what.into() }
    }
}

/// The part of each purpose, in percent of what there is to share.
#[derive(Clone, Debug, PartialEq)]
pub struct Shares {
    percent: [f64; Purpose::COUNT],
    /// Those that the file names.
    named: [bool; Purpose::COUNT],
}

impl Shares {
    /// The table's shares for a daemon off the platform.
    pub fn daemon() -> Self {
        Shares::of(|purpose| purpose.terms().daemon)
    }

    /// The table's shares on the platform.
    pub fn platform() -> Self {
        Shares::of(|purpose| purpose.terms().platform)
    }

    fn of(share: impl Fn(Purpose) -> f64) -> Self {
        let mut percent = [0.0; Purpose::COUNT];
        Purpose::all().for_each(|purpose| percent[purpose as usize] = share(purpose));
        Shares { percent, named: [false; Purpose::COUNT] }
    }

    /// These shares with those of a file in place of their own; `key` is where they stand in the file.
    pub fn with(mut self, file: &BTreeMap<String, f64>, key: &str) -> Result<Self, BudgetError> {
        for (name, percent) in file {
            let at = format!("{key}.{name}");
            let purpose = Purpose::named(name).ok_or_else(|| {
                let known: Vec<_> = Purpose::all().map(Purpose::name).collect();
                BudgetError::new(&at, format!("no such purpose; there are {}", known.join(", ")))
            })?;
            if !percent.is_finite() || !(0.0..=100.0).contains(percent) {
                return Err(BudgetError::new(at, format!("{percent} is no percentage")));
            }
            self.percent[purpose as usize] = *percent;
            self.named[purpose as usize] = true;
        }
        let sum = |named: bool| -> f64 {
            let both = self.percent.iter().zip(&self.named);
            both.filter(|(_, is)| **is == named).map(|(percent, _)| percent).sum()
        };
        let (fixed, open) = (sum(true), sum(false));
        if fixed > 100.0 {
            return Err(BudgetError::new(key, format!("the shares add up to {fixed} percent")));
        }
        if open > 0.0 {
            let factor = (100.0 - fixed) / open;
            let all = self.percent.iter_mut().zip(&self.named);
            all.filter(|(_, named)| !**named).for_each(|(percent, _)| *percent *= factor);
        }
        Ok(self)
    }

    /// The share of a purpose, in percent.
    pub fn percent(&self, purpose: Purpose) -> f64 {
        self.percent[purpose as usize]
    }
}

/// The caps of a process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Budget {
    caps: [usize; Purpose::COUNT],
}

impl Budget {
    /// Shares out `memory` bytes less the `base` that the process takes by itself and `reserve` percent.
    /// `memory_key` and `shares_key` are where the figures stand in the file, for errors.
    pub fn plan(
        memory: usize,
        base: usize,
        reserve: f64,
        shares: &Shares,
        (memory_key, shares_key): (&str, &str),
    ) -> Result<Self, BudgetError> {
        let reserved = (memory as f64 * reserve / 100.0) as usize;
        let room = memory.saturating_sub(base).saturating_sub(reserved);
        let mut caps = [0; Purpose::COUNT];
        for purpose in Purpose::all() {
            let (percent, floor) = (shares.percent(purpose), purpose.terms().floor);
            let cap = (room as f64 * percent / 100.0) as usize;
            let named = shares.named[purpose as usize];
            // A purpose without any share is off; with one it must be of use.
            if cap < floor && (percent > 0.0 || named) {
                let key =
                    if named { format!("{shares_key}.{}", purpose.name()) } else { memory_key.to_string() };
                let what = format!(
                    "{memory} bytes less {base} for the process and {reserved} in reserve leave {cap} for \
                     {}, which needs {floor}",
                    purpose.name()
                );
                return Err(BudgetError::new(key, what));
            }
            caps[purpose as usize] = cap;
        }
        Ok(Budget { caps })
    }

    /// The cap of a purpose, in bytes.
    pub fn cap(&self, purpose: Purpose) -> usize {
        self.caps[purpose as usize]
    }

    /// What may be held for all purposes together, in bytes.
    pub fn room(&self) -> usize {
        self.caps.iter().sum()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::MIB;

    const KEYS: (&str, &str) = ("memory_mb", "memory.shares");

    fn shares(file: &[(&str, f64)]) -> Result<Shares, BudgetError> {
        let file = file.iter().map(|(name, percent)| (name.to_string(), *percent)).collect();
        Shares::daemon().with(&file, KEYS.1)
    }

    #[test]
    fn caps_add_up_to_what_is_left() {
        for shares in [Shares::daemon(), Shares::platform(), shares(&[("calls", 55.0)]).expect("fits")] {
            let budget = Budget::plan(128 * MIB, 6 * MIB, 15.0, &shares, KEYS).expect("fits");
            let room = 128.0 * 0.85 - 6.0;
            assert!((budget.room() as f64 / MIB as f64 - room).abs() < 0.01);
        }
        let budget = Budget::plan(32 * MIB, 6 * MIB, 15.0, &Shares::platform(), KEYS).expect("fits");
        assert_eq!(budget.cap(Purpose::Keys), 0, "off on the platform");
    }

    #[test]
    fn what_the_file_names_stands_and_the_rest_keeps_its_proportions() {
        let shares = shares(&[("calls", 64.0)]).expect("fits");
        assert_eq!(shares.percent(Purpose::Calls), 64.0);
        let of_rest =
            |purpose: Purpose| purpose.terms().daemon * 36.0 / (100.0 - Purpose::Calls.terms().daemon);
        let rest = Purpose::all().filter(|purpose| *purpose != Purpose::Calls);
        assert!(rest.into_iter().all(|one| (shares.percent(one) - of_rest(one)).abs() < 1e-9), "{shares:?}");
    }

    #[test]
    fn what_does_not_fit_together_names_its_key() {
        let key = |end: Result<Shares, BudgetError>| end.expect_err("refused").key;
        assert_eq!(key(shares(&[("calls", 60.0), ("keys", 41.0)])), "memory.shares");
        assert_eq!(key(shares(&[("posts", 1.0)])), "memory.shares.posts");
        assert_eq!(key(shares(&[("calls", -1.0)])), "memory.shares.calls");
        assert_eq!(key(shares(&[("calls", f64::NAN)])), "memory.shares.calls");
        let plan = |mb: usize, shares: Shares| Budget::plan(mb * MIB, 6 * MIB, 15.0, &shares, KEYS);
        assert_eq!(plan(4, Shares::daemon()).expect_err("refused").key, "memory_mb");
        let starved = shares(&[("log", 0.1)]).expect("adds up");
        assert_eq!(plan(128, starved).expect_err("refused").key, "memory.shares.log");
        assert!(plan(128, Shares::daemon()).is_ok());
    }
}
