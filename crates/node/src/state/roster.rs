//! The known workers. Combines the list from the command channel with the operators' overrides into the roster that the
//! decision logic receives, and into whether work may be sent to each worker.
mod host;

use super::start_times::{MonotonicReadings, ReportTime, ReportedStart};
use crate::clock::{monotonic_ms, UnixTime};
use crate::core::peer_lines;
use corkbay::{
    position, Location, Ms, Names, RosterEntry, RosterUpdate, WorkerId, WorkerState, ZoneId, ZoneTable,
};
use corkbay_duty::HostOverrides;
use corkbay_ledger::pressure::{decide_at_cap, Decision, FullAccount};
use corkbay_ledger::{Account, Purpose, Reservation};
pub use host::Host;
use std::collections::{HashMap, HashSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::sync::Arc;

/// One entry of the list of workers, with zone and kind by name as on the wire.
#[derive(Clone, Debug)]
pub struct WorkerListing {
    /// Name of the worker; a replacement machine has a new name.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Name of its zone.
    pub zone: String,
    /// Name of its machine kind.
    pub kind: String,
    /// Number of its cell (rack), if the list names one; a negative number is no cell.
    pub cell: Option<i64>,
    /// Whether it accepts work.
    pub state: WorkerState,
    /// Capacity relative to other workers; 1.0 is nominal.
    pub weight: f64,
    /// When it last started, by the sender's wall clock; [`UnixTime::NONE`] for long ago.
    pub since: UnixTime,
    /// When the sender was last in contact without this report, on the monotonic clock in milliseconds; minus infinity if
    /// never.
    pub last_contact_without_report: Ms,
}

/// A known worker, with its last listed state.
struct KnownWorker {
    host: Arc<Host>,
    listed: RosterEntry,
    start: ReportedStart,
}

impl KnownWorker {
    /// The roster entry for the decision logic, with the operators' overrides applied. Also updates the flags of the host.
    fn effective_entry(&self, host_overrides: &HostOverrides) -> RosterEntry {
        let mut entry = self.listed.clone();
        let is_suspended = host_overrides.is_suspended(&entry.name);
        if is_suspended && entry.state == WorkerState::Ready {
            entry.state = WorkerState::Draining;
        }
        // A host is restarted while it is suspended; the list may still report an earlier start.
        entry.started_at = entry.started_at.max(host_overrides.resumed_at(&entry.name).unwrap_or(0.0));
        self.host.suspend(is_suspended);
        self.host.set_blocked(entry.state != WorkerState::Ready);
        entry
    }
}

/// Why an operator's override on a host is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuspensionError {
    /// The host was never listed.
    Unknown,
    /// There is no room to store another name.
    NoRoom,
}

/// Maximum number of gone workers that are kept with their ids; the ones gone longest are dropped.
const MAX_GONE_WORKERS: usize = 64;
/// Maximum number of dropped workers whose names are remembered as listed before.
const MAX_FORGOTTEN_NAMES: usize = 4096;

/// The known workers, by name and by id. Ids are not reused.
pub struct WorkerDirectory {
    zones: ZoneTable,
    kinds: Vec<String>,
    hosts: HashMap<WorkerId, KnownWorker>,
    ids_by_name: HashMap<String, WorkerId>,
    next_id: u32,
    held: Reservation,
    /// Gone workers, the longest gone first.
    gone: VecDeque<WorkerId>,
    /// Hashes of the names of dropped workers.
    forgotten: VecDeque<u64>,
    host_overrides: HostOverrides,
    host_overrides_held: Reservation,
}

impl WorkerDirectory {
    /// An empty directory that resolves names of zones and kinds, and charges its memory to an account.
    pub fn new(names: &Names, account: &Account) -> Self {
        let zones = ZoneTable::new(names);
        WorkerDirectory {
            held: account.reserve_over_cap(zones.bytes()),
            zones,
            kinds: names.kinds.clone(),
            hosts: HashMap::new(),
            ids_by_name: HashMap::new(),
            next_id: 0,
            gone: VecDeque::new(),
            forgotten: VecDeque::new(),
            host_overrides: HostOverrides::default(),
            host_overrides_held: account.empty_reservation(),
        }
    }

    /// Number of workers that will be known after these listings are applied; `whole` if the list is complete.
    pub fn known_after(&self, listings: &[WorkerListing], whole: bool) -> usize {
        if whole {
            return listings.len() + self.gone.len();
        }
        let new_workers = listings.iter().filter(|listing| !self.ids_by_name.contains_key(&listing.name));
        self.hosts.len() + new_workers.count()
    }

    /// The worker with this id.
    pub fn host(&self, id: WorkerId) -> Option<Arc<Host>> {
        self.hosts.get(&id).map(|known| known.host.clone())
    }

    /// The worker with this id, and where it is listed.
    pub fn listed_host(&self, id: WorkerId) -> Option<(Arc<Host>, Location)> {
        self.hosts.get(&id).map(|known| (known.host.clone(), known.listed.location))
    }

    /// The name of the zone of a place, for logs.
    pub fn zone_name(&self, location: Location) -> &str {
        location.zone.and_then(|id| self.zones.name(id)).unwrap_or("unknown")
    }

    /// The operators' overrides on hosts.
    pub fn host_overrides(&self) -> &HostOverrides {
        &self.host_overrides
    }

    /// Checks whether a host can be suspended: it was listed before, and there is room for its name.
    pub fn check_suspend(&mut self, name: &str) -> Result<(), SuspensionError> {
        self.check_resume(name)?;
        let bytes = self.host_overrides.bytes() + HostOverrides::cost(name);
        if !self.host_overrides.is_suspended(name) && self.host_overrides_held.resize(bytes).is_err() {
            return Err(SuspensionError::NoRoom);
        }
        Ok(())
    }

    /// Checks whether a host can be resumed: it was listed before.
    pub fn check_resume(&self, name: &str) -> Result<(), SuspensionError> {
        let known = self.ids_by_name.contains_key(name) || self.host_overrides.is_suspended(name);
        let listed = known || self.forgotten.contains(&hash(name));
        listed.then_some(()).ok_or(SuspensionError::Unknown)
    }

    /// Replaces the operators' overrides on all hosts; returns the roster entries of the hosts whose override has changed.
    pub fn set_host_overrides(&mut self, host_overrides: HostOverrides) -> RosterUpdate {
        let before = std::mem::replace(&mut self.host_overrides, host_overrides);
        self.host_overrides_held.reserve_over_cap(self.host_overrides.bytes());
        let changed = self.hosts.values().filter(|known| {
            let override_of = |host_overrides: &HostOverrides| {
                (host_overrides.is_suspended(&known.host.name), host_overrides.resumed_at(&known.host.name))
            };
            override_of(&before) != override_of(&self.host_overrides)
        });
        let mut entries: Vec<RosterEntry> =
            changed.map(|known| known.effective_entry(&self.host_overrides)).collect();
        entries.sort_unstable_by_key(|entry| entry.worker);
        RosterUpdate::Changes(entries)
    }

    /// Applies listings and returns them as a roster for the decision logic. If the list is complete (`whole`), workers that
    /// it does not contain are marked as gone. `remembered` marks the last list of an earlier process.
    pub fn apply(&mut self, listings: Vec<WorkerListing>, whole: bool, remembered: bool) -> RosterUpdate {
        let (count, mut zones_without_room) = (listings.len(), 0);
        let mut entries = Vec::with_capacity(count);
        for listing in listings {
            let names_zone = !listing.zone.is_empty();
            let Some(entry) = self.entry(listing) else { continue };
            zones_without_room += usize::from(names_zone && entry.location.zone.is_none());
            entries.push(entry);
        }
        if entries.len() < count {
            tracing::warn!(
                left_out = count - entries.len(),
                "there is no room for all workers that are listed"
            );
        }
        if zones_without_room > 0 && peer_lines().take() {
            tracing::warn!(
                workers = zones_without_room,
                "there is no room for the names of all zones: the zones of these workers count as unknown"
            );
        }
        let listed: HashSet<WorkerId> = entries.iter().map(|entry| entry.worker).collect();
        self.gone.retain(|id| !listed.contains(id));
        if whole {
            self.mark_missing_as_gone(&listed);
        }
        let gone = entries.iter().filter(|entry| entry.state == WorkerState::Removed);
        self.gone.extend(gone.map(|entry| entry.worker));
        while self.gone.len() > MAX_GONE_WORKERS {
            self.drop_longest_gone();
        }
        match (whole, remembered) {
            (true, true) => RosterUpdate::Stored(entries),
            (true, false) => RosterUpdate::Complete(entries),
            (false, _) => RosterUpdate::Changes(entries),
        }
    }

    /// Marks the workers that a complete list does not contain as gone.
    fn mark_missing_as_gone(&mut self, listed: &HashSet<WorkerId>) {
        let mut missing = Vec::new();
        for (id, known) in &mut self.hosts {
            if !listed.contains(id) && known.listed.state != WorkerState::Removed {
                known.listed.state = WorkerState::Removed;
                known.host.set_blocked(true);
                missing.push(*id);
            }
        }
        missing.sort_unstable();
        self.gone.extend(missing);
    }

    fn drop_longest_gone(&mut self) {
        let forgotten = self.gone.pop_front().and_then(|id| self.hosts.remove(&id));
        let Some(KnownWorker { host, listed, .. }) = forgotten else { return };
        self.ids_by_name.remove(&host.name);
        self.leave_zone(listed.location.zone);
        if self.forgotten.len() >= MAX_FORGOTTEN_NAMES {
            self.forgotten.pop_front();
        }
        self.forgotten.push_back(hash(&host.name));
        // A hash is charged 16 bytes, as the queue may be half empty; that is less than the host releases.
        let more = if self.forgotten.len() < MAX_FORGOTTEN_NAMES { 16 } else { 0 };
        self.held.shrink_to((self.held.bytes() + more).saturating_sub(worker_bytes(&host.name)));
    }

    /// The zone with this name, for a worker that is now listed there; `None` if the name is empty or there is no room for
    /// it.
    fn enter_zone(&mut self, name: &str) -> Option<ZoneId> {
        let is_new = !name.is_empty() && !self.zones.contains(name);
        if is_new && !self.reserve(ZoneTable::cost(name)) {
            return None;
        }
        self.zones.enter(name)
    }

    /// Releases the zone of a worker that is no longer listed there.
    fn leave_zone(&mut self, zone: Option<ZoneId>) {
        let freed = zone.map_or(0, |zone| self.zones.leave(zone));
        self.held.shrink_to(self.held.bytes().saturating_sub(freed));
    }

    /// Reserves memory for a new worker or zone; drops gone workers to make room.
    fn reserve(&mut self, asked: usize) -> bool {
        loop {
            let Err(full) = self.held.resize(self.held.bytes() + asked) else { return true };
            let idle = self.gone.len() * asked;
            let (purpose, cap) = (Purpose::Roster, full.cap);
            match decide_at_cap(&FullAccount { purpose, asked, cap, idle, frees_in: None, waited: 0.0 }) {
                Decision::Evict { .. } => self.drop_longest_gone(),
                Decision::Wait { .. } | Decision::Refuse { .. } => return false,
            }
        }
    }

    /// The roster entry of a listed worker; `None` if the worker is new and there is no room for it. Updates of known
    /// workers are always applied.
    fn entry(&mut self, listing: WorkerListing) -> Option<RosterEntry> {
        let zone = self.enter_zone(&listing.zone);
        if !self.ids_by_name.contains_key(&listing.name) && !self.reserve(worker_bytes(&listing.name)) {
            self.leave_zone(zone);
            return None;
        }
        let id = *self.ids_by_name.entry(listing.name.clone()).or_insert_with(|| {
            self.next_id += 1;
            WorkerId(self.next_id - 1)
        });
        let report = ReportTime {
            now: monotonic_ms(),
            last_contact_without_report: listing.last_contact_without_report,
        };
        let before = self.hosts.get(&id).map(|known| known.start);
        let start =
            ReportedStart::interpret(listing.since, MonotonicReadings::of(listing.since), report, before);
        let cell = listing.cell.and_then(|cell| u64::try_from(cell).ok());
        let listed = RosterEntry {
            worker: id,
            location: Location { zone, cell },
            kind: position(&self.kinds, &listing.kind),
            name: listing.name,
            state: listing.state,
            weight: listing.weight,
            started_at: start.started,
        };
        let before = self.hosts.remove(&id);
        self.leave_zone(before.as_ref().and_then(|known| known.listed.location.zone));
        let host = match before.map(|known| known.host) {
            Some(host) if host.address == listing.address => host,
            before => {
                // The worker has moved to another address: connections to the old address must not be used for it.
                before.into_iter().for_each(|host| host.set_blocked(true));
                Host::new(id, &listed.name, listing.address)
            }
        };
        let known = self.hosts.entry(id).or_insert(KnownWorker { host, listed, start });
        Some(known.effective_entry(&self.host_overrides))
    }
}

/// Memory that a worker with a name of typical length takes, in bytes.
pub fn usual_cost() -> usize {
    const TYPICAL_NAME: &str = "worker-0123456789abcdef";
    worker_bytes(TYPICAL_NAME)
}

fn hash(name: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    hasher.finish()
}

/// Memory that a worker takes in the directory, in bytes: the host, its names, its entries in two maps that may be half
/// empty, and its entry in the queue of gone workers.
fn worker_bytes(name: &str) -> usize {
    let maps = std::mem::size_of::<(WorkerId, KnownWorker)>() + std::mem::size_of::<(String, WorkerId)>();
    std::mem::size_of::<Host>() + 2 * maps + 3 * name.len() + 5 * 16
}

#[cfg(test)]
mod tests;
