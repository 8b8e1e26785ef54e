//! What clients and workers record during a soak. Times are in milliseconds since its start.

/// A time in milliseconds since the start of a soak, or a duration in milliseconds.
pub type Millis = f64;

/// The effect of repeating a request of a class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// A repeat has no effect.
    Repeatable,
    /// Workers in the cell of the first attempt drop repeats within the deduplication window.
    Keyed,
    /// A repeat does harm.
    Once,
}

/// Name and repeat effect of each class of a soak.
pub const CLASSES: [(&str, Effect); 3] =
    [("check", Effect::Repeatable), ("post", Effect::Keyed), ("once", Effect::Once)];

/// The outcome of a request as its client sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The client got a worker's answer.
    Served,
    /// The request was refused and is safe to retry.
    Refused,
    /// The client got an error.
    Failed,
}

/// A request as its client recorded it.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// Request id.
    pub id: u64,
    /// Index of the class in [`CLASSES`].
    pub class: usize,
    /// The daemon that the client sent it to.
    pub daemon: usize,
    /// When its last byte was written.
    pub at: Millis,
    /// How long the client waits, in milliseconds.
    pub allowed: Millis,
    /// When the client cancelled it or closed the connection.
    pub abandoned_at: Option<Millis>,
    /// The answers; more than one violates the rules.
    pub ends: Vec<(RequestOutcome, Millis)>,
    /// When the connection ended, unless the client cancelled or closed it first.
    pub disconnected_at: Option<Millis>,
}

/// A request as a worker received it.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Request id.
    pub id: u64,
    /// The worker.
    pub worker: usize,
    /// The worker's cell.
    pub cell: usize,
    /// When the worker had received the whole request.
    pub at: Millis,
    /// The remaining time stated in the request, in milliseconds.
    pub remaining_ms: Millis,
    /// Whether the worker ran it.
    pub was_run: bool,
}

/// A time span that concerns one daemon.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Span {
    /// The daemon.
    pub daemon: usize,
    /// Start of the span.
    pub from: Millis,
    /// End of the span.
    pub to: Millis,
}

/// The moment at which a daemon was notified that a worker drains.
#[derive(Clone, Copy, Debug)]
pub struct DrainNotice {
    /// The worker.
    pub worker: usize,
    /// The daemon that was notified.
    pub daemon: usize,
    /// When the daemon was notified.
    pub notified_at: Millis,
}

/// A worker that was started at the address of another, which was removed from the list.
#[derive(Clone, Copy, Debug)]
pub struct Replacement {
    /// The new worker.
    pub worker: usize,
    /// The daemon that was notified.
    pub daemon: usize,
    /// When the daemon was notified that the other worker is removed.
    pub removed_at: Millis,
    /// When the daemon was notified of the new worker.
    pub announced_at: Millis,
}

/// Everything recorded in a soak.
#[derive(Clone, Debug, Default)]
pub struct Records {
    /// Requests, recorded by clients.
    pub requests: Vec<ClientRequest>,
    /// Requests, recorded by workers.
    pub arrivals: Vec<Arrival>,
    /// When daemons were stopped with SIGSTOP.
    pub paused: Vec<Span>,
    /// Daemons that were killed without SIGTERM first, and when.
    pub killed: Vec<(usize, Millis)>,
    /// Daemons that exited by themselves, and when.
    pub crashed: Vec<(usize, Millis)>,
    /// Drain notifications.
    pub drained: Vec<DrainNotice>,
    /// Workers at the address of a removed one.
    pub replacements: Vec<Replacement>,
    /// Deduplication window of the keyed class, in milliseconds.
    pub window: Millis,
    /// When the soak ended.
    pub ended: Millis,
}
