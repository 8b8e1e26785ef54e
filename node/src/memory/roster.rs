//! The workers as the command channel names them, with what may still be sent there.
use corkbay::{position, Ms, Names, Roster, RosterEntry, Standing, WorkerId};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// One line of the list, names as they stand on the wire.
#[derive(Clone, Debug)]
pub struct Listing {
    /// The worker's name; a machine that replaces it has a new one.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Its machine kind.
    pub kind: String,
    /// Its rack.
    pub cell: i64,
    /// Whether it takes work.
    pub standing: Standing,
    /// Size in relation to the others.
    pub weight: f64,
    /// When it last started; 0 for long ago.
    pub born: Ms,
}

/// One worker. A new name at an old address is another worker, with connections of its own.
#[derive(Debug)]
pub struct Host {
    /// Its number.
    pub id: WorkerId,
    /// Its name.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    barred: AtomicBool,
}

impl Host {
    /// A host that takes work.
    pub fn new(id: WorkerId, name: &str, address: SocketAddr) -> Arc<Self> {
        Arc::new(Host { id, name: name.to_string(), address, barred: AtomicBool::new(false) })
    }

    /// Whether it was told to drain or be gone: nothing new may be written to it.
    pub fn barred(&self) -> bool {
        self.barred.load(Ordering::Acquire)
    }

    /// Says whether it takes work.
    pub fn bar(&self, barred: bool) {
        self.barred.store(barred, Ordering::Release);
    }
}

/// All workers heard of, by name and by number.
pub struct Directory {
    zones: Vec<String>,
    kinds: Vec<String>,
    hosts: Vec<Arc<Host>>,
    numbers: HashMap<String, usize>,
}

impl Directory {
    /// An empty directory that knows the names of zones and kinds.
    pub fn new(names: &Names) -> Self {
        Directory {
            zones: names.zones.clone(),
            kinds: names.kinds.clone(),
            hosts: Vec::new(),
            numbers: HashMap::new(),
        }
    }

    /// The worker of that number.
    pub fn host(&self, id: WorkerId) -> Option<Arc<Host>> {
        self.hosts.get(id.0 as usize).cloned()
    }

    /// Takes in news and puts it in the decisions' words. Whom a whole list leaves out has gone.
    pub fn apply(&mut self, listings: Vec<Listing>, whole: bool, remembered: bool) -> Roster {
        if whole {
            self.hosts.iter().for_each(|host| host.bar(true));
        }
        let entries = listings.into_iter().map(|listing| self.entry(listing)).collect();
        match (whole, remembered) {
            (true, true) => Roster::Remembered(entries),
            (true, false) => Roster::Whole(entries),
            (false, _) => Roster::Changes(entries),
        }
    }

    fn entry(&mut self, listing: Listing) -> RosterEntry {
        let number = match self.numbers.get(&listing.name) {
            Some(&number) => {
                // The same worker at another address: connections to the old one are not its own.
                if self.hosts[number].address != listing.address {
                    self.hosts[number].bar(true);
                    self.hosts[number] = Host::new(WorkerId(number as u32), &listing.name, listing.address);
                }
                number
            }
            None => {
                let number = self.hosts.len();
                self.hosts.push(Host::new(WorkerId(number as u32), &listing.name, listing.address));
                self.numbers.insert(listing.name.clone(), number);
                number
            }
        };
        self.hosts[number].bar(listing.standing != Standing::Ready);
        RosterEntry {
            worker: WorkerId(number as u32),
            zone: position(&self.zones, &listing.zone).unwrap_or(usize::MAX),
            kind: position(&self.kinds, &listing.kind).unwrap_or(usize::MAX),
            name: listing.name,
            cell: listing.cell,
            standing: listing.standing,
            weight: listing.weight,
            born: listing.born,
        }
    }
}
