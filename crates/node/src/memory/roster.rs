//! The workers as the command channel names them, with what may still be sent there.
use corkbay::{position, Ms, Names, Roster, RosterEntry, Standing, WorkerId};
use corkbay_ledger::pressure::{decide, Case, Decision};
use corkbay_ledger::{Account, Purpose, Reservation};
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
    held: Reservation,
    /// Those that have gone, the longest gone first.
    gone: VecDeque<WorkerId>,
}

impl Directory {
    /// An empty directory that knows the names of zones and kinds, and counts what it holds on an account.
    pub fn new(names: &Names, account: &Account) -> Self {
        Directory {
            zones: names.zones.clone(),
            kinds: names.kinds.clone(),
            hosts: HashMap::new(),
            numbers: HashMap::new(),
            next: 0,
            held: account.nothing(),
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
        let count = listings.len();
        let entries: Vec<RosterEntry> =
            listings.into_iter().filter_map(|listing| self.entry(listing)).collect();
        if entries.len() < count {
            tracing::warn!(
                left_out = count - entries.len(),
                "there is no room for all workers that are listed"
            );
        }
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
            self.forget_longest_gone();
        }
        match (whole, remembered) {
            (true, true) => Roster::Remembered(entries),
            (true, false) => Roster::Whole(entries),
            (false, _) => Roster::Changes(entries),
        }
    }

    fn forget_longest_gone(&mut self) {
        let forgotten = self.gone.pop_front().and_then(|id| self.hosts.remove(&id));
        if let Some(host) = forgotten {
            self.numbers.remove(&host.name);
            self.held.shrink_to(self.held.bytes().saturating_sub(cost(&host.name)));
        }
    }

    /// Room for a worker that was not known; those that have gone give way.
    fn make_place(&mut self, name: &str) -> bool {
        let asked = cost(name);
        loop {
            let Err(full) = self.held.resize(self.held.bytes() + asked) else { return true };
            let idle = self.gone.len() * asked;
            let (purpose, cap) = (Purpose::Roster, full.cap);
            match decide(&Case { purpose, asked, cap, idle, frees_in: None, waited: 0.0 }) {
                Decision::Evict { .. } => self.forget_longest_gone(),
                Decision::Wait { .. } | Decision::Refuse { .. } => return false,
            }
        }
    }

    /// What is told of one worker; `None` where there is no room for it. News of one that is known always
    /// counts.
    fn entry(&mut self, listing: Listing) -> Option<RosterEntry> {
        if !self.numbers.contains_key(&listing.name) && !self.make_place(&listing.name) {
            return None;
        }
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
        Some(RosterEntry {
            worker: number,
            zone: position(&self.zones, &listing.zone).unwrap_or(usize::MAX),
            kind: position(&self.kinds, &listing.kind).unwrap_or(usize::MAX),
            name: listing.name,
            cell: listing.cell,
            standing: listing.standing,
            weight: listing.weight,
            born: listing.born,
        })
    }
}

/// What a worker takes in the directory: itself, its names there and in two maps that are at times half
/// empty, and its line among those that have gone.
fn cost(name: &str) -> usize {
    let maps = std::mem::size_of::<(WorkerId, Arc<Host>)>() + std::mem::size_of::<(String, WorkerId)>();
    std::mem::size_of::<Host>() + 2 * maps + 2 * name.len() + 5 * 16
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
        let account = Account::root("roster", 1 << 20);
        let mut directory = Directory::new(&Names::default(), &account);
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
        assert!(account.peak() < 2 * (GONE + 6) * cost("w1000"), "{}", account.peak());
        drop(directory);
        assert_eq!(account.used(), 0);
    }

    /// Guards memory against a list that grows without end, and the rule on drains meanwhile: those that have
    /// gone give way, a newcomer without room is left out, and whoever is known is heard of.
    #[test]
    fn a_list_that_outgrows_its_room_loses_newcomers_and_no_news() {
        let account = Account::root("roster", 10 * cost("w11"));
        let mut directory = Directory::new(&Names::default(), &account);
        let mut told =
            |name: usize, standing| match directory.apply(vec![listing(name, standing)], false, false) {
                Roster::Changes(entries) => entries.first().map(|entry| (entry.worker.0, entry.standing)),
                other => panic!("{other:?}"),
            };
        for name in 0..10 {
            assert_eq!(told(name, Standing::Ready), Some((name as u32, Standing::Ready)));
        }
        assert_eq!(told(10, Standing::Ready), None);
        assert_eq!(told(3, Standing::Draining), Some((3, Standing::Draining)), "heard of, full or not");
        assert_eq!(told(4, Standing::Gone), Some((4, Standing::Gone)));
        assert_eq!(
            told(11, Standing::Ready),
            Some((10, Standing::Ready)),
            "in the place of the one that went"
        );
        assert!(account.used() <= account.cap());
    }
}
