//! The daemon on the platform: start, service, drain.
use super::config::{ConfigError, Platform};
use super::spawn;
use crate::core::Invoker;
use crate::wire::accept::accept;
use crate::wire::workers::{FrameWorkers, Limits};
use crate::wire::{channel, front};
use may::net::TcpListener;
use signal_hook::consts::{SIGINT, SIGTERM, SIGUSR1};
use signal_hook::iterator::Signals;
use std::sync::Arc;
use std::time::Duration;

/// Words of a coroutine's stack: 128 KiB of address space, of which only what is touched is memory.
const STACK_WORDS: usize = 0x4000;
/// After SIGTERM the platform's front goes on sending for up to 0.6 s.
const STILL_TAKING: Duration = Duration::from_millis(900);
/// What is owed ends with its deadline; this is for writing the last answers.
const LAST_ANSWERS: Duration = Duration::from_secs(1);
/// Descriptors for all but clients and workers: the program's own, and second ones of connections whose
/// other side reads too slowly.
const RESERVE: usize = 40;

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
    may::config().set_workers(1).set_stack_size(STACK_WORDS).set_worker_pin(false);
}

/// Serves until a signal ends it and nothing is owed; true if all was answered.
pub fn run(config: Platform) -> Result<bool, ConfigError> {
    let mut signals =
        Signals::new([SIGTERM, SIGINT, SIGUSR1]).map_err(|error| ConfigError::new("signals", error))?;
    let (clients, to_workers) = connections(config.sockets);
    let workers = FrameWorkers::new(limits(&config.settings, to_workers));
    let invoker = Invoker::new(&config.settings, config.seed, Arc::new(workers));
    for news in config.known {
        news.tell(&invoker, true);
    }
    let listener = TcpListener::bind(config.listen).map_err(|error| ConfigError::new("listen", error))?;
    let (ours, cursor, address) = (invoker.clone(), config.cursor, config.channel);
    spawn(move || channel::follow(&ours, address, cursor));
    let ours = invoker.clone();
    spawn(move || accept(&listener, clients, front::WRITE_STALL, move |guest| front::serve(&ours, guest)));
    Ok(serve_until_signalled(&invoker, &mut signals, longest_deadline(&config.settings)))
}

/// Waits for signals on the main thread; drains on the first that ends the process, for no longer than the
/// longest deadline and a little.
pub fn serve_until_signalled(invoker: &Arc<Invoker>, signals: &mut Signals, longest: Duration) -> bool {
    for signal in signals.forever() {
        if signal != SIGUSR1 {
            break;
        }
        eprintln!("{}", invoker.counters);
    }
    std::thread::sleep(STILL_TAKING);
    invoker.drain();
    let settled = invoker.settle(longest + LAST_ANSWERS);
    eprintln!("{}", invoker.counters);
    settled
}

/// The longest time that a client of any class waits, from the settings object.
pub fn longest_deadline(settings: &serde_json::Value) -> Duration {
    let classes = settings["classes"].as_array().map(Vec::as_slice).unwrap_or_default();
    let longest = classes.iter().filter_map(|class| class["giveUpMs"].as_f64()).fold(1000.0, f64::max);
    Duration::from_secs_f64(longest.min(1e9) / 1000.0)
}

/// Figures for worker connections, from the settings object.
pub fn limits(settings: &serde_json::Value, connections: usize) -> Limits {
    let ceiling = |key: &str, default: f64| {
        settings["ceilings"][key].as_f64().filter(|value| *value > 0.0).unwrap_or(default)
    };
    Limits {
        streams: ceiling("streamsPerConn", 32.0) as usize,
        connect: Duration::from_secs_f64(ceiling("connectTimeoutMs", 250.0) / 1000.0),
        // Sooner than the worker's own, so that no request crosses its close.
        idle: Duration::from_secs_f64(ceiling("connIdleMs", 15_000.0) * 0.7 / 1000.0),
        connections,
    }
}
