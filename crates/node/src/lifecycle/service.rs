//! Runs the daemon without the hosting platform: the invoke API with a store of its own.
use super::config::ConfigError;
use super::deploy::{Deploy, Protocol, Style};
use super::platform::{
    longest_deadline, serve_until_signalled, signals, split_descriptors, worker_limits, Shutdown,
    ACCEPT_AFTER_SIGTERM, LEAVE_SCHEDULE_WITHOUT_SUCCESSOR,
};
use super::{accounts, spawn};
use crate::core::{monotonic_ms, Invoker, Workers};
use crate::state::catalog::{Catalog, CatalogError, Worker};
use crate::state::deploy_entries::DeployEntry;
use crate::state::invocations::Invocations;
use crate::state::store::{RestartRetention, Store, StoreError};
use crate::timers;
use crate::wire::accept::{Acceptor, ConnectionLimits};
use crate::wire::feed::{self, FeedRole, Role};
use crate::wire::http_workers::{self, HttpWorkers};
use crate::wire::invoke::{self, InvokeApi};
use crate::wire::record_changes::OnRecordChanges;
use crate::wire::replication::{self, Mesh};
use crate::wire::workers::FrameWorkers;
use corkbay::Ms;
use corkbay_ledger::{Account, Ledger, Purpose};
use serde_json::Value;
use std::fmt::Display;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

/// Interval at which expired records are dropped and the store's log is checked.
const SWEEP_INTERVAL: Duration = Duration::from_secs(5);
/// Time for writing the last answers at shutdown, after the longest_ms deadline of the unanswered requests.
const FINAL_ANSWER_TIME: Duration = Duration::from_secs(1);

/// Interval at which calls of an earlier life are looked for.
const ORPHAN_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Pause after an error of the store while such calls are ended.
const ORPHAN_RETRY_PAUSE: Duration = Duration::from_secs(5);
/// Poll interval at the start of a node that may lack records of its own.
const PEER_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Minimum time for which the outcome of a deferred call can be fetched after a restart.
const MIN_OUTCOME_RETENTION: Duration = Duration::from_secs(60);

/// Bounds on how long records are kept after a restart, as the wall clock may have been stepped while no process ran.
/// An idempotency key is kept for its window at least, an outcome for long enough to be fetched, and neither for
/// longer than it could have been kept without a step.
fn kept_after_restart(deploy: &Deploy) -> RestartRetention {
    let spans = deploy.classes.iter().map(|class| class.give_up_ms + class.dedup_window_ms);
    let longest_ms = spans.fold(0.0, f64::max);
    RestartRetention {
        least: longest_ms.max(MIN_OUTCOME_RETENTION.as_secs_f64() * 1000.0),
        most: longest_ms.max(MIN_OUTCOME_RETENTION.as_secs_f64() * 1000.0) + deploy.retention_s * 1000.0,
    }
}

/// Serves until a signal stops the process; returns true if all requests were answered.
pub fn run(deploy: &Deploy, path: &Path) -> Result<bool, ConfigError> {
    let at = |key: &'static str| move |error: &dyn Display| ConfigError::new(key, error);
    let mut signals = signals()?;
    let settings = deploy.settings();
    let base_bytes = accounts::measured_base();
    let ledger = Arc::new(Ledger::new(
        &accounts::deploy_budget(&deploy.memory_settings(), base_bytes)?,
        &accounts::tenants(&settings),
    ));
    let store = Arc::new(match &deploy.data_dir {
        Some(folder) => Store::open(&deploy.node, folder, ledger.clone(), kept_after_restart(deploy))
            .map_err(|e| at("data_dir")(&e))?,
        None => Store::in_memory(&deploy.node, ledger.clone()),
    });
    let give_up = deploy.classes.iter().map(|class| class.give_up_ms).collect();
    let catalog = Catalog::new(store.clone(), give_up);
    if deploy.follow.is_some() {
        feed::check_store(&store).map_err(|error| at("data_dir")(&error))?;
    }
    seed(&catalog, deploy)?;
    let retention = Duration::from_secs_f64(deploy.retention_s);
    let invocations = Invocations::restored(store.clone(), retention, deploy.answer_bytes());
    let lacks_own_records = deploy.replication.is_some() && store.may_lack_own_records();
    if !lacks_own_records {
        invocations.end_orphans(|_| true).map_err(|e| at("data_dir")(&e))?;
    }
    let followers = deploy.feed.as_ref().map_or(0, |feed| feed.followers);
    let (clients, to_workers) = split_descriptors(deploy.sockets - followers);
    let workers = worker_client(deploy, &settings, to_workers, ledger.account(Purpose::Workers));
    let invoker = Invoker::new(&settings, rand::random(), workers, ledger.clone());
    accounts::watch(&invoker);
    invoker.watch_for_stalls();
    catalog.announce(&invoker);
    let targets = RecordTargets {
        invoker: invoker.clone(),
        catalog: Arc::new(catalog),
        invocations: Arc::new(invocations),
    };
    let role = start_role(deploy, &store, &targets)?;
    if let Some(mesh) = role.mesh.as_deref().filter(|_| lacks_own_records) {
        wait_for_own_records(mesh);
    }
    let RecordTargets { catalog, invocations, .. } = targets;
    let api = Arc::new(InvokeApi { invoker: invoker.clone(), invocations, catalog, role });
    let account = ledger.account(Purpose::Clients).clone();
    let client_limits =
        ConnectionLimits { max_connections: clients, write_timeout: invoke::WRITE_STALL, account };
    let acceptor = Acceptor::open(deploy.listen, client_limits).map_err(|e| at("listen")(&e))?;
    let bound = acceptor.address().map_err(|e| at("listen")(&e))?;
    spawn(move || loop {
        timers::sleep(SWEEP_INTERVAL);
        if let Err(error) = store.sweep() {
            tracing::error!(%error, "store");
        }
    });
    api.resume();
    let (task_api, longest_give_up) = (api.clone(), longest_deadline(&settings));
    spawn(move || end_orphans(&task_api, longest_give_up));
    let (task_api, task_acceptor) = (api.clone(), acceptor.clone());
    spawn(move || task_acceptor.accept(move |connection| invoke::serve(&task_api, &connection)));
    println!("invoke API on {bound}");
    // A reload applies functions, workers and memory caps; all other settings take effect at the next start.
    let reload = || {
        let next = Deploy::load(path)?;
        ledger.apply_budget(&accounts::deploy_budget(&next.memory_settings(), base_bytes)?);
        let seeded = seed(&api.catalog, &next);
        // What could be written takes effect, also if there was no room for the rest.
        api.catalog.announce(&api.invoker);
        seeded
    };
    let terminate_after = ACCEPT_AFTER_SIGTERM + longest_deadline(&settings) + FINAL_ANSWER_TIME;
    let shutdown = Shutdown {
        schedule: || LEAVE_SCHEDULE_WITHOUT_SUCCESSOR,
        no_new_clients: || false,
        acceptor: &acceptor,
        terminate_after,
    };
    Ok(serve_until_signalled(&invoker, &mut signals, reload, shutdown))
}

/// The components that records from other nodes affect.
struct RecordTargets {
    invoker: Arc<Invoker>,
    catalog: Arc<Catalog>,
    invocations: Arc<Invocations>,
}

impl RecordTargets {
    /// The handler that runs when such records have arrived.
    fn on_record_changes(&self) -> OnRecordChanges {
        let invoker = self.invoker.clone();
        let catalog = self.catalog.clone();
        let invocations = self.invocations.clone();
        Arc::new(move |changes| {
            if changes.workers {
                catalog.announce(&invoker);
            }
            invocations.restore_received(&changes.own_invocations);
            if changes.invocations {
                invocations.wake();
            }
        })
    }
}

/// Waits until each peer has sent the records that this node lacks, or could not be reached: a repeat of an idempotency key
/// must find the call of an earlier life.
fn wait_for_own_records(mesh: &Mesh) {
    while !mesh.has_tried_all_peers() {
        std::thread::sleep(PEER_POLL_INTERVAL);
    }
}

/// Ends the calls of an earlier life whose records are found, for as long as the process lives. A peer may have the final
/// record of such a call, so it is ended only once all peers hold the same records as this node, or after `longest_give_up`
/// if one of them is away: by then the call would have ended anyway, and a peer within reach has sent what it has.
fn end_orphans(api: &Arc<InvokeApi>, longest_give_up: Duration) {
    let longest_give_up_ms = longest_give_up.as_secs_f64() * 1000.0;
    let have_peers_agreed =
        |since: Ms| api.role.mesh.as_ref().is_none_or(|mesh| mesh.have_all_peers_agreed_since(since));
    loop {
        timers::sleep(ORPHAN_CHECK_INTERVAL);
        if !api.invocations.has_orphans() {
            continue;
        }
        let now = monotonic_ms();
        let is_due = |found: Ms| now - found >= longest_give_up_ms || have_peers_agreed(found);
        match api.invocations.end_orphans(is_due) {
            Ok(0) => {}
            Ok(calls) => {
                tracing::info!(calls, "deferred calls of an earlier life are ended or run again");
                (0..calls).for_each(|_| api.invoker.counters.orphans_ended.increment());
                api.resume();
            }
            Err(error) => {
                tracing::error!(%error, "calls of an earlier life can't be ended");
                timers::sleep(ORPHAN_RETRY_PAUSE);
            }
        }
    }
}

/// Starts the node's role in the distribution of configuration: replication, feed or follower.
fn start_role(deploy: &Deploy, store: &Arc<Store>, targets: &RecordTargets) -> Result<Role, ConfigError> {
    let mut role = Role::default();
    if let Some(replication) = &deploy.replication {
        let at = |error| ConfigError::new("replication.listen", error);
        let acceptor = replication::open(replication.listen, store, replication.peers.len()).map_err(at)?;
        println!("replication on {}", acceptor.address().map_err(at)?);
        let interval = Duration::from_millis(replication.interval_ms);
        let mesh =
            replication::start(store, acceptor, &replication.peers, interval, targets.on_record_changes());
        role.mesh = Some(mesh);
    }
    if let Some(settings) = &deploy.feed {
        let at = |error| ConfigError::new("feed.listen", error);
        let acceptor = feed::open(settings.listen, store, settings.followers).map_err(at)?;
        println!("feed on {}", acceptor.address().map_err(at)?);
        role.feed = FeedRole::Control(feed::serve(store.clone(), settings.limits(), acceptor));
    }
    if let Some(settings) = &deploy.follow {
        let options = settings.options(&deploy.zone);
        let follower = feed::follow(store.clone(), options, targets.on_record_changes());
        let follower = follower.map_err(|error| ConfigError::new("follow.control", error))?;
        role.feed = FeedRole::Follower(follower);
    }
    Ok(role)
}

/// Writes the functions and workers of the deploy file that have changed since it was last read.
fn seed(catalog: &Catalog, deploy: &Deploy) -> Result<(), ConfigError> {
    let mut entries = Vec::with_capacity(deploy.functions.len() + deploy.workers.len());
    for function in &deploy.functions {
        entries.push(DeployEntry::function(&function.name, &function.function()).map_err(entry_error)?);
    }
    for entry in &deploy.workers {
        let worker = Worker {
            address: entry.resolve()?,
            zone: entry.zone.clone(),
            kind: entry.kind.clone(),
            cell: entry.cell,
            weight: entry.weight,
            state: entry.state,
        };
        entries.push(DeployEntry::worker(&entry.name, &worker).map_err(entry_error)?);
    }
    catalog.seed(entries).map_err(entry_error)
}

/// Names the key at fault when an entry can't be stored: `memory_mb` if there is no room, else `data_dir`.
fn entry_error(error: CatalogError) -> ConfigError {
    let key = match &error {
        CatalogError::Store(StoreError::Full { .. }) => "memory_mb",
        CatalogError::Store(_) | CatalogError::Value(_) => "data_dir",
    };
    ConfigError::new(key, error)
}

/// Creates the client for workers that the transport settings select.
fn worker_client(
    deploy: &Deploy,
    settings: &Value,
    connections: usize,
    account: &Account,
) -> Arc<dyn Workers> {
    let (account, answer) = (account.clone(), deploy.answer_bytes());
    let connect = Duration::from_secs_f64(deploy.limits.connect_timeout_ms / 1000.0);
    match (deploy.transport.protocol, deploy.transport.style) {
        (Protocol::Frames, _) => {
            Arc::new(FrameWorkers::new(worker_limits(settings, connections, answer), account))
        }
        (Protocol::Http, style) => {
            let style = match style {
                Style::Held => http_workers::Style::Held,
                Style::Deferred => http_workers::Style::Deferred,
            };
            Arc::new(HttpWorkers::new(style, http_workers::Limits { connect, connections, answer }, account))
        }
    }
}
