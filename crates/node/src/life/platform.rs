//! The daemon on the platform: start, service, drain.
use super::config::{ConfigError, Platform, Source};
use super::{accounts, spawn};
use crate::core::{now_ms, Invoker};
use crate::wire::accept::{accept, Guests, House};
use crate::wire::channel::{self, Line};
use crate::wire::frames::MAX_BODY;
use crate::wire::workers::{FrameWorkers, Limits};
use crate::wire::{front, operators};
use corkbay_duty::{Leave, Terms};
use corkbay_ledger::{Ledger, Purpose};
use may::net::TcpListener;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1};
use signal_hook::iterator::Signals;
use std::sync::Arc;
use std::time::Duration;

/// Words of a coroutine's stack: 128 KiB of address space, of which only what is touched is memory.
const STACK_WORDS: usize = 0x4000;
/// After SIGTERM connections go on coming for up to 0.4 s and requests on open ones for 0.2 s more; what comes
/// later than this is lost if it has no answer when SIGKILL comes, so it is refused.
const STILL_TAKING: Duration = Duration::from_millis(700);
const ENDING: Terms =
    Terms { let_go: STILL_TAKING.as_millis() as f64, refuse: STILL_TAKING.as_millis() as f64, gone: None };
/// How often connections are looked at that are to be let go.
const LET_GO_LOOK: Duration = Duration::from_millis(20);
/// SIGKILL comes no sooner than the longest deadline after that, which counts as this at most.
const LONGEST_COUNTED: Duration = Duration::from_secs(3);
/// What is still owed so long before SIGKILL is ended.
const LAST_ANSWERS: Duration = Duration::from_millis(250);
/// Descriptors for all but clients and workers: the program's own, and second ones of connections whose
/// other side reads too slowly.
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
    may::config().set_workers(1).set_stack_size(STACK_WORDS).set_worker_pin(false);
}

/// Serves until a signal ends it and nothing is owed; true if all was answered.
pub fn run(config: Platform, source: &Source) -> Result<bool, ConfigError> {
    let mut signals = signals()?;
    let (clients, to_workers) = connections(config.sockets);
    let base = accounts::measured_base();
    let budget = accounts::platform_budget(config.memory_mb, base)?;
    let ledger = Arc::new(Ledger::new(&budget, &accounts::tenants(&config.settings)));
    let to_workers = limits(&config.settings, to_workers, MAX_BODY);
    let workers = FrameWorkers::new(to_workers, ledger.account(Purpose::Workers).clone());
    let invoker = Invoker::new(&config.settings, config.seed, Arc::new(workers), ledger.clone());
    accounts::watch(&invoker);
    for news in config.known {
        news.tell(&invoker, true);
    }
    let listener = TcpListener::bind(config.listen).map_err(|error| ConfigError::new("listen", error))?;
    if let Some(admin) = config.admin {
        let listener = TcpListener::bind(admin).map_err(|error| ConfigError::new("admin", error))?;
        let (ours, account) = (invoker.clone(), ledger.account(Purpose::Operators).clone());
        let house = House { most: operators::SEATS, stall: operators::WRITE_STALL, account };
        spawn(move || {
            accept(&listener, &house, &Guests::default(), move |guest| operators::serve(&ours, &guest))
        });
    }
    let (ours, line, cursor) = (invoker.clone(), Line::new(config.channel), config.cursor);
    let reload = {
        let (line, listen, settings) = (line.clone(), config.listen, config.settings.clone());
        let admin = config.admin;
        let ledger = ledger.clone();
        move || {
            let next = source.read()?;
            ledger.adopt(&accounts::platform_budget(next.memory_mb, base)?);
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
    spawn(move || channel::follow(&ours, &line, cursor));
    let ours = invoker.clone();
    let account = ledger.account(Purpose::Clients).clone();
    let house = House { most: clients, stall: front::WRITE_STALL, account };
    let guests = Guests::default();
    let theirs = guests.clone();
    spawn(move || accept(&listener, &house, &theirs, move |guest| front::serve(&ours, guest)));
    let ours = invoker.clone();
    spawn(move || let_go(&ours, &guests));
    let longest = longest_deadline(&config.settings).min(LONGEST_COUNTED);
    Ok(serve_until_signalled(&invoker, &mut signals, reload, longest.saturating_sub(LAST_ANSWERS)))
}

/// Lets the connections of clients go whenever they are left, for as long as the process lives.
fn let_go(invoker: &Invoker, guests: &Guests) {
    loop {
        invoker.wait_for_leave();
        if invoker.duty().lets_go(now_ms()) {
            guests.let_go();
        }
        may::coroutine::sleep(LET_GO_LOOK);
    }
}

/// The signals that are heeded; those that come from here on are not lost.
pub fn signals() -> Result<Signals, ConfigError> {
    Signals::new([SIGTERM, SIGINT, SIGHUP, SIGUSR1]).map_err(|error| ConfigError::new("signals", error))
}

/// Waits for signals on the main thread: SIGHUP reloads, SIGUSR1 prints the counters, any other ends the
/// process. Then requests are taken for a little longer, and what was taken has `owed` to end by itself.
pub fn serve_until_signalled(
    invoker: &Arc<Invoker>,
    signals: &mut Signals,
    reload: impl Fn() -> Result<(), ConfigError>,
    owed: Duration,
) -> bool {
    for signal in signals.forever() {
        match signal {
            SIGUSR1 => {
                tracing::info!("{}", invoker.counters);
                accounts::log(invoker);
            }
            SIGHUP => match reload() {
                Ok(()) => tracing::info!("reloaded"),
                Err(error) => tracing::error!(%error, "reload: the old configuration is kept"),
            },
            _ => break,
        }
    }
    invoker.leave(Leave::Ending, ENDING);
    std::thread::sleep(STILL_TAKING);
    let settled = invoker.settle(owed) || {
        invoker.end_all();
        invoker.settle(LAST_ANSWERS / 2)
    };
    tracing::info!("{}", invoker.counters);
    settled
}

/// The longest time that a client of any class waits, from the settings object.
pub fn longest_deadline(settings: &serde_json::Value) -> Duration {
    let classes = settings["classes"].as_array().map(Vec::as_slice).unwrap_or_default();
    let longest = classes.iter().filter_map(|class| class["giveUpMs"].as_f64()).fold(1000.0, f64::max);
    Duration::from_secs_f64(longest.min(1e9) / 1000.0)
}

/// Figures for worker connections, from the settings object; `answer` is the largest body of an answer.
pub fn limits(settings: &serde_json::Value, connections: usize, answer: usize) -> Limits {
    let ceiling = |key: &str, default: f64| {
        settings["ceilings"][key].as_f64().filter(|value| *value > 0.0).unwrap_or(default)
    };
    Limits {
        streams: ceiling("streamsPerConn", 32.0) as usize,
        connect: Duration::from_secs_f64(ceiling("connectTimeoutMs", 250.0) / 1000.0),
        // Sooner than the worker's own, so that no request crosses its close.
        idle: Duration::from_secs_f64(ceiling("connIdleMs", 15_000.0) * 0.7 / 1000.0),
        connections,
        answer,
    }
}
