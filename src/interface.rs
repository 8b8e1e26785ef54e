//! The types exchanged between the dispatcher and its host: settings, events and actions.
//! Times are in milliseconds on the host's clock. This module holds no logic.

/// Milliseconds: a time on the host's clock or a duration.
pub type Ms = f64;

/// A worker, numbered by the host; the number is stable for the lifetime of a dispatcher.
#[derive(Default, Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkerId(pub u32);

/// A request; ids are never reused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// A model (a function) that is called.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ModelId(pub u64);

/// A zone, numbered by the host; numbers are not reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneId(pub u64);

/// Where a worker stands, as far as it is known. Decisions that only compare costs treat all workers of an unknown zone as
/// one zone; whether two workers share a record of keyed requests has to be known ([`Location::shares_record`]).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Location {
    /// Its zone; `None` if it is not known.
    pub zone: Option<ZoneId>,
    /// Number of its cell; `None` if it is not known.
    pub cell: Option<u64>,
}

/// The workers that share a record of keyed requests and drop repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// Every worker.
    All,
    /// The workers in the zone of the first attempt's worker.
    Zone,
    /// The workers in the cell of the first attempt's worker.
    Cell,
}

impl Group {
    /// The group's name in settings and logs.
    pub fn name(self) -> &'static str {
        match self {
            Group::All => "all",
            Group::Zone => "zone",
            Group::Cell => "cell",
        }
    }
}

/// The effect of running a request of a class twice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    /// None: the request may be repeated freely.
    Repeatable,
    /// Workers of the group drop repeats for this time (ms) after the first attempt was sent.
    Keyed(Group, Ms),
    /// Harmful: the request must never run twice.
    Unsafe,
}

/// A class of calls.
#[derive(Clone, Debug)]
pub struct Class {
    /// Latency target, in ms: an answer within this time earns the full worth.
    pub aim: Ms,
    /// Worth of a served request.
    pub worth: f64,
    /// Share of the worth that a late answer earns, from 0 to 1.
    pub late_worth: f64,
    /// The effect of a repeated run.
    pub effect: Effect,
}

/// A tenant with a quota of calls.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Quota in calls per second, over all invokers.
    pub quota_per_s: f64,
}

/// What a worker does with a call of a model that it hasn't loaded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MissingModelBehavior {
    /// It loads the model while the call waits there.
    Loads,
    /// It answers [`Outcome::Miss`]; only a load order loads the model.
    Misses,
}

/// Settings of a dispatcher.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The invoker's own zone, if it has one.
    pub zone: Option<ZoneId>,
    /// The host's batch interval, in ms.
    pub tick: Ms,
    /// Number of invokers, including this one.
    pub invokers: u32,
    /// Classes, by index.
    pub classes: Vec<Class>,
    /// Tenants, by index.
    pub tenants: Vec<Tenant>,
    /// Share of its worth that a request over its tenant's quota keeps.
    pub over_share_worth: f64,
    /// Worth is per unit of work rather than per request.
    pub worth_by_work: bool,
    /// Memory of each machine kind, in MB.
    pub kind_memory: Vec<f64>,
    /// Maximum number of attempts per request.
    pub max_attempts: u32,
    /// Attempts may be cancelled.
    pub cancel: bool,
    /// Workers may be probed.
    pub probes: bool,
    /// A request may have two attempts in flight.
    pub second_copies: bool,
    /// Refusals may tell the client when to retry.
    pub retry_after: bool,
    /// Longest retry delay that clients respect, in ms.
    pub max_retry_after: Ms,
    /// The roster is sent only on request.
    pub roster_on_request: bool,
    /// Time after which a roster sent on request is stale, in ms.
    pub roster_max_age: Ms,
    /// Time within which sends to a draining worker must stop, in ms.
    pub drain_grace: Ms,
    /// Lowest share of its capacity that a worker starts with, from 0 to 1.
    pub cold_from: f64,
    /// Time after its start at which a worker is warm, in ms.
    pub cold_span: Ms,
    /// A cold worker fails if it is sent more than this multiple of its present capacity during
    /// `overload_span`.
    pub overload_multiple: f64,
    /// Span over which `overload_multiple` counts, in ms.
    pub overload_span: Ms,
    /// What a worker does with a call of a model that it hasn't loaded.
    pub on_missing_model: MissingModelBehavior,
    /// Load and evict orders are allowed.
    pub load_orders_allowed: bool,
    /// Shortest time for which a worker keeps an idle copy, in ms.
    pub min_idle_keep: Ms,
    /// Load orders allowed per window regardless of requests.
    pub load_quota_base: f64,
    /// Further load orders allowed per request taken in the window.
    pub load_quota_per_request: f64,
    /// Window over which load orders are counted, in ms; 0 for no limit.
    pub load_window: Ms,
    /// Longest time from the decision on a load order until it is sent, in ms; the host drops later ones.
    pub order_lag: Ms,
    /// Answers report whether a loaded copy was found.
    pub reports_warmth: bool,
    /// Price of an attempt in another zone, as a share of a request's worth.
    pub price_cross: f64,
    /// Price of a probe or order, as a share of a request's worth.
    pub price_probe: f64,
    /// Price of a fetch from the model store, as a share of a request's worth.
    pub price_fetch: f64,
}

/// State of a worker in the roster.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerState {
    /// Accepts calls.
    Ready,
    /// Finishes its calls and gets no new ones.
    Draining,
    /// Removed.
    Removed,
}

/// An entry of the roster.
#[derive(Clone, Debug)]
pub struct RosterEntry {
    /// The worker.
    pub worker: WorkerId,
    /// Its name, the same at every invoker.
    pub name: String,
    /// Where it stands.
    pub location: Location,
    /// Index of its machine kind; `None` if the settings do not name it.
    pub kind: Option<usize>,
    /// Whether it accepts calls.
    pub state: WorkerState,
    /// Capacity relative to other workers.
    pub weight: f64,
    /// Time of its last start, in ms; 0 for long ago.
    pub started_at: Ms,
}

/// An update of the roster.
#[derive(Clone, Debug)]
pub enum RosterUpdate {
    /// Changed entries only.
    Changes(Vec<RosterEntry>),
    /// The complete list.
    Complete(Vec<RosterEntry>),
    /// The complete list as stored by an earlier process.
    Stored(Vec<RosterEntry>),
    /// A request for the roster failed.
    Refused,
}

/// A request taken by this invoker.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Index of its class.
    pub class: usize,
    /// Index of its tenant, if any.
    pub tenant: Option<usize>,
    /// The model it calls.
    pub model: ModelId,
    /// Memory of one copy, in MB.
    pub memory: f64,
    /// Number of calls that one copy serves at once.
    pub lanes: f64,
    /// Approximate time of a load, in ms, if known.
    pub load_hint: Option<Ms>,
    /// Approximate CPU time of a call, in ms, if known.
    pub cost_hint: Option<Ms>,
    /// Time at which the client stops waiting, in ms.
    pub expires: Ms,
}

/// The result of an attempt, probe or order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The call was served, the probe passed or the order was carried out.
    Ok,
    /// The worker answered with an error; an attempt may have run.
    Error,
    /// The worker was full and didn't accept it; not run.
    Full,
    /// No answer in time; may have run.
    Timeout,
    /// No connection could be made; not run.
    ConnectFailed,
    /// The connection broke; may have run.
    Reset,
    /// Cancelled; may have run.
    Cancelled,
    /// Never sent; not run.
    Moot,
    /// The model isn't loaded there; not run.
    Miss,
}

impl Outcome {
    /// Whether an attempt with this outcome is known not to have run.
    pub fn proves_not_run(self) -> bool {
        matches!(self, Outcome::Full | Outcome::ConnectFailed | Outcome::Moot | Outcome::Miss)
    }
}

/// What an answer reports about the copy that served it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Warmth {
    /// Nothing was reported.
    Unknown,
    /// A copy was loaded.
    Warm,
    /// The call started a load.
    Loaded,
    /// The call waited for a load that had started before.
    Waited,
    /// The load failed.
    LoadFailed,
}

/// A worker's load report; `None` for values not reported.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// Requests in progress.
    pub inflight: Option<f64>,
    /// Share of memory that can't be freed, from 0 to 1.
    pub pinned: Option<f64>,
    /// Loads in progress or waiting.
    pub loading: Option<f64>,
}

/// The result of an attempt.
#[derive(Clone, Debug)]
pub struct Finished {
    /// The request.
    pub id: RequestId,
    /// The attempt, counted from 0.
    pub attempt: u32,
    /// The worker.
    pub worker: WorkerId,
    /// The request is finished; nothing remains to be done for it.
    pub closed: bool,
    /// The outcome.
    pub outcome: Outcome,
    /// How long it took, in ms.
    pub took: Ms,
    /// What the answer reports about the copy.
    pub warmth: Warmth,
    /// Other calls of the model in progress at the worker, if reported.
    pub concurrent_calls: Option<u32>,
    /// Load report, if any.
    pub report: Option<Report>,
}

/// An event passed from the host to the dispatcher.
#[derive(Clone, Debug)]
pub enum Event {
    /// The roster has changed.
    Roster(RosterUpdate),
    /// A request was taken.
    Request(Request),
    /// The answer of an attempt has started to stream.
    Started {
        /// The request.
        id: RequestId,
    },
    /// An attempt has ended.
    Finished(Finished),
    /// The client no longer waits for the request.
    Withdrawn {
        /// The request.
        id: RequestId,
    },
    /// A timer fired.
    Timer {
        /// The token given in [`Action::Timer`].
        token: u64,
    },
    /// A probe has ended.
    Probed {
        /// The worker.
        worker: WorkerId,
        /// The outcome.
        outcome: Outcome,
        /// How long it took, in ms.
        took: Ms,
        /// Load report, if any.
        report: Option<Report>,
    },
    /// A load order or a query for copies has ended.
    Loaded {
        /// The worker.
        worker: WorkerId,
        /// The model.
        model: ModelId,
        /// The outcome.
        outcome: Outcome,
        /// Number of loaded copies.
        copies: u32,
        /// How long it took, in ms.
        took: Ms,
    },
}

/// The reason why a request was ended unserved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndReason {
    /// Its class isn't in the settings.
    UnknownClass,
    /// Too many answers are late, and other classes are worth more.
    Shed,
    /// No worker knows its model.
    UnknownModel,
    /// The time left until its deadline is too short for an answer.
    NoTime,
    /// It has used all its attempts.
    NoAttempts,
    /// An attempt may have run, and its class does not allow another.
    MayNotRepeat,
    /// An attempt may have run, and the retry budget is used up.
    RetryBudget,
}

impl EndReason {
    /// All reasons.
    pub const ALL: [EndReason; 7] = [
        EndReason::UnknownClass,
        EndReason::Shed,
        EndReason::UnknownModel,
        EndReason::NoTime,
        EndReason::NoAttempts,
        EndReason::MayNotRepeat,
        EndReason::RetryBudget,
    ];

    /// The reason's name in logs and counters.
    pub fn name(self) -> &'static str {
        match self {
            EndReason::UnknownClass => "unknown_class",
            EndReason::Shed => "shed",
            EndReason::UnknownModel => "unknown_model",
            EndReason::NoTime => "no_time",
            EndReason::NoAttempts => "no_attempts",
            EndReason::MayNotRepeat => "may_not_repeat",
            EndReason::RetryBudget => "retry_budget",
        }
    }
}

/// An action that the host is to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt of the request.
    Send {
        /// The request.
        id: RequestId,
        /// The worker.
        worker: WorkerId,
        /// Time limit in ms; 0 for as long as the client waits.
        within: Ms,
    },
    /// End the request unserved; the client may safely retry.
    Refuse {
        /// The request.
        id: RequestId,
        /// Delay in ms after which the client should retry; 0 if none is advised.
        retry_after: Ms,
        /// The reason.
        reason: EndReason,
    },
    /// End the request with an error; it may have run.
    Fail {
        /// The request.
        id: RequestId,
        /// The reason.
        reason: EndReason,
    },
    /// Cancel an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// The attempt, counted from 0.
        attempt: u32,
    },
    /// Probe a worker.
    Probe {
        /// The worker.
        worker: WorkerId,
    },
    /// Order a worker to hold copies of a model; 0 only queries how many are loaded.
    Load {
        /// The worker.
        worker: WorkerId,
        /// The model.
        model: ModelId,
        /// Number of copies.
        copies: u32,
    },
    /// Order a worker to unload the idle copies of a model.
    Evict {
        /// The worker.
        worker: WorkerId,
        /// The model.
        model: ModelId,
    },
    /// Set a timer.
    Timer {
        /// Returned in [`Event::Timer`].
        token: u64,
        /// Delay from now, in ms.
        delay: Ms,
    },
    /// Open a lasting subscription to the roster.
    Subscribe,
}
