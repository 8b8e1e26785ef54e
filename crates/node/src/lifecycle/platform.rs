//! Runs the daemon on the hosting platform: start-up, serving, handover to a successor and shutdown.
use super::accounts::{self, FleetSize};
use super::config::{ConfigError, PlatformConfig, Source};
use super::handover::{self, OverridesHandle, ProcessSlot, SharedFiles};
use super::spawn;
use crate::core::{monotonic_ms, Invoker};
use crate::event_loop;
use crate::state::recent_ids::RecentIds;
use crate::timers;
use crate::wire::accept::{Acceptor, ConnectionLimits};
use crate::wire::command_channel::{self, CommandChannel};
use crate::wire::connection_handover::{self, HandoverSender};
use crate::wire::frames::MAX_BODY;
use crate::wire::workers::{FrameWorkers, Limits as WorkerLimits};
use crate::wire::{operators, thrift_front};
use corkbay_duty::{Leave, LeaveSchedule};
use corkbay_ledger::{Budget, Ledger, Purpose};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1};
use signal_hook::iterator::Signals;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

/// Stack size of a coroutine in words: 128 KiB of address space, of which only touched pages use memory.
const STACK_WORDS: usize = 0x4000;
/// Maximum number of idle stacks unchanged in the pool. They are reused in turn, so in time each of them holds as many
/// touched pages as the deepest task needs.
const MAX_IDLE_STACKS: usize = 64;
/// How long new requests are accepted after SIGTERM. Clients open connections for up to 0.4 s after it and send
/// requests on open ones for 0.2 s more. A later request would be lost if it had no answer by SIGKILL, so it is
/// refused.
pub const ACCEPT_AFTER_SIGTERM: Duration = Duration::from_millis(700);
/// How long new requests are accepted after SIGTERM on connections with unanswered requests if there is a successor.
const ACCEPT_AFTER_SIGTERM_WITH_SUCCESSOR: Duration = Duration::from_millis(1000);
/// Spare room in the worker accounts: one additional worker for every this many known workers.
const WORKERS_PER_SPARE: usize = 8;
/// Polling interval during shutdown.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Maximum time a successor waits for the command channel. It must serve within 6 s, even if the channel does not
/// answer.
const MAX_CHANNEL_WAIT: Duration = Duration::from_secs(3);
/// After this time the other process has checked this process's slot at least twice.
const OTHER_PROCESS_NOTICE_TIME: Duration =
    Duration::from_millis(4 * handover::SYNC_INTERVAL.as_millis() as u64);
/// Polling interval while waiting for the overrides and the command channel.
const SYNC_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Time for the events that were queued in the command channel to resume.
const CHANNEL_CATCH_UP_TIME: Duration = Duration::from_millis(100);
/// Polling interval for connections that are being drained.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Upper bound on the longest request deadline in the shutdown schedule: SIGKILL comes no sooner than that deadline
/// (at most this long) after new requests stop being accepted.
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// Maximum time for closing connections that have no unanswered requests at shutdown.
const MAX_CLOSE_TIME: Duration = Duration::from_millis(500);
/// Requests that are still unanswered this long before SIGKILL are terminated, so that their answers can be written.
const FINAL_ANSWER_TIME: Duration = Duration::from_millis(250);
/// File descriptors reserved for everything but clients and workers: the program's own, the command channel, operators,
/// and connections that are handed over to another process.
const RESERVED_DESCRIPTORS: usize = 40;
/// The file in the shared folder that holds the ids of requests that may have run.
const RECENT_IDS_FILE: &str = "recent-ids";
/// The operators' listener and connections come out of the reserved descriptors.
const _: () = assert!(operators::SEATS + 1 < RESERVED_DESCRIPTORS / 2);

/// Splits a descriptor limit into the maximum number of client connections and of worker connections, one descriptor
/// each. Clients normally use a third of the limit at most; the rest of their part absorbs clients that connect and
/// send nothing.
pub fn split_descriptors(sockets: usize) -> (usize, usize) {
    let left = sockets.saturating_sub(RESERVED_DESCRIPTORS);
    let clients = (left / 2).max(1);
    (clients, (left - clients.min(left)).max(1))
}

/// Configures the coroutine library and starts the scheduling of its event loop. Must be called before the first coroutine
/// starts.
pub fn set_up_coroutines() -> Result<(), ConfigError> {
    // The process runs on one core, where more threads would only contend. With pinned threads, all invokers of a
    // machine would share core 0.
    let config = may::config();
    config.set_workers(1).set_worker_pin(false);
    config.set_stack_size(STACK_WORDS).set_pool_capacity(MAX_IDLE_STACKS);
    event_loop::start().map_err(|error| ConfigError::new("descriptors", error))
}

/// The resource limits of the invoker, and this process's part of them while another process of the invoker runs.
struct ProcessLimits {
    memory_mb: AtomicU64,
    sockets: usize,
    base_bytes: usize,
    /// Number of processes that share the limits.
    parts: AtomicUsize,
    /// Number of workers that the accounts have room for.
    fleet_workers: AtomicUsize,
    classes: usize,
    ledger: Arc<Ledger>,
    workers: Arc<FrameWorkers>,
    acceptor: OnceLock<Arc<Acceptor>>,
}

impl ProcessLimits {
    /// Applies the current limits to the ledger and to the connections.
    fn adopt(&self) -> Result<(), ConfigError> {
        let (memory, parts) = (self.memory_mb.load(Ordering::Relaxed), self.parts.load(Ordering::Relaxed));
        self.ledger.apply_budget(&budget(memory, self.base_bytes, parts, self.fleet_size())?);
        let (clients, to_workers) = split_descriptors(self.sockets / parts);
        self.workers.set_max_connections(to_workers);
        self.acceptor.get().into_iter().for_each(|acceptor| acceptor.set_max_connections(clients));
        Ok(())
    }

    fn fleet_size(&self) -> FleetSize {
        FleetSize { workers: self.fleet_workers.load(Ordering::Relaxed), classes: self.classes }
    }

    /// Makes room for this many workers, at the expense of the other accounts.
    fn make_room_for(&self, workers: usize) {
        if self.fleet_workers.load(Ordering::Relaxed) >= workers {
            return;
        }
        // Includes spare room, so that a list that grows one worker at a time does not cause a new plan each time.
        self.fleet_workers.store(workers + workers / WORKERS_PER_SPARE, Ordering::Relaxed);
        if let Err(error) = self.adopt() {
            tracing::error!(%error, workers, "no room can be made for workers");
        }
    }

    /// Divides the limits among this many processes.
    fn share(&self, parts: usize) {
        self.parts.store(parts, Ordering::Relaxed);
        if let Err(error) = self.adopt() {
            tracing::error!(%error, parts, "limits can't be shared");
        }
    }
}

/// The memory caps of one of `parts` processes. If that part is less than a process needs, each process keeps the whole
/// limit: both run for a few seconds only, and only memory that is held counts.
fn budget(memory_mb: u64, base_bytes: usize, parts: usize, fleet: FleetSize) -> Result<Budget, ConfigError> {
    accounts::platform_budget(memory_mb, base_bytes, parts, fleet).or_else(|error| {
        tracing::warn!(%error, parts, "too little memory to be shared");
        accounts::platform_budget(memory_mb, base_bytes, 1, fleet)
    })
}

/// Takes a slot in the folder shared with another process of the same invoker; none without an operators' address or a
/// shared folder.
fn join(config: &PlatformConfig, source: &Source) -> Option<SharedFiles> {
    let (_, shared_folder) = (config.admin?, source.shared_folder.as_ref()?);
    // Several invokers may be given the same parent folder.
    let folder = shared_folder.join(format!("corkbay-{}", config.listen.to_string().replace(':', "-")));
    SharedFiles::join(&folder)
        .inspect_err(
            |error| tracing::error!(%error, ?folder, "handover: nothing is shared with another process"),
        )
        .ok()
}

/// Shares the ids of requests that may have run with the other process of the invoker, if the file can be opened.
fn share_recent_ids(invoker: &Invoker, slot: &ProcessSlot) {
    match RecentIds::in_file(&slot.folder.join(RECENT_IDS_FILE)) {
        Ok(ids) => invoker.share_recent_ids(ids),
        Err(error) => tracing::error!(%error, "handover: ids of requests are not shared"),
    }
}

/// Serves until a signal stops the process; returns true if all requests were answered.
pub fn run(config: PlatformConfig, source: &Source) -> Result<bool, ConfigError> {
    let mut signals = signals()?;
    let base_bytes = accounts::measured_base();
    let files = join(&config, source);
    let slot = files.as_ref().map(SharedFiles::slot);
    let parts = files.as_ref().map_or(1, SharedFiles::parts);
    let classes = config.settings["classes"].as_array().map_or(1, Vec::len);
    let fleet = FleetSize { workers: 0, classes };
    let caps = budget(config.memory_mb, base_bytes, parts, fleet)?;
    let ledger = Arc::new(Ledger::new(&caps, &accounts::tenants(&config.settings)));
    let (clients, to_workers) = split_descriptors(config.sockets / parts);
    let to_workers = worker_limits(&config.settings, to_workers, MAX_BODY);
    let workers = Arc::new(FrameWorkers::new(to_workers, ledger.account(Purpose::Workers).clone()));
    let invoker = Invoker::new(&config.settings, config.seed, workers.clone(), ledger.clone());
    if let Some(slot) = &slot {
        share_recent_ids(&invoker, slot);
    }
    accounts::watch(&invoker);
    invoker.watch_for_stalls();
    let limits = Arc::new(ProcessLimits {
        memory_mb: AtomicU64::new(config.memory_mb),
        sockets: config.sockets,
        base_bytes,
        parts: AtomicUsize::new(parts),
        fleet_workers: AtomicUsize::new(0),
        classes,
        ledger: ledger.clone(),
        workers,
        acceptor: OnceLock::new(),
    });
    let worker_room = limits.clone();
    invoker.on_workers(move |workers| worker_room.make_room_for(workers));
    for event in config.known_events {
        event.remember(&invoker);
    }
    let overrides = match files {
        Some(files) => {
            let limits = limits.clone();
            let overrides = OverridesHandle::shared(&invoker, files, move |parts| limits.share(parts));
            overrides.map_err(|error| ConfigError::new("TMPDIR", error))?
        }
        None => OverridesHandle::in_memory(&invoker),
    };
    if let Some(admin) = config.admin {
        let account = ledger.account(Purpose::Operators).clone();
        let client_limits = ConnectionLimits {
            max_connections: operators::SEATS,
            write_timeout: operators::WRITE_STALL,
            account,
        };
        let acceptor =
            Acceptor::open(admin, client_limits).map_err(|error| ConfigError::new("admin", error))?;
        let (task_invoker, overrides) = (invoker.clone(), overrides.clone());
        spawn(move || {
            acceptor.accept(move |connection| operators::serve(&task_invoker, &overrides, &connection))
        });
    }
    let (task_invoker, command_channel, cursor) =
        (invoker.clone(), CommandChannel::new(config.channel), config.cursor);
    let reload = {
        let (command_channel, listen, settings) =
            (command_channel.clone(), config.listen, config.settings.clone());
        let (admin, limits) = (config.admin, limits.clone());
        move || {
            let next = source.read()?;
            accounts::platform_budget(next.memory_mb, base_bytes, 1, limits.fleet_size())?;
            limits.memory_mb.store(next.memory_mb, Ordering::Relaxed);
            limits.adopt()?;
            command_channel.move_to(next.channel);
            let restart_only = [
                ("listen", next.listen == listen),
                ("admin", next.admin == admin),
                ("settings", next.settings == settings),
            ];
            for (key, unchanged) in restart_only {
                if !unchanged {
                    tracing::warn!(key, "reload: a key has changed and holds from the next start on");
                }
            }
            Ok(())
        }
    };
    let channel = command_channel.clone();
    spawn(move || command_channel::follow(&task_invoker, &command_channel, cursor));
    wait_until_in_sync(&overrides, &channel);
    let account = ledger.account(Purpose::Clients).clone();
    let client_limits =
        ConnectionLimits { max_connections: clients, write_timeout: thrift_front::WRITE_STALL, account };
    let acceptor =
        Acceptor::open(config.listen, client_limits).map_err(|error| ConfigError::new("listen", error))?;
    // The other process may have exited since the limits were set.
    if limits.acceptor.set(acceptor.clone()).is_ok() {
        limits.share(overrides.succession().parts());
    }
    let connection_handover = Arc::<HandoverSender>::default();
    let (task_invoker, task_acceptor, task_handover) =
        (invoker.clone(), acceptor.clone(), connection_handover.clone());
    spawn(move || {
        task_acceptor.accept(move |connection| thrift_front::serve(&task_invoker, &task_handover, connection))
    });
    let (task_invoker, task_acceptor) = (invoker.clone(), acceptor.clone());
    spawn(move || drain(&task_invoker, &task_acceptor));
    if let Some(slot) = &slot {
        let (task_invoker, task_acceptor, task_handover) =
            (invoker.clone(), acceptor.clone(), connection_handover.clone());
        let resume = move |stream, unanswered: &[i32], withdrawals| {
            let connection = task_acceptor.take_over(stream)?;
            Ok(thrift_front::resume(&task_invoker, &task_handover, connection, unanswered, withdrawals))
        };
        if let Err(error) = connection_handover::listen(&slot.folder, slot.number, resume) {
            tracing::warn!(%error, "handover: no connections can be taken over");
        }
    }
    overrides.announce_ready();
    if overrides.succession().other().is_some() {
        // As soon as this process reports that it serves, the other one may be stopped; that process must know of its
        // successor by then.
        std::thread::sleep(OTHER_PROCESS_NOTICE_TIME);
    }
    invoker.set_serving();
    let longest = longest_deadline(&config.settings).min(MAX_COUNTED_DEADLINE);
    let shutdown = Shutdown {
        schedule: || {
            let succession = overrides.succession();
            if succession.has_ready_successor() {
                // Accepts what waits in the listen queue; later clients connect to the successor.
                acceptor.close();
                let opened =
                    slot.as_ref().map(|slot| connection_handover.open(&slot.folder, slot.other_number()));
                if let Some(Err(error)) = opened {
                    tracing::warn!(%error, "handover: no connections can be passed on");
                }
            }
            succession.ending(
                LEAVE_SCHEDULE_WITHOUT_SUCCESSOR,
                ACCEPT_AFTER_SIGTERM_WITH_SUCCESSOR.as_millis() as f64,
            )
        },
        no_new_clients: || overrides.succession().has_ready_successor() && acceptor.open_connections() == 0,
        acceptor: &acceptor,
        terminate_after: ACCEPT_AFTER_SIGTERM + longest.saturating_sub(FINAL_ANSWER_TIME),
    };
    let all_answered = serve_until_signalled(&invoker, &mut signals, reload, shutdown);
    connection_handover.finish();
    Ok(all_answered)
}

/// Waits until this process knows the operators' overrides and the events of the command channel, as long as another
/// process can serve meanwhile. Without another process it returns at once.
fn wait_until_in_sync(overrides: &OverridesHandle, channel: &CommandChannel) {
    let start = Instant::now();
    let has_other_process = || overrides.succession().other().is_some();
    let is_channel_silent = || !channel.is_heard() && start.elapsed() < MAX_CHANNEL_WAIT;
    while has_other_process() && (!overrides.has_overrides() || is_channel_silent()) {
        std::thread::sleep(SYNC_POLL_INTERVAL);
    }
    // Events queued in the channel arrive immediately, one after the other.
    if has_other_process() {
        std::thread::sleep(CHANNEL_CATCH_UP_TIME);
    }
}

/// Drains the client connections whenever the invoker is leaving its clients. Runs until the process exits.
fn drain(invoker: &Invoker, acceptor: &Acceptor) {
    loop {
        invoker.wait_for_leave();
        if invoker.serving_state().closes_connections(monotonic_ms()) {
            acceptor.drain();
        }
        timers::sleep(DRAIN_POLL_INTERVAL);
    }
}

/// Registers the signals that the process handles. Signals that arrive after this call are not lost.
pub fn signals() -> Result<Signals, ConfigError> {
    Signals::new([SIGTERM, SIGINT, SIGHUP, SIGUSR1]).map_err(|error| ConfigError::new("signals", error))
}

/// How a process shuts down.
pub struct Shutdown<'a, T, O> {
    /// Begins the shutdown and returns its schedule for clients.
    pub schedule: T,
    /// Whether no client can connect any more, so that the process can stop once no request is unanswered.
    pub no_new_clients: O,
    /// The acceptor of client connections, closed last.
    pub acceptor: &'a Acceptor,
    /// Time from the beginning of the shutdown until unanswered requests are terminated.
    pub terminate_after: Duration,
}

/// Handles signals on the main thread: SIGHUP reloads the configuration, SIGUSR1 logs the counters, any other signal
/// stops the process. During shutdown requests are accepted for a short time, and accepted requests get time to finish;
/// SIGHUP and SIGUSR1 are still handled until then.
pub fn serve_until_signalled<T: FnOnce() -> LeaveSchedule, O: Fn() -> bool>(
    invoker: &Arc<Invoker>,
    signals: &mut Signals,
    reload: impl Fn() -> Result<(), ConfigError>,
    shutdown: Shutdown<T, O>,
) -> bool {
    let handle = |signal| match signal {
        SIGUSR1 => {
            tracing::info!("{}", invoker.counters);
            tracing::info!(owed = invoker.unanswered(), "{}", event_loop::report());
            let (suspended, leaving) =
                (invoker.host_overrides().out().count(), invoker.serving_state().leaving());
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
    while signals.wait().all(handle) {}
    let shutdown_start = Instant::now();
    let schedule = (shutdown.schedule)();
    invoker.start_leaving(Leave::Ending, schedule);
    let accepting = Duration::from_secs_f64(schedule.refuse_requests_at / 1000.0);
    let mut handle_pending = || signals.pending().for_each(|signal| _ = handle(signal));
    while shutdown_start.elapsed() < accepting && !((shutdown.no_new_clients)() && invoker.unanswered() == 0)
    {
        std::thread::sleep(SHUTDOWN_POLL_INTERVAL);
        handle_pending();
    }
    let remaining = |limit: Duration| limit.saturating_sub(shutdown_start.elapsed());
    let mut all_answered =
        invoker.wait_until_answered(SHUTDOWN_POLL_INTERVAL.min(remaining(shutdown.terminate_after)));
    while !all_answered && !remaining(shutdown.terminate_after).is_zero() {
        handle_pending();
        all_answered =
            invoker.wait_until_answered(SHUTDOWN_POLL_INTERVAL.min(remaining(shutdown.terminate_after)));
    }
    let all_answered = all_answered || {
        invoker.end_all();
        invoker.wait_until_answered(FINAL_ANSWER_TIME / 2)
    };
    shutdown
        .acceptor
        .shut_down(MAX_CLOSE_TIME.min(remaining(shutdown.terminate_after + 3 * FINAL_ANSWER_TIME / 4)));
    tracing::info!("{}", invoker.counters);
    all_answered
}

/// The shutdown schedule of a process without a successor.
pub const LEAVE_SCHEDULE_WITHOUT_SUCCESSOR: LeaveSchedule = LeaveSchedule {
    close_connections_at: ACCEPT_AFTER_SIGTERM.as_millis() as f64,
    refuse_requests_at: ACCEPT_AFTER_SIGTERM.as_millis() as f64,
    all_closed_by: None,
};

/// The longest deadline of any class, from the settings object: 1 s if none is longer.
pub fn longest_deadline(settings: &serde_json::Value) -> Duration {
    let classes = settings["classes"].as_array().map(Vec::as_slice).unwrap_or_default();
    let longest = classes.iter().filter_map(|class| class["giveUpMs"].as_f64()).fold(1000.0, f64::max);
    Duration::from_secs_f64(longest.min(1e9) / 1000.0)
}

/// Limits of worker connections, from the settings object; `answer` is the maximum body size of an answer, in bytes.
pub fn worker_limits(settings: &serde_json::Value, connections: usize, answer: usize) -> WorkerLimits {
    let ceiling = |key: &str, default: f64| {
        settings["ceilings"][key].as_f64().filter(|value| *value > 0.0).unwrap_or(default)
    };
    WorkerLimits {
        streams: ceiling("streamsPerConn", 32.0) as usize,
        connect: Duration::from_secs_f64(ceiling("connectTimeoutMs", 250.0) / 1000.0),
        // Shorter than the worker's own idle timeout, so that no request is sent while the worker closes the
        // connection.
        idle: Duration::from_secs_f64(ceiling("connIdleMs", 15_000.0) * 0.7 / 1000.0),
        connections,
        answer,
        cancels: settings["ceilings"]["cancel"].as_bool().unwrap_or(false),
    }
}
