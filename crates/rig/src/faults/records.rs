//! What clients and workers write down during a soak. Times are milliseconds from its beginning.

/// Milliseconds from the beginning of a soak.
pub type At = f64;

/// What a repeat of a request of a class does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Nothing.
    Repeatable,
    /// The workers of the first one's rack drop it within the window.
    Keyed,
    /// Harm.
    Once,
}

/// The classes of a soak, in the order of their names.
pub const CLASSES: [(&str, Effect); 3] =
    [("check", Effect::Repeatable), ("post", Effect::Keyed), ("once", Effect::Once)];

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// With a worker's answer.
    Served,
    /// Trying again is harmless.
    Refused,
    /// With an error.
    Failed,
}

/// A request as its client knows it.
#[derive(Clone, Debug)]
pub struct Asked {
    /// Its id.
    pub id: u64,
    /// Its place in [`CLASSES`].
    pub class: usize,
    /// Which daemon it went to.
    pub daemon: usize,
    /// When its last byte was written.
    pub at: At,
    /// How long its client waits.
    pub allowed: At,
    /// When its client took it back or closed the connection.
    pub gone_at: Option<At>,
    /// Its ends; more than one is a break.
    pub ends: Vec<(End, At)>,
    /// When its connection ended, if it did so before the client left.
    pub broken_at: Option<At>,
}

/// A request as a worker got it.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Its id.
    pub id: u64,
    /// The worker.
    pub worker: usize,
    /// The worker's rack.
    pub rack: usize,
    /// When it had come whole.
    pub at: At,
    /// The time that it was told to have left.
    pub left: At,
    /// Whether it was carried out.
    pub ran: bool,
}

/// A span of time of one daemon.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Span {
    /// Which daemon.
    pub daemon: usize,
    /// Its beginning.
    pub from: At,
    /// Its end.
    pub to: At,
}

/// A worker that was said to take no more work.
#[derive(Clone, Copy, Debug)]
pub struct Drained {
    /// The worker.
    pub worker: usize,
    /// The daemon that was told.
    pub daemon: usize,
    /// When.
    pub told_at: At,
}

/// All of it.
#[derive(Clone, Debug, Default)]
pub struct Records {
    /// By clients.
    pub asked: Vec<Asked>,
    /// By workers.
    pub arrivals: Vec<Arrival>,
    /// When daemons stood still.
    pub paused: Vec<Span>,
    /// Daemons that were killed without a word.
    pub killed: Vec<(usize, At)>,
    /// Daemons that ended though nobody asked them to.
    pub crashed: Vec<(usize, At)>,
    /// Workers that were said to take no more work.
    pub drained: Vec<Drained>,
    /// The window of the keyed class.
    pub window: At,
    /// When the soak ended.
    pub ended: At,
}
