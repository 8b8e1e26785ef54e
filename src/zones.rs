//! Numbers zones by their names, so that decisions compare numbers instead of names.
use crate::interface::ZoneId;
use crate::settings::Names;
use std::collections::BTreeMap;
use std::sync::Arc;

/// A zone that has a name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Zone {
    /// Its number.
    pub id: ZoneId,
    /// Its name.
    pub name: Arc<str>,
}

#[derive(Debug)]
struct CountedZone {
    zone: Zone,
    users: usize,
}

/// The zones in use. A zone keeps its number as long as it is in use; numbers are not reused.
#[derive(Debug)]
pub struct ZoneTable {
    zones: BTreeMap<Arc<str>, CountedZone>,
    names: BTreeMap<ZoneId, Arc<str>>,
    next_id: u64,
}

impl ZoneTable {
    /// A table in which the zones of the settings are always in use, numbered by their positions.
    pub fn new(names: &Names) -> Self {
        let mut table = ZoneTable { zones: BTreeMap::new(), names: BTreeMap::new(), next_id: 0 };
        for (position, name) in names.zones.iter().enumerate() {
            table.next_id = position as u64;
            table.enter(name);
        }
        table.next_id = names.zones.len() as u64;
        table
    }

    /// Whether the zone with this name is in use.
    pub fn contains(&self, name: &str) -> bool {
        self.zones.contains_key(name)
    }

    /// The name of a zone in use.
    pub fn name(&self, id: ZoneId) -> Option<&str> {
        self.names.get(&id).map(|name| &**name)
    }

    /// Adds a user to the zone with this name; an empty name names no zone.
    pub fn enter(&mut self, name: &str) -> Option<Zone> {
        if name.is_empty() {
            return None;
        }
        if !self.contains(name) {
            let zone = Zone { id: ZoneId(self.next_id), name: Arc::from(name) };
            self.next_id += 1;
            self.names.insert(zone.id, zone.name.clone());
            self.zones.insert(zone.name.clone(), CountedZone { zone, users: 0 });
        }
        let counted = self.zones.get_mut(name)?;
        counted.users += 1;
        Some(counted.zone.clone())
    }

    /// Removes a user from a zone. Returns whether the zone is no longer in use, and thus removed.
    pub fn leave(&mut self, zone: &Zone) -> bool {
        let Some(counted) = self.zones.get_mut(&zone.name) else { return false };
        counted.users = counted.users.saturating_sub(1);
        let is_unused = counted.users == 0;
        if is_unused {
            self.zones.remove(&zone.name);
            self.names.remove(&zone.id);
        }
        is_unused
    }

    /// Memory of all zones, in bytes.
    pub fn bytes(&self) -> usize {
        self.zones.keys().map(|name| Self::cost(name)).sum()
    }

    /// Memory of one zone, in bytes: its name with the two counters of its references, and its entries in two maps whose
    /// nodes may be half empty.
    pub fn cost(name: &str) -> usize {
        let name_bytes = 2 * std::mem::size_of::<usize>() + name.len();
        let entry_bytes =
            std::mem::size_of::<(Arc<str>, CountedZone)>() + std::mem::size_of::<(ZoneId, Arc<str>)>();
        name_bytes + 2 * entry_bytes
    }
}

#[cfg(test)]
mod tests;
