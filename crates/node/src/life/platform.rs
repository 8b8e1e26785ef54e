//! The daemon on the platform: start, service, drain.
use super::accounts::{self, FleetSize};
use super::config::{ConfigError, Platform, Source};
use super::handover::{self, OverridesHandle, SharedFiles};
use super::spawn;
use crate::core::{monotonic_ms, Invoker};
use crate::timers;
use crate::wire::accept::{Acceptor, ConnectionLimits};
use crate::wire::channel::{self, Line};
use crate::wire::frames::MAX_BODY;
use crate::wire::passage::{self, Passage};
use crate::wire::workers::{FrameWorkers, Limits as WorkerLimits};
use crate::wire::{front, operators};
use corkbay_duty::{Leave, Terms};
use corkbay_ledger::{Budget, Ledger, Purpose};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1};
use signal_hook::iterator::Signals;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

/// Words of a coroutine's stack: 128 KiB of address space, of which only what is touched is memory.
const STACK_WORDS: usize = 0x4000;
/// Most stacks that are kept for coming tasks. They are used in turn, so that what one of them touches all of them come to hold.
const IDLE_STACKS: usize = 64;
/// After SIGTERM connections go on coming for up to 0.4 s and requests on open ones for 0.2 s more; what comes
/// later than this is lost if it has no answer when SIGKILL comes, so it is refused.
pub const STILL_TAKING: Duration = Duration::from_millis(700);
/// With a successor, what comes on connections that are owed something is taken for so long.
const SUCCEEDED_TAKES: Duration = Duration::from_millis(1000);
/// Room is made for one worker in so many more than are known.
const SPARE_PART: usize = 8;
/// How often an end is looked at.
const END_LOOK: Duration = Duration::from_millis(10);
/// Longest wait of a successor for the command channel: it is due to serve within 6 s, news or none.
const CHANNEL_WAIT: Duration = Duration::from_secs(3);
/// By then the other process has looked at the seat of this one twice.
const SEEN_BY_OTHER: Duration = Duration::from_millis(4 * handover::SYNC_INTERVAL.as_millis() as u64);
const NEWS_LOOK: Duration = Duration::from_millis(10);
const NEWS_REST: Duration = Duration::from_millis(100);
/// How often connections are looked at that are drained.
const DRAIN_LOOK: Duration = Duration::from_millis(20);
/// SIGKILL comes no sooner than the longest deadline after that, which counts as this at most.
const LONGEST_COUNTED: Duration = Duration::from_secs(3);
/// Longest wait for connections on which nothing is owed to end with their process.
const WIND_UP: Duration = Duration::from_millis(500);
/// What is still owed so long before SIGKILL is ended.
const LAST_ANSWERS: Duration = Duration::from_millis(250);
/// Descriptors for all but clients and workers: the program's own, the command channel's, the operators', and those of
/// connections that pass to another process.
const RESERVE: usize = 40;
/// Those of the operators' address, of the reserve: its listener and its callers.
const _: () = assert!(operators::SEATS + 1 < RESERVE / 2);

/// Most connections of clients and to workers, one descriptor each. Usual clients hold a third of the limit
/// at most; what they get beyond that is for those that connect and say nothing.
pub fn connections(sockets: usize) -> (usize, usize) {
    let left = sockets.saturating_sub(RESERVE);
    let clients = (left / 2).max(1);
    (clients, (left - clients.min(left)).max(1))
}

/// Sets the coroutine library up; before the first coroutine.
pub fn set_up_coroutines() {
    // One core: more workers would only contend. Pinned, all invokers of a machine would share core 0.
    let config = may::config();
    config.set_workers(1).set_worker_pin(false);
    config.set_stack_size(STACK_WORDS).set_pool_capacity(IDLE_STACKS);
}

/// What the invoker may take in all, and the part of it that is this process's while another lives beside it.
struct Limits {
    memory_mb: AtomicU64,
    sockets: usize,
    base: usize,
    parts: AtomicUsize,
    /// Workers that the accounts have room for.
    fleet_workers: AtomicUsize,
    classes: usize,
    ledger: Arc<Ledger>,
    workers: Arc<FrameWorkers>,
    acceptor: OnceLock<Arc<Acceptor>>,
}

impl Limits {
    /// Adopts the limits as they are now.
    fn adopt(&self) -> Result<(), ConfigError> {
        let (memory, parts) = (self.memory_mb.load(Ordering::Relaxed), self.parts.load(Ordering::Relaxed));
        self.ledger.adopt(&budget(memory, self.base, parts, self.fleet())?);
        let (clients, to_workers) = connections(self.sockets / parts);
        self.workers.set_most(to_workers);
        self.acceptor.get().into_iter().for_each(|acceptor| acceptor.set_most(clients));
        Ok(())
    }

    fn fleet(&self) -> FleetSize {
        FleetSize { workers: self.fleet_workers.load(Ordering::Relaxed), classes: self.classes }
    }

    /// Makes room for so many workers, at the expense of what else is held.
    fn make_room_for(&self, workers: usize) {
        if self.fleet_workers.load(Ordering::Relaxed) >= workers {
            return;
        }
        // Some more, so that a list that grows one by one is not planned for each time.
        self.fleet_workers.store(workers + workers / SPARE_PART, Ordering::Relaxed);
        if let Err(error) = self.adopt() {
            tracing::error!(%error, workers, "no room can be made for workers");
        }
    }

    fn share(&self, parts: usize) {
        self.parts.store(parts, Ordering::Relaxed);
        if let Err(error) = self.adopt() {
            tracing::error!(%error, parts, "limits can't be shared");
        }
    }
}

/// The caps of one of so many processes. Where a part is less than any process needs, the whole is kept: it is for some
/// seconds, and what is held counts as it is held.
fn budget(memory_mb: u64, base: usize, parts: usize, fleet: FleetSize) -> Result<Budget, ConfigError> {
    accounts::platform_budget(memory_mb, base, parts, fleet).or_else(|error| {
        tracing::warn!(%error, parts, "too little memory to be shared");
        accounts::platform_budget(memory_mb, base, 1, fleet)
    })
}

/// Takes a seat beside a process of the same invoker, where operators are heard and there is a folder for both.
fn join(config: &Platform, source: &Source) -> Option<SharedFiles> {
    let (_, shared) = (config.admin?, source.shared.as_ref()?);
    // More than one invoker may be given the same folder.
    let folder = shared.join(format!("corkbay-{}", config.listen.to_string().replace(':', "-")));
    SharedFiles::join(&folder)
        .inspect_err(
            |error| tracing::error!(%error, ?folder, "handover: nothing is shared with another process"),
        )
        .ok()
}

/// Serves until a signal ends it and nothing is owed; true if all was answered.
pub fn run(config: Platform, source: &Source) -> Result<bool, ConfigError> {
    let mut signals = signals()?;
    let base = accounts::measured_base();
    let files = join(&config, source);
    let slot = files.as_ref().map(SharedFiles::slot);
    let parts = files.as_ref().map_or(1, SharedFiles::parts);
    let classes = config.settings["classes"].as_array().map_or(1, Vec::len);
    let fleet = FleetSize { workers: 0, classes };
    let caps = budget(config.memory_mb, base, parts, fleet)?;
    let ledger = Arc::new(Ledger::new(&caps, &accounts::tenants(&config.settings)));
    let (clients, to_workers) = connections(config.sockets / parts);
    let to_workers = limits(&config.settings, to_workers, MAX_BODY);
    let workers = Arc::new(FrameWorkers::new(to_workers, ledger.account(Purpose::Workers).clone()));
    let invoker = Invoker::new(&config.settings, config.seed, workers.clone(), ledger.clone());
    accounts::watch(&invoker);
    invoker.watch_for_stalls();
    let limits = Arc::new(Limits {
        memory_mb: AtomicU64::new(config.memory_mb),
        sockets: config.sockets,
        base,
        parts: AtomicUsize::new(parts),
        fleet_workers: AtomicUsize::new(0),
        classes,
        ledger: ledger.clone(),
        workers,
        acceptor: OnceLock::new(),
    });
    let planned = limits.clone();
    invoker.on_workers(move |workers| planned.make_room_for(workers));
    for news in config.known {
        news.remember(&invoker);
    }
    let overrides = match files {
        Some(files) => {
            let limits = limits.clone();
            let overrides = OverridesHandle::beside(&invoker, files, move |parts| limits.share(parts));
            overrides.map_err(|error| ConfigError::new("TMPDIR", error))?
        }
        None => OverridesHandle::alone(&invoker),
    };
    if let Some(admin) = config.admin {
        let account = ledger.account(Purpose::Operators).clone();
        let client_limits =
            ConnectionLimits { most: operators::SEATS, stall: operators::WRITE_STALL, account };
        let acceptor =
            Acceptor::open(admin, client_limits).map_err(|error| ConfigError::new("admin", error))?;
        let (ours, overrides) = (invoker.clone(), overrides.clone());
        spawn(move || acceptor.accept(move |connection| operators::serve(&ours, &overrides, &connection)));
    }
    let (ours, line, cursor) = (invoker.clone(), Line::new(config.channel), config.cursor);
    let reload = {
        let (line, listen, settings) = (line.clone(), config.listen, config.settings.clone());
        let (admin, limits) = (config.admin, limits.clone());
        move || {
            let next = source.read()?;
            accounts::platform_budget(next.memory_mb, base, 1, limits.fleet())?;
            limits.memory_mb.store(next.memory_mb, Ordering::Relaxed);
            limits.adopt()?;
            line.move_to(next.channel);
            let kept = [
                ("listen", next.listen == listen),
                ("admin", next.admin == admin),
                ("settings", next.settings == settings),
            ];
            for (key, kept) in kept {
                if !kept {
                    tracing::warn!(key, "reload: a key has changed and holds from the next start on");
                }
            }
            Ok(())
        }
    };
    let heard = line.clone();
    spawn(move || channel::follow(&ours, &line, cursor));
    wait_for_news(&overrides, &heard);
    let account = ledger.account(Purpose::Clients).clone();
    let client_limits = ConnectionLimits { most: clients, stall: front::WRITE_STALL, account };
    let acceptor =
        Acceptor::open(config.listen, client_limits).map_err(|error| ConfigError::new("listen", error))?;
    // Whoever lived beside this process may have gone since.
    if limits.acceptor.set(acceptor.clone()).is_ok() {
        limits.share(overrides.succession().parts());
    }
    let passage = Arc::<Passage>::default();
    let (ours, theirs, onward) = (invoker.clone(), acceptor.clone(), passage.clone());
    spawn(move || theirs.accept(move |connection| front::serve(&ours, &onward, connection)));
    let (ours, theirs) = (invoker.clone(), acceptor.clone());
    spawn(move || drain(&ours, &theirs));
    if let Some(slot) = &slot {
        let (ours, theirs, onward) = (invoker.clone(), acceptor.clone(), passage.clone());
        let arrive = move |stream, owed: &[i32]| {
            theirs.take_over(stream).map(|connection| front::resume(&ours, &onward, connection, owed))
        };
        if let Err(error) = passage::listen(&slot.folder, slot.number, arrive) {
            tracing::warn!(%error, "handover: no connections can be taken over");
        }
    }
    overrides.announce_ready();
    if overrides.succession().other().is_some() {
        // Whoever is told yes may end the other process at once, which has to know by then.
        std::thread::sleep(SEEN_BY_OTHER);
    }
    invoker.serving();
    let longest = longest_deadline(&config.settings).min(LONGEST_COUNTED);
    let end = End {
        terms: || {
            let succession = overrides.succession();
            if succession.is_succeeded() {
                // What stands in the queue is taken; whoever comes later comes to the successor.
                acceptor.close();
                let opened = slot.as_ref().map(|slot| passage.open(&slot.folder, slot.other_number()));
                if let Some(Err(error)) = opened {
                    tracing::warn!(%error, "handover: no connections can be passed on");
                }
            }
            succession.ending(ENDING, SUCCEEDED_TAKES.as_millis() as f64)
        },
        is_over: || overrides.succession().is_succeeded() && acceptor.held() == 0,
        acceptor: &acceptor,
        within: STILL_TAKING + longest.saturating_sub(LAST_ANSWERS),
    };
    let settled = serve_until_signalled(&invoker, &mut signals, reload, end);
    passage.finish();
    Ok(settled)
}

/// Waits until a process beside another knows what that one knows: the operators' overrides, and what the command channel
/// has to tell. Alone there is nobody who could serve meanwhile.
fn wait_for_news(overrides: &OverridesHandle, channel: &Line) {
    let start = Instant::now();
    let accompanied = || overrides.succession().other().is_some();
    let deaf = || !channel.is_heard() && start.elapsed() < CHANNEL_WAIT;
    while accompanied() && (!overrides.has_overrides() || deaf()) {
        std::thread::sleep(NEWS_LOOK);
    }
    // What stood in the channel comes at once, event by event.
    if accompanied() {
        std::thread::sleep(NEWS_REST);
    }
}

/// Lets the connections of clients go whenever they are left, for as long as the process lives.
fn drain(invoker: &Invoker, acceptor: &Acceptor) {
    loop {
        invoker.wait_for_leave();
        if invoker.duty().lets_go(monotonic_ms()) {
            acceptor.drain();
        }
        timers::sleep(DRAIN_LOOK);
    }
}

/// The signals that are heeded; those that come from here on are not lost.
pub fn signals() -> Result<Signals, ConfigError> {
    Signals::new([SIGTERM, SIGINT, SIGHUP, SIGUSR1]).map_err(|error| ConfigError::new("signals", error))
}

/// How a process ends.
pub struct End<'a, T, O> {
    /// Begins the end: on what terms the clients are left.
    pub terms: T,
    /// Whether no client can come any more, so that the end need not be waited for once nothing is owed.
    pub is_over: O,
    /// Where clients come; it ends last.
    pub acceptor: &'a Acceptor,
    /// From its beginning until what is still owed is ended.
    pub within: Duration,
}

/// Waits for signals on the main thread: SIGHUP reloads, SIGUSR1 prints the counters, any other ends the
/// process. Then requests are taken for a little longer, and what was taken has some time to end by itself; SIGHUP and
/// SIGUSR1 are heeded as before until then.
pub fn serve_until_signalled<T: FnOnce() -> Terms, O: Fn() -> bool>(
    invoker: &Arc<Invoker>,
    signals: &mut Signals,
    reload: impl Fn() -> Result<(), ConfigError>,
    end: End<T, O>,
) -> bool {
    let heed = |signal| match signal {
        SIGUSR1 => {
            tracing::info!("{}", invoker.counters);
            let (suspended, leaving) = (invoker.bans().out().count(), invoker.duty().leaving());
            tracing::info!(suspended, ?leaving, "operators' overrides");
            accounts::log(invoker);
            true
        }
        SIGHUP => {
            match reload() {
                Ok(()) => tracing::info!("reloaded"),
                Err(error) => tracing::error!(%error, "reload: the old configuration is kept"),
            }
            true
        }
        _ => false,
    };
    while signals.wait().all(heed) {}
    let begun = Instant::now();
    let terms = (end.terms)();
    invoker.leave(Leave::Ending, terms);
    let still_taking = Duration::from_secs_f64(terms.refuse / 1000.0);
    let mut heed_more = || signals.pending().for_each(|signal| _ = heed(signal));
    while begun.elapsed() < still_taking && !((end.is_over)() && invoker.owed() == 0) {
        std::thread::sleep(END_LOOK);
        heed_more();
    }
    let left = |within: Duration| within.saturating_sub(begun.elapsed());
    let mut settled = invoker.settle(END_LOOK.min(left(end.within)));
    while !settled && !left(end.within).is_zero() {
        heed_more();
        settled = invoker.settle(END_LOOK.min(left(end.within)));
    }
    let settled = settled || {
        invoker.end_all();
        invoker.settle(LAST_ANSWERS / 2)
    };
    end.acceptor.wind_up(WIND_UP.min(left(end.within + 3 * LAST_ANSWERS / 4)));
    tracing::info!("{}", invoker.counters);
    settled
}

/// The terms of an end with nobody to come after this process.
pub const ENDING: Terms =
    Terms { let_go: STILL_TAKING.as_millis() as f64, refuse: STILL_TAKING.as_millis() as f64, gone: None };

/// The longest time that a client of any class waits, from the settings object.
pub fn longest_deadline(settings: &serde_json::Value) -> Duration {
    let classes = settings["classes"].as_array().map(Vec::as_slice).unwrap_or_default();
    let longest = classes.iter().filter_map(|class| class["giveUpMs"].as_f64()).fold(1000.0, f64::max);
    Duration::from_secs_f64(longest.min(1e9) / 1000.0)
}

/// Figures for worker connections, from the settings object; `answer` is the largest body of an answer.
pub fn limits(settings: &serde_json::Value, connections: usize, answer: usize) -> WorkerLimits {
    let ceiling = |key: &str, default: f64| {
        settings["ceilings"][key].as_f64().filter(|value| *value > 0.0).unwrap_or(default)
    };
    WorkerLimits {
        streams: ceiling("streamsPerConn", 32.0) as usize,
        connect: Duration::from_secs_f64(ceiling("connectTimeoutMs", 250.0) / 1000.0),
        // Sooner than the worker's own, so that no request crosses its close.
        idle: Duration::from_secs_f64(ceiling("connIdleMs", 15_000.0) * 0.7 / 1000.0),
        connections,
        answer,
        cancels: settings["ceilings"]["cancel"].as_bool().unwrap_or(false),
    }
}
