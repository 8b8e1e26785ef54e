//! The daemon off the platform: the invoke API over its own store.
use super::config::ConfigError;
use super::deploy::{Deploy, Protocol, Style};
use super::platform::{connections, limits, longest_deadline, open_requests, serve_until_signalled, signals};
use super::spawn;
use crate::core::{Invoker, Workers};
use crate::memory::catalog::{Catalog, Worker};
use crate::memory::invocations::Invocations;
use crate::memory::log::Log;
use crate::memory::store::Store;
use crate::wire::accept::accept;
use crate::wire::http_workers::{self, HttpWorkers};
use crate::wire::invoke::{self, Desk};
use crate::wire::replicate;
use crate::wire::workers::FrameWorkers;
use may::net::TcpListener;
use serde_json::Value;
use std::fmt::Display;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

/// How often expired records are dropped and the log is looked at.
const SWEEP: Duration = Duration::from_secs(30);
/// What is owed ends with its deadline; this is for writing the last answers.
const LAST_ANSWERS: Duration = Duration::from_secs(1);

/// Serves until a signal ends it and nothing is owed; true if all was answered.
pub fn run(deploy: &Deploy, path: &Path) -> Result<bool, ConfigError> {
    let at = |key: &'static str| move |error: &dyn Display| ConfigError::new(key, error);
    let mut signals = signals()?;
    let store = Arc::new(match &deploy.data_dir {
        Some(folder) => {
            let (log, kept) = Log::open(folder).map_err(|e| at("data_dir")(&e))?;
            Store::with_log(&deploy.node, log, kept)
        }
        None => Store::in_memory(&deploy.node),
    });
    let give_up = deploy.classes.iter().map(|class| class.give_up_ms).collect();
    let catalog = Catalog::new(store.clone(), give_up);
    seed(&catalog, deploy).map_err(|e| at("data_dir")(&e))?;
    let retention = Duration::from_secs_f64(deploy.retention_s);
    let invocations = Invocations::new(store.clone(), retention).map_err(|e| at("data_dir")(&e))?;
    let (clients, to_workers) = connections(deploy.sockets);
    let settings = deploy.settings();
    let workers = workers(deploy, &settings, to_workers);
    let invoker = Invoker::new(&settings, rand::random(), workers, open_requests(deploy.memory_mb));
    catalog.announce(&invoker);
    let desk = Arc::new(Desk { invoker: invoker.clone(), invocations, catalog });
    let listener = TcpListener::bind(deploy.listen).map_err(|e| at("listen")(&e))?;
    let bound = listener.local_addr().map_err(|e| at("listen")(&e))?;
    if let Some(replication) = &deploy.replication {
        let listener = TcpListener::bind(replication.listen).map_err(|e| at("replication.listen")(&e))?;
        let bound = listener.local_addr().map_err(|e| at("replication.listen")(&e))?;
        println!("replication on {bound}");
        replicate(
            &desk,
            &store,
            listener,
            &replication.peers,
            Duration::from_millis(replication.interval_ms),
        );
    }
    spawn(move || loop {
        may::coroutine::sleep(SWEEP);
        if let Err(error) = store.sweep() {
            eprintln!("store: {error}");
        }
    });
    let ours = desk.clone();
    spawn(move || accept(&listener, clients, invoke::WRITE_STALL, move |guest| invoke::serve(&ours, &guest)));
    println!("invoke API on {bound}");
    // Functions and workers are taken up; what the file says besides holds from the next start on.
    let reload = || {
        let next = Deploy::load(path)?;
        seed(&desk.catalog, &next).map_err(|error| ConfigError::new("data_dir", error))?;
        desk.catalog.announce(&desk.invoker);
        Ok(())
    };
    let owed = longest_deadline(&settings) + LAST_ANSWERS;
    Ok(serve_until_signalled(&invoker, &mut signals, reload, owed))
}

fn replicate(
    desk: &Arc<Desk>,
    store: &Arc<Store>,
    listener: TcpListener,
    peers: &[SocketAddr],
    interval: Duration,
) {
    let ours = desk.clone();
    let on_news: replicate::OnNews = Arc::new(move || {
        ours.catalog.announce(&ours.invoker);
        ours.invocations.wake();
    });
    replicate::listen(store.clone(), listener, on_news.clone());
    let listeners =
        peers.iter().map(|peer| replicate::follow(store.clone(), *peer, interval, on_news.clone()));
    store.on_write(listeners.collect());
}

fn seed(catalog: &Catalog, deploy: &Deploy) -> Result<(), Box<dyn std::error::Error>> {
    for function in &deploy.functions {
        catalog.seed(&format!("function/{}", function.name), &serde_json::to_value(function.function())?)?;
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
        catalog.seed(&format!("worker/{}", entry.name), &serde_json::to_value(&worker)?)?;
    }
    Ok(())
}

fn workers(deploy: &Deploy, settings: &Value, connections: usize) -> Arc<dyn Workers> {
    let connect = Duration::from_secs_f64(deploy.limits.connect_timeout_ms / 1000.0);
    match (deploy.transport.protocol, deploy.transport.style) {
        (Protocol::Frames, _) => Arc::new(FrameWorkers::new(limits(settings, connections))),
        (Protocol::Http, style) => {
            let style = match style {
                Style::Held => http_workers::Style::Held,
                Style::Deferred => http_workers::Style::Deferred,
            };
            Arc::new(HttpWorkers::new(style, http_workers::Limits { connect, connections }))
        }
    }
}
