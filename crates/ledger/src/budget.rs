//! Divides the memory of a process into a cap for each purpose.
//!
//! Two parts are subtracted first: the base, measured as what the process takes before it serves anything,
//! and a reserve for memory that no account covers (allocator overhead, fragmentation, first pages of
//! stacks). The rest is divided by percentages. Shares set in the operator's file are used as they are; the
//! other purposes divide what is left in the proportions of the table.
use crate::purpose::Purpose;
use std::collections::BTreeMap;

/// An invalid budget, with the setting at fault.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{key}: {what}")]
pub struct BudgetError {
    /// The key of the setting in the file.
    pub key: String,
    /// What is wrong with it.
    pub what: String,
}

impl BudgetError {
    fn new(key: impl Into<String>, what: impl Into<String>) -> Self {
        BudgetError { key: key.into(), what: what.into() }
    }
}

/// The share of each purpose, in percent of the memory to divide.
#[derive(Clone, Debug, PartialEq)]
pub struct Shares {
    percent: [f64; Purpose::COUNT],
    /// Purposes whose share the file sets.
    named: [bool; Purpose::COUNT],
    /// Purposes that were raised to what they need; their shares are not reduced for others.
    raised: [bool; Purpose::COUNT],
}

impl Shares {
    /// The table's shares for a daemon outside the platform.
    pub fn daemon() -> Self {
        Shares::of(|purpose| purpose.settings().daemon_percent)
    }

    /// The table's shares on the platform.
    pub fn platform() -> Self {
        Shares::of(|purpose| purpose.settings().platform_percent)
    }

    fn of(share: impl Fn(Purpose) -> f64) -> Self {
        let mut percent = [0.0; Purpose::COUNT];
        Purpose::all().for_each(|purpose| percent[purpose as usize] = share(purpose));
        Shares { percent, named: [false; Purpose::COUNT], raised: [false; Purpose::COUNT] }
    }

    /// Replaces shares by those of a file; `key` is the file's key of the shares, for errors.
    pub fn with(mut self, file: &BTreeMap<String, f64>, key: &str) -> Result<Self, BudgetError> {
        for (name, percent) in file {
            let share_key = format!("{key}.{name}");
            let purpose = Purpose::named(name).ok_or_else(|| {
                let known: Vec<_> = Purpose::all().map(Purpose::name).collect();
                BudgetError::new(
                    &share_key,
                    format!("unknown purpose; the purposes are {}", known.join(", ")),
                )
            })?;
            if !percent.is_finite() || !(0.0..=100.0).contains(percent) {
                return Err(BudgetError::new(
                    share_key,
                    format!("{percent} is not a percentage between 0 and 100"),
                ));
            }
            self.percent[purpose as usize] = *percent;
            self.named[purpose as usize] = true;
        }
        let sum = |named: bool| -> f64 {
            let both = self.percent.iter().zip(&self.named);
            both.filter(|(_, is)| **is == named).map(|(percent, _)| percent).sum()
        };
        let (set_sum, unset_sum) = (sum(true), sum(false));
        if set_sum > 100.0 {
            return Err(BudgetError::new(key, format!("the shares add up to {set_sum} percent")));
        }
        if unset_sum > 0.0 {
            let factor = (100.0 - set_sum) / unset_sum;
            let all = self.percent.iter_mut().zip(&self.named);
            all.filter(|(_, named)| !**named).for_each(|(percent, _)| *percent *= factor);
        }
        Ok(self)
    }

    /// Raises the share of a purpose to at least `bytes` out of `room` bytes. The shares of purposes that the
    /// file does not set and that were not raised themselves are reduced in proportion. The keys are those of
    /// the memory and of the shares in the file, for errors.
    pub fn raise(
        mut self,
        purpose: Purpose,
        bytes: usize,
        room: usize,
        (memory_key, shares_key): (&str, &str),
    ) -> Result<Self, BudgetError> {
        let index = purpose as usize;
        let has = self.percent[index];
        let wants = bytes as f64 * 100.0 / room.max(1) as f64;
        if wants <= has {
            return Ok(self);
        }
        let name = purpose.name();
        let needs = format!("{name} needs {bytes} bytes of {room} for what is configured");
        if self.named[index] {
            let key = format!("{shares_key}.{name}");
            return Err(BudgetError::new(key, format!("{needs}, {wants:.1} percent")));
        }
        let (named, raised) = (self.named, self.raised);
        let is_reducible = |other: usize| other != index && !named[other] && !raised[other];
        let others: f64 =
            (0..Purpose::COUNT).filter(|other| is_reducible(*other)).map(|other| self.percent[other]).sum();
        let left = others + has - wants;
        if left < 0.0 {
            return Err(BudgetError::new(
                memory_key,
                format!("{needs}, {:.1} percent are free", others + has),
            ));
        }
        for other in Purpose::all().filter(|other| is_reducible(*other as usize)) {
            let before = self.percent[other as usize];
            let after = before * left / others;
            let floor = other.settings().min_bytes as f64 * 100.0 / room.max(1) as f64;
            if before >= floor && after < floor {
                let what = format!("{needs}, which leaves too little for {}", other.name());
                return Err(BudgetError::new(memory_key, what));
            }
            self.percent[other as usize] = after;
        }
        self.percent[index] = wants;
        self.raised[index] = true;
        Ok(self)
    }

    /// The share of a purpose, in percent.
    pub fn percent(&self, purpose: Purpose) -> f64 {
        self.percent[purpose as usize]
    }
}

fn reserved(memory: usize, percent: f64) -> usize {
    (memory as f64 * percent / 100.0) as usize
}

/// The caps of a process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Budget {
    caps: [usize; Purpose::COUNT],
}

impl Budget {
    /// Divides `memory` bytes less `base`, which the process takes by itself, and less `reserve` percent. The
    /// keys are those of the memory and of the shares in the file, for errors.
    pub fn plan(
        memory: usize,
        base: usize,
        reserve: f64,
        shares: &Shares,
        (memory_key, shares_key): (&str, &str),
    ) -> Result<Self, BudgetError> {
        let reserved = reserved(memory, reserve);
        let room = Budget::room_within(memory, base, reserve);
        let mut caps = [0; Purpose::COUNT];
        for purpose in Purpose::all() {
            let (percent, floor) = (shares.percent(purpose), purpose.settings().min_bytes);
            let cap = (room as f64 * percent / 100.0) as usize;
            let named = shares.named[purpose as usize];
            // A purpose with a share of 0 is off; any other must reach its minimum.
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

    /// The bytes left to divide out of `memory`, less `base` bytes and `reserve` percent.
    pub fn room_within(memory: usize, base: usize, reserve: f64) -> usize {
        memory.saturating_sub(base).saturating_sub(reserved(memory, reserve))
    }

    /// The cap of a purpose, in bytes.
    pub fn cap(&self, purpose: Purpose) -> usize {
        self.caps[purpose as usize]
    }

    /// Sum of all caps, in bytes.
    pub fn room(&self) -> usize {
        self.caps.iter().sum()
    }
}

#[cfg(test)]
mod tests;
