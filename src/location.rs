//! Comparison of the places of workers.
use crate::interface::{Group, Location};

impl Location {
    /// Whether workers here and there are known to share a record of keyed requests.
    pub fn shares_record(self, other: Location, group: Group) -> bool {
        match group {
            Group::All => true,
            Group::Zone => is_known_same(self.zone, other.zone),
            Group::Cell => is_known_same(self.cell, other.cell),
        }
    }
}

fn is_known_same<T: PartialEq>(one: Option<T>, other: Option<T>) -> bool {
    one.is_some() && one == other
}

#[cfg(test)]
mod tests;
