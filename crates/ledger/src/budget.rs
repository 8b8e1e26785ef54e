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
    /// Those that were raised to what they need: they give way to no other.
    raised: [bool; Purpose::COUNT],
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
        Shares { percent, named: [false; Purpose::COUNT], raised: [false; Purpose::COUNT] }
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

    /// These shares, with at least so many bytes of a room for a purpose. Purposes that the file does not name and that
    /// were not raised themselves give way in proportion. `keys` are where the memory and the shares stand in the
    /// file, for errors.
    pub fn raise(
        mut self,
        purpose: Purpose,
        bytes: usize,
        room: usize,
        (memory_key, shares_key): (&str, &str),
    ) -> Result<Self, BudgetError> {
        let place = purpose as usize;
        let has = self.percent[place];
        let wants = bytes as f64 * 100.0 / room.max(1) as f64;
        if wants <= has {
            return Ok(self);
        }
        let name = purpose.name();
        let needs = format!("{name} needs {bytes} bytes of {room} for what is configured");
        if self.named[place] {
            let key = format!("{shares_key}.{name}");
            return Err(BudgetError::new(key, format!("{needs}, {wants:.1} percent")));
        }
        let (named, raised) = (self.named, self.raised);
        let is_open = |other: usize| other != place && !named[other] && !raised[other];
        let others: f64 =
            (0..Purpose::COUNT).filter(|other| is_open(*other)).map(|other| self.percent[other]).sum();
        let left = others + has - wants;
        if left < 0.0 {
            return Err(BudgetError::new(
                memory_key,
                format!("{needs}, {:.1} percent are free", others + has),
            ));
        }
        for other in Purpose::all().filter(|other| is_open(*other as usize)) {
            let before = self.percent[other as usize];
            let after = before * left / others;
            let floor = other.terms().floor as f64 * 100.0 / room.max(1) as f64;
            if before >= floor && after < floor {
                let what = format!("{needs}, which leaves too little for {}", other.name());
                return Err(BudgetError::new(memory_key, what));
            }
            self.percent[other as usize] = after;
        }
        self.percent[place] = wants;
        self.raised[place] = true;
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
    /// Shares out `memory` bytes less the `base` that the process takes by itself and `reserve` percent.
    /// `memory_key` and `shares_key` are where the figures stand in the file, for errors.
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

    /// What `memory` bytes leave to share out, less the `base` and `reserve` percent.
    pub fn room_within(memory: usize, base: usize, reserve: f64) -> usize {
        memory.saturating_sub(base).saturating_sub(reserved(memory, reserve))
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
mod tests;
