//! A process of headless followers: many instances of the daemon's control code, without the API.
use super::protocol::{FollowerSummary, HostConfig, HostRequest, HostResponse};
use crate::scale::ScaleError;
use corkbay_feed::FollowerState;
use corkbay_ledger::{Ledger, Purpose};
use corkbay_node::core::{monotonic_ms, Invoker};
use corkbay_node::lifecycle::deploy::Deploy;
use corkbay_node::lifecycle::{accounts, logs, platform, spawn};
use corkbay_node::state::catalog::Catalog;
use corkbay_node::state::store::{RestartRetention, Store};
use corkbay_node::wire::feed::{follow, FollowerHandle};
use corkbay_node::wire::http_workers::{HttpWorkers, Limits, Style};
use corkbay_node::wire::record_changes::OnRecordChanges;
use std::fmt::Display;
use std::io::{BufRead, Write};
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Interval at which expired records are removed, as in the daemon.
const SWEEP_INTERVAL: Duration = Duration::from_secs(5);
/// Maximum number of connections to workers; none are made, as there are no workers.
const MAX_WORKER_CONNECTIONS: usize = 16;

/// Runs the followers and answers the requests on standard input until its end.
pub fn serve(config: &HostConfig) -> Result<(), ScaleError> {
    logs::set_up();
    platform::set_up_coroutines().map_err(std::io::Error::other)?;
    let base_bytes = accounts::measured_base();
    let mut followers = Vec::new();
    for deploy_file in &config.deploy_files {
        followers.push(HeadlessFollower::start(deploy_file, base_bytes)?);
    }
    write_response(&HostResponse::Started)?;
    for line in std::io::stdin().lock().lines() {
        let request = serde_json::from_str(&line?).map_err(std::io::Error::other)?;
        write_response(&answer(&followers, &request))?;
    }
    Ok(())
}

fn write_response(response: &HostResponse) -> Result<(), ScaleError> {
    let mut line = serde_json::to_vec(response).map_err(std::io::Error::other)?;
    line.push(b'\n');
    let mut output = std::io::stdout().lock();
    output.write_all(&line)?;
    output.flush()?;
    Ok(())
}

fn answer(followers: &[HeadlessFollower], request: &HostRequest) -> HostResponse {
    match request {
        HostRequest::Status => {
            HostResponse::Status(followers.iter().map(HeadlessFollower::summary).collect())
        }
        HostRequest::WaitForFunctions { functions, memory_mb, limit_ms } => {
            HostResponse::HeldSince(wait_for_functions(followers, functions, *memory_mb, *limit_ms))
        }
        HostRequest::MemoryOf { function } => {
            HostResponse::Memory(followers.iter().map(|follower| follower.memory_of(function)).collect())
        }
    }
}

fn wait_for_functions(
    followers: &[HeadlessFollower],
    functions: &[String],
    memory_mb: f64,
    limit_ms: f64,
) -> Vec<Option<f64>> {
    let until = monotonic_ms() + limit_ms;
    let mut held_since: Vec<Option<f64>> = vec![None; followers.len()];
    // For each follower, the number of leading functions that it is known to hold.
    let mut held: Vec<usize> = vec![0; followers.len()];
    loop {
        for (number, follower) in followers.iter().enumerate() {
            while held[number] < functions.len()
                && follower.memory_of(&functions[held[number]]) == Some(memory_mb)
            {
                held[number] += 1;
            }
            if held[number] == functions.len() && held_since[number].is_none() {
                held_since[number] = Some(monotonic_ms());
            }
        }
        if held_since.iter().all(Option::is_some) || monotonic_ms() > until {
            return held_since;
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// An invoker without its API.
struct HeadlessFollower {
    catalog: Arc<Catalog>,
    follower: FollowerHandle,
    /// Kept alive for its timers.
    _invoker: Arc<Invoker>,
}

impl HeadlessFollower {
    fn start(deploy_file: &Path, base_bytes: usize) -> Result<Self, ScaleError> {
        let deploy = Deploy::load(deploy_file).map_err(failed)?;
        let settings = deploy.settings();
        let budget = accounts::deploy_budget(&deploy.memory_settings(), base_bytes).map_err(failed)?;
        let ledger = Arc::new(Ledger::new(&budget, &accounts::tenants(&settings)));
        let folder = deploy.data_dir.as_deref().ok_or_else(|| failed("a follower without data_dir"))?;
        let store = Arc::new(
            Store::open(&deploy.node, folder, ledger.clone(), RestartRetention::AS_DATED).map_err(failed)?,
        );
        let give_up = deploy.classes.iter().map(|class| class.give_up_ms).collect();
        let catalog = Arc::new(Catalog::new(store.clone(), give_up));
        let connect = Duration::from_secs_f64(deploy.limits.connect_timeout_ms / 1000.0);
        let limits = Limits { connect, connections: MAX_WORKER_CONNECTIONS, answer: deploy.answer_bytes() };
        let account = ledger.account(Purpose::Workers).clone();
        let workers = Arc::new(HttpWorkers::new(Style::Held, limits, account));
        let invoker = Invoker::new(&settings, rand::random(), workers, ledger.clone());
        accounts::watch(&invoker);
        catalog.announce(&invoker);
        sweep_regularly(store.clone());
        let follow_settings = deploy.follow.as_ref().ok_or_else(|| failed("a follower without [follow]"))?;
        let options = follow_settings.options(&deploy.zone);
        let follower =
            follow(store, options, on_record_changes(catalog.clone(), invoker.clone())).map_err(failed)?;
        Ok(HeadlessFollower { catalog, follower, _invoker: invoker })
    }

    fn summary(&self) -> FollowerSummary {
        let report = self.follower.report();
        FollowerSummary {
            control: report.control,
            is_following: matches!(report.state, FollowerState::Following { .. }),
            received_bytes: report.counters.received_bytes,
            sent_bytes: report.counters.sent_bytes,
        }
    }

    /// The memory of a function, in MB, as a call would see it.
    fn memory_of(&self, function: &str) -> Option<f64> {
        Some(self.catalog.function(function)?.memory_mb)
    }
}

fn on_record_changes(catalog: Arc<Catalog>, invoker: Arc<Invoker>) -> OnRecordChanges {
    Arc::new(move |news| {
        if news.workers {
            catalog.announce(&invoker);
        }
    })
}

fn sweep_regularly(store: Arc<Store>) {
    spawn(move || loop {
        may::coroutine::sleep(SWEEP_INTERVAL);
        if let Err(error) = store.sweep() {
            tracing::error!(%error, "store");
        }
    });
}

fn failed(error: impl Display) -> ScaleError {
    ScaleError::Failed(error.to_string())
}
