//! The workers as the command channel names them, with what may still be sent there.
use corkbay::{position, Ms, Names, Roster, RosterEntry, Standing, WorkerId};
use std::collections::{HashMap, VecDeque};
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

/// Workers that have gone and are still known by their number; older ones are forgotten.
const GONE: usize = 64;

/// The workers heard of, by name and by number. Numbers are not used again.
pub struct Directory {
    zones: Vec<String>,
    kinds: Vec<String>,
    hosts: HashMap<WorkerId, Arc<Host>>,
    numbers: HashMap<String, WorkerId>,
    next: u32,
    /// Those that have gone, the longest gone first.
    gone: VecDeque<WorkerId>,
}

impl Directory {
    /// An empty directory that knows the names of zones and kinds.
    pub fn new(names: &Names) -> Self {
        Directory {
            zones: names.zones.clone(),
            kinds: names.kinds.clone(),
            hosts: HashMap::new(),
            numbers: HashMap::new(),
            next: 0,
            gone: VecDeque::new(),
        }
    }

    /// The worker of that number.
    pub fn host(&self, id: WorkerId) -> Option<Arc<Host>> {
        self.hosts.get(&id).cloned()
    }

    /// Takes in news and puts it in the decisions' words. Whom a whole list leaves out has gone.
    pub fn apply(&mut self, listings: Vec<Listing>, whole: bool, remembered: bool) -> Roster {
        if whole {
            self.hosts.values().for_each(|host| host.bar(true));
        }
        let entries: Vec<RosterEntry> = listings.into_iter().map(|listing| self.entry(listing)).collect();
        let standing = |standing: Standing| {
            entries.iter().filter(move |entry| entry.standing == standing).map(|entry| entry.worker)
        };
        if whole {
            let listed: Vec<WorkerId> = entries.iter().map(|entry| entry.worker).collect();
            let mut missing: Vec<_> = self.hosts.keys().filter(|id| !listed.contains(id)).copied().collect();
            missing.sort_unstable();
            self.gone.retain(|id| !missing.contains(id));
            self.gone.extend(missing);
        }
        self.gone.retain(|id| !entries.iter().any(|entry| entry.worker == *id));
        self.gone.extend(standing(Standing::Gone));
        while self.gone.len() > GONE {
            let forgotten = self.gone.pop_front().and_then(|id| self.hosts.remove(&id));
            forgotten.into_iter().for_each(|host| _ = self.numbers.remove(&host.name));
        }
        match (whole, remembered) {
            (true, true) => Roster::Remembered(entries),
            (true, false) => Roster::Whole(entries),
            (false, _) => Roster::Changes(entries),
        }
    }

    fn entry(&mut self, listing: Listing) -> RosterEntry {
        let number = *self.numbers.entry(listing.name.clone()).or_insert_with(|| {
            self.next += 1;
            WorkerId(self.next - 1)
        });
        let host = self.hosts.entry(number);
        let host = host.or_insert_with(|| Host::new(number, &listing.name, listing.address));
        // The same worker at another address: connections to the old one are not its own.
        if host.address != listing.address {
            host.bar(true);
            *host = Host::new(number, &listing.name, listing.address);
        }
        host.bar(listing.standing != Standing::Ready);
        RosterEntry {
            worker: number,
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

#[cfg(test)]
mod tests {
    use super::*;

    fn listing(name: usize, standing: Standing) -> Listing {
        let (zone, kind) = (String::new(), String::new());
        let address = "127.0.0.1:1".parse().expect("address");
        Listing { name: format!("w{name}"), address, zone, kind, cell: 0, standing, weight: 1.0, born: 0.0 }
    }

    /// Guards memory on days on which hosts are replaced by new ones all the time.
    #[test]
    fn hosts_that_have_gone_are_forgotten_and_their_numbers_stay_their_own() {
        let mut directory = Directory::new(&Names::default());
        directory.apply((0..4).map(|name| listing(name, Standing::Ready)).collect(), true, true);
        for name in 4..1000 {
            directory.apply(vec![listing(name, Standing::Ready)], false, false);
            directory.apply(vec![listing(name - 2, Standing::Gone)], false, false);
        }
        assert_eq!((directory.hosts.len(), directory.numbers.len()), (GONE + 4, GONE + 4));
        assert!(directory.host(WorkerId(2)).is_none());
        assert!(directory.host(WorkerId(1)).is_some_and(|host| !host.barred()), "it never went");
        assert!(directory.host(WorkerId(997)).is_some_and(|host| host.barred()), "told lately");
        let Roster::Changes(back) = directory.apply(vec![listing(2, Standing::Ready)], false, false) else {
            panic!("changes")
        };
        assert_eq!(back[0].worker, WorkerId(1000));
        directory.apply(vec![listing(1, Standing::Ready)], true, false);
        assert_eq!(directory.hosts.len(), GONE + 1, "whom a whole list leaves out has gone");
    }
}
