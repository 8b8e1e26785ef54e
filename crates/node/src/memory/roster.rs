//! The workers as the command channel names them and as the operators hold them out, folded into what the decisions
//! hear and what may still be sent there.
use super::starts::{HeardAt, Readings, ToldStart};
use crate::clock::{monotonic_ms, UnixTime};
use corkbay::{position, Ms, Names, Roster, RosterEntry, Standing, WorkerId};
use corkbay_duty::Bans;
use corkbay_ledger::pressure::{decide, Case, Decision};
use corkbay_ledger::{Account, Purpose, Reservation};
use std::collections::{HashMap, HashSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
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
    /// When it last started, by its sender's clock; none for long ago.
    pub since: UnixTime,
    /// When the sender was last heard without this word, on the monotonic clock; minus infinity where it was not.
    pub heard_without: Ms,
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
    suspended: AtomicBool,
}

impl Host {
    /// A host that takes work.
    pub fn new(id: WorkerId, name: &str, address: SocketAddr) -> Arc<Self> {
        let (barred, suspended) = (AtomicBool::new(false), AtomicBool::new(false));
        Arc::new(Host { id, name: name.to_string(), address, barred, suspended })
    }

    /// Whether it drains, is gone or is suspended: no new work may be written to it.
    pub fn barred(&self) -> bool {
        self.barred.load(Ordering::Acquire)
    }

    /// Says whether it takes work.
    pub fn bar(&self, barred: bool) {
        self.barred.store(barred, Ordering::Release);
    }

    /// Says whether the operators hold it out.
    pub fn suspend(&self, out: bool) {
        self.suspended.store(out, Ordering::Release);
    }

    /// Whether the operators hold it out: nothing at all may begin there, no question either.
    pub fn suspended(&self) -> bool {
        self.suspended.load(Ordering::Acquire)
    }
}

/// A worker that is known by its number, and the directory's last word on it.
struct Known {
    host: Arc<Host>,
    listed: RosterEntry,
    start: ToldStart,
}

impl Known {
    /// What the decisions are to hear of it; what may be sent to it follows at once.
    fn fold(&self, bans: &Bans) -> RosterEntry {
        let mut entry = self.listed.clone();
        let out = bans.is_out(&entry.name);
        if out && entry.standing == Standing::Ready {
            entry.standing = Standing::Draining;
        }
        // Whoever was held out was restarted meanwhile; the directory may know only of an earlier start.
        entry.born = entry.born.max(bans.back_at(&entry.name).unwrap_or(0.0));
        self.host.suspend(out);
        self.host.bar(entry.standing != Standing::Ready);
        entry
    }
}

/// Why the operators' overrides on a host is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BanError {
    /// No list ever named it.
    Unknown,
    /// There is no room for one more name.
    NoRoom,
}

/// Workers that have gone and are still known by their number; older ones are forgotten.
const GONE: usize = 64;
/// Names of workers that were forgotten of which it is still known that they were listed once.
const FORGOTTEN: usize = 4096;

/// The workers heard of, by name and by number. Numbers are not used again.
pub struct Directory {
    zones: Vec<String>,
    kinds: Vec<String>,
    hosts: HashMap<WorkerId, Known>,
    numbers: HashMap<String, WorkerId>,
    next: u32,
    held: Reservation,
    /// Those that have gone, the longest gone first.
    gone: VecDeque<WorkerId>,
    /// Hashes of the names of those that were forgotten.
    forgotten: VecDeque<u64>,
    bans: Bans,
    bans_held: Reservation,
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
            forgotten: VecDeque::new(),
            bans: Bans::default(),
            bans_held: account.nothing(),
        }
    }

    /// Workers that will be known once this news is taken in.
    pub fn known_after(&self, listings: &[Listing], whole: bool) -> usize {
        if whole {
            return listings.len() + self.gone.len();
        }
        let fresh = listings.iter().filter(|listing| !self.numbers.contains_key(&listing.name));
        self.hosts.len() + fresh.count()
    }

    /// The worker of that number.
    pub fn host(&self, id: WorkerId) -> Option<Arc<Host>> {
        self.hosts.get(&id).map(|known| known.host.clone())
    }

    /// The operators' overrides on hosts.
    pub fn bans(&self) -> &Bans {
        &self.bans
    }

    /// Whether a host can be held out: some list named it, and there is room for its name.
    pub fn may_suspend(&mut self, name: &str) -> Result<(), BanError> {
        self.may_resume(name)?;
        let bytes = self.bans.bytes() + Bans::cost(name);
        if !self.bans.is_out(name) && self.bans_held.resize(bytes).is_err() {
            return Err(BanError::NoRoom);
        }
        Ok(())
    }

    /// Whether a host can be let back: some list named it.
    pub fn may_resume(&self, name: &str) -> Result<(), BanError> {
        let known = self.numbers.contains_key(name) || self.bans.is_out(name);
        let listed = known || self.forgotten.contains(&hash(name));
        listed.then_some(()).ok_or(BanError::Unknown)
    }

    /// Takes over the operators' overrides on all hosts; what the decisions are to hear of those for which it has changed.
    pub fn adopt(&mut self, bans: Bans) -> Roster {
        let before = std::mem::replace(&mut self.bans, bans);
        self.bans_held.owe(self.bans.bytes());
        let changed = self.hosts.values().filter(|known| {
            let stand = |bans: &Bans| (bans.is_out(&known.host.name), bans.back_at(&known.host.name));
            stand(&before) != stand(&self.bans)
        });
        let mut entries: Vec<RosterEntry> = changed.map(|known| known.fold(&self.bans)).collect();
        entries.sort_unstable_by_key(|entry| entry.worker);
        Roster::Changes(entries)
    }

    /// Takes in news and puts it in the decisions' words. Whom a whole list leaves out has gone.
    pub fn apply(&mut self, listings: Vec<Listing>, whole: bool, remembered: bool) -> Roster {
        let count = listings.len();
        let entries: Vec<RosterEntry> =
            listings.into_iter().filter_map(|listing| self.entry(listing)).collect();
        if entries.len() < count {
            tracing::warn!(
                left_out = count - entries.len(),
                "there is no room for all workers that are listed"
            );
        }
        let listed: HashSet<WorkerId> = entries.iter().map(|entry| entry.worker).collect();
        self.gone.retain(|id| !listed.contains(id));
        if whole {
            self.leave_out(&listed);
        }
        let gone = entries.iter().filter(|entry| entry.standing == Standing::Gone);
        self.gone.extend(gone.map(|entry| entry.worker));
        while self.gone.len() > GONE {
            self.forget_longest_gone();
        }
        match (whole, remembered) {
            (true, true) => Roster::Remembered(entries),
            (true, false) => Roster::Whole(entries),
            (false, _) => Roster::Changes(entries),
        }
    }

    /// Whom a whole list does not name has gone.
    fn leave_out(&mut self, listed: &HashSet<WorkerId>) {
        let mut missing = Vec::new();
        for (id, known) in &mut self.hosts {
            if !listed.contains(id) && known.listed.standing != Standing::Gone {
                known.listed.standing = Standing::Gone;
                known.host.bar(true);
                missing.push(*id);
            }
        }
        missing.sort_unstable();
        self.gone.extend(missing);
    }

    fn forget_longest_gone(&mut self) {
        let forgotten = self.gone.pop_front().and_then(|id| self.hosts.remove(&id));
        let Some(Known { host, .. }) = forgotten else { return };
        self.numbers.remove(&host.name);
        if self.forgotten.len() >= FORGOTTEN {
            self.forgotten.pop_front();
        }
        self.forgotten.push_back(hash(&host.name));
        // A hash takes 16 bytes, as the queue may be half empty; it is less than what the host gives back.
        let more = if self.forgotten.len() < FORGOTTEN { 16 } else { 0 };
        self.held.shrink_to((self.held.bytes() + more).saturating_sub(cost(&host.name)));
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
        let heard = HeardAt { now: monotonic_ms(), heard_without: listing.heard_without };
        let before = self.hosts.get(&number).map(|known| known.start);
        let start = ToldStart::understand(listing.since, Readings::of(listing.since), heard, before);
        let listed = RosterEntry {
            worker: number,
            zone: position(&self.zones, &listing.zone).unwrap_or(usize::MAX),
            kind: position(&self.kinds, &listing.kind).unwrap_or(usize::MAX),
            name: listing.name,
            cell: listing.cell,
            standing: listing.standing,
            weight: listing.weight,
            born: start.started,
        };
        let host = match self.hosts.remove(&number).map(|known| known.host) {
            Some(host) if host.address == listing.address => host,
            before => {
                // The same worker at another address: connections to the old one are not its own.
                before.into_iter().for_each(|host| host.bar(true));
                Host::new(number, &listed.name, listing.address)
            }
        };
        let known = self.hosts.entry(number).or_insert(Known { host, listed, start });
        Some(known.fold(&self.bans))
    }
}

/// What a worker takes whose name is as long as usual, in bytes.
pub fn usual_cost() -> usize {
    const USUAL_NAME: &str = "worker-0123456789abcdef";
    cost(USUAL_NAME)
}

fn hash(name: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    hasher.finish()
}

/// What a worker takes in the directory: itself, its names there and in two maps that are at times half
/// empty, and its line among those that have gone.
fn cost(name: &str) -> usize {
    let maps = std::mem::size_of::<(WorkerId, Known)>() + std::mem::size_of::<(String, WorkerId)>();
    std::mem::size_of::<Host>() + 2 * maps + 3 * name.len() + 5 * 16
}

#[cfg(test)]
mod tests;
