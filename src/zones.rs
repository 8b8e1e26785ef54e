//! Numbers zones by their names, so that decisions compare numbers instead of names.
use crate::interface::ZoneId;
use crate::settings::Names;
use std::collections::BTreeMap;
use std::sync::Arc;

#[derive(Debug)]
struct CountedZone {
    id: ZoneId,
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
        let next_id = names.zones.len() as u64;
        let mut table = ZoneTable { zones: BTreeMap::new(), names: BTreeMap::new(), next_id };
        for (position, name) in names.zones.iter().enumerate() {
            if !name.is_empty() && !table.contains(name) {
                table.insert(name, ZoneId(position as u64));
            }
        }
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
    pub fn enter(&mut self, name: &str) -> Option<ZoneId> {
        if name.is_empty() {
            return None;
        }
        if let Some(known) = self.zones.get_mut(name) {
            known.users += 1;
            return Some(known.id);
        }
        let id = ZoneId(self.next_id);
        self.next_id += 1;
        self.insert(name, id);
        Some(id)
    }

    /// Adds a zone with one user.
    fn insert(&mut self, name: &str, id: ZoneId) {
        let name: Arc<str> = Arc::from(name);
        self.names.insert(id, name.clone());
        self.zones.insert(name, CountedZone { id, users: 1 });
    }

    /// Removes a user from a zone. Returns the memory that this frees, in bytes: a zone that is no longer in use is removed.
    pub fn leave(&mut self, id: ZoneId) -> usize {
        let Some(name) = self.names.get(&id).cloned() else { return 0 };
        let Some(zone) = self.zones.get_mut(&name) else { return 0 };
        zone.users -= 1;
        if zone.users > 0 {
            return 0;
        }
        self.zones.remove(&name);
        self.names.remove(&id);
        Self::cost(&name)
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
