//! The vocabulary shared by the dispatcher and its host: settings, events and actions.
//! Times are milliseconds on the host's clock; nothing here decides anything.

/// Milliseconds, as a point on the host's clock or as a span.
pub type Ms = f64;

/// A worker, numbered by the host; the number is stable for the life of one dispatcher.
#[derive(Default, Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkerId(pub u32);

/// A request; never reused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// A model that calls name.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ModelId(pub u64);

/// Which workers drop repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// Every worker.
    All,
    /// Those in the zone of the first attempt's worker.
    Zone,
    /// Those in the cell of the first attempt's worker.
    Cell,
}

/// What running a request of a class twice would do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    /// Nothing: it may be repeated freely.
    Repeatable,
    /// Workers of the group drop repeats for so long after the first send.
    Keyed(Group, Ms),
    /// Harm: it must never run twice.
    Unsafe,
}

/// One class of call.
#[derive(Clone, Debug)]
pub struct Class {
    /// An answer within this span earns the full worth.
    pub aim: Ms,
    /// Worth of a served request.
    pub worth: f64,
    /// Share of the worth that a late answer still earns.
    pub late_worth: f64,
    /// What a repeat would do.
    pub effect: Effect,
}

/// One customer with a share of the service.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Calls a second, over all front ends, within its share.
    pub quota_per_s: f64,
}

/// What a worker does with a call of a model it does not hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lacking {
    /// It loads the model while the call waits there.
    Loads,
    /// It answers [`Outcome::Miss`]; only an order loads.
    Misses,
}

/// Everything a dispatcher is told at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Index of the front end's own zone.
    pub zone: usize,
    /// The host's batch interval.
    pub tick: Ms,
    /// Front ends in all, this one included.
    pub front_ends: u32,
    /// Classes, in the order of their numbers.
    pub classes: Vec<Class>,
    /// Tenants, in the order of their numbers.
    pub tenants: Vec<Tenant>,
    /// Part of its worth that a request beyond its tenant's share keeps.
    pub over_share_worth: f64,
    /// Worth counts by work rather than by request.
    pub worth_by_work: bool,
    /// Memory of each machine kind, MB.
    pub kind_memory: Vec<f64>,
    /// Most attempts for one request.
    pub max_attempts: u32,
    /// Attempts may be called off.
    pub cancel: bool,
    /// Workers may be probed.
    pub probes: bool,
    /// A request may have two attempts out.
    pub second_copies: bool,
    /// Refusals may carry advice when to come again.
    pub retry_after: bool,
    /// Longest advice that clients heed.
    pub max_retry_after: Ms,
    /// The roster comes only when asked for.
    pub roster_on_request: bool,
    /// A roster that must be asked for goes stale after this.
    pub ask_within: Ms,
    /// Time in which sends to a draining worker must end.
    pub drain_grace: Ms,
    /// A worker starts at this share of its capacity or more.
    pub cold_from: f64,
    /// It is warm after this.
    pub cold_span: Ms,
    /// Sent more than this multiple of its present capacity ...
    pub fall_multiple: f64,
    /// ... for this span, a cold worker falls over.
    pub fall_span: Ms,
    /// What a worker does with a model it lacks.
    pub lacking: Lacking,
    /// Load and evict orders are allowed.
    pub orders: bool,
    /// Least time for which an idle copy is kept.
    pub keep: Ms,
    /// Load orders always allowed in the window.
    pub load_free: f64,
    /// Further load orders for each request taken in the window.
    pub load_share: f64,
    /// Window for counting load orders; 0 for no limit.
    pub load_window: Ms,
    /// Longest time from an order's decision until it goes out; the host gives up one that would go later.
    pub order_lag: Ms,
    /// Answers tell whether a loaded copy was found.
    pub tells_warm: bool,
    /// Price of one attempt that crosses zones, as a share of a request's worth.
    pub price_cross: f64,
    /// Price of one probe or order, likewise.
    pub price_probe: f64,
    /// Price of one fetch from the store, likewise.
    pub price_fetch: f64,
}

/// State of a worker in the roster.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Takes work.
    Ready,
    /// Finishes its work; nothing new goes there.
    Draining,
    /// Removed.
    Gone,
}

/// One line of the roster.
#[derive(Clone, Debug)]
pub struct RosterEntry {
    /// The worker.
    pub worker: WorkerId,
    /// Its name, the same at every front end.
    pub name: String,
    /// Index of its zone.
    pub zone: usize,
    /// Index of its machine kind.
    pub kind: usize,
    /// Its cell.
    pub cell: i64,
    /// Whether it takes work.
    pub standing: Standing,
    /// Size in relation to the others.
    pub weight: f64,
    /// When it last started; 0 for long ago.
    pub born: Ms,
}

/// News of the roster.
#[derive(Clone, Debug)]
pub enum Roster {
    /// Changed entries only.
    Changes(Vec<RosterEntry>),
    /// The whole list.
    Whole(Vec<RosterEntry>),
    /// The list as an earlier life last had it.
    Remembered(Vec<RosterEntry>),
    /// A call for it failed.
    Refused,
}

/// A request taken by this front end.
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
    /// Size of one copy, MB.
    pub memory: f64,
    /// Calls at a time in one copy.
    pub lanes: f64,
    /// Rough time of one load, where told.
    pub load_hint: Option<Ms>,
    /// Rough core time, where told.
    pub cost_hint: Option<Ms>,
    /// The client stops waiting at this time.
    pub expires: Ms,
}

/// How an attempt, probe or order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served, passed or standing.
    Ok,
    /// Answered with an error; an attempt may have run.
    Error,
    /// Not taken.
    Full,
    /// No answer in time; may have run.
    Timeout,
    /// No connection; not run.
    ConnectFailed,
    /// Connection broke; may have run.
    Reset,
    /// Called off; may have run.
    Cancelled,
    /// Never sent.
    Moot,
    /// Model not loaded there; not run.
    Miss,
}

impl Outcome {
    /// Whether an attempt that ended so is known not to have run.
    pub fn proves_not_run(self) -> bool {
        matches!(self, Outcome::Full | Outcome::ConnectFailed | Outcome::Moot | Outcome::Miss)
    }
}

/// What an answer says of the copy it met.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Warmth {
    /// Nothing said.
    Untold,
    /// A copy stood loaded.
    Warm,
    /// This call began a load.
    Loaded,
    /// It waited for a load begun before.
    Waited,
    /// The load failed.
    LoadFailed,
}

/// A worker's load report; absent values were not reported.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// Requests in hand.
    pub inflight: Option<f64>,
    /// Share of memory that cannot be freed.
    pub pinned: Option<f64>,
    /// Loads under way or waiting.
    pub loading: Option<f64>,
}

/// The end of an attempt.
#[derive(Clone, Debug)]
pub struct Finished {
    /// The request.
    pub id: RequestId,
    /// Which attempt.
    pub attempt: u32,
    /// The worker.
    pub worker: WorkerId,
    /// Nothing more is owed for the request.
    pub closed: bool,
    /// How it ended.
    pub outcome: Outcome,
    /// How long it took.
    pub took: Ms,
    /// What the answer says of the copy.
    pub warmth: Warmth,
    /// Other calls of the model that the worker held, where told.
    pub crowd: Option<u32>,
    /// Load report, if any.
    pub report: Option<Report>,
}

/// What the host tells the dispatcher.
#[derive(Clone, Debug)]
pub enum Event {
    /// News of the roster.
    Roster(Roster),
    /// A request was taken.
    Request(Request),
    /// The answer of an attempt began to stream.
    Started {
        /// The request.
        id: RequestId,
    },
    /// An attempt is over.
    Finished(Finished),
    /// Nobody waits for the request any more.
    Withdrawn {
        /// The request.
        id: RequestId,
    },
    /// A timer fired.
    Timer {
        /// As given.
        token: u64,
    },
    /// A probe came back.
    Probed {
        /// The worker.
        worker: WorkerId,
        /// How it ended.
        outcome: Outcome,
        /// How long it took.
        took: Ms,
        /// Load report, if any.
        report: Option<Report>,
    },
    /// A load order came back.
    Loaded {
        /// The worker.
        worker: WorkerId,
        /// The model.
        model: ModelId,
        /// How it ended.
        outcome: Outcome,
        /// Copies that stand.
        copies: u32,
        /// How long it took.
        took: Ms,
    },
}

/// Why a request is ended unserved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndReason {
    /// Its class is not among the settings.
    UnknownClass,
    /// Too many answers are late, and its class is worth least.
    Shed,
    /// No worker knows its model.
    UnknownModel,
    /// What is left of its time is too short for an answer.
    NoTime,
    /// It has had as many attempts as it may have.
    NoAttempts,
    /// An attempt may have run, and its class does not allow another.
    MayNotRepeat,
    /// An attempt may have run, and there are too many retries already.
    RetryBudget,
}

impl EndReason {
    /// All of them.
    pub const ALL: [EndReason; 7] = [
        EndReason::UnknownClass,
        EndReason::Shed,
        EndReason::UnknownModel,
        EndReason::NoTime,
        EndReason::NoAttempts,
        EndReason::MayNotRepeat,
        EndReason::RetryBudget,
    ];

    /// Its name in logs and counters.
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

/// What the dispatcher asks of the host.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt of the request.
    Send {
        /// The request.
        id: RequestId,
        /// Where.
        worker: WorkerId,
        /// Give up after this; 0 for as long as the client waits.
        within: Ms,
    },
    /// End it unserved; trying again is harmless.
    Refuse {
        /// The request.
        id: RequestId,
        /// Advice when to come again; 0 for none.
        retry_after: Ms,
        /// Why.
        reason: EndReason,
    },
    /// End it with an error that promises nothing.
    Fail {
        /// The request.
        id: RequestId,
        /// Why.
        reason: EndReason,
    },
    /// Call an attempt off.
    Cancel {
        /// The request.
        id: RequestId,
        /// Which attempt.
        attempt: u32,
    },
    /// Probe a worker.
    Probe {
        /// The worker.
        worker: WorkerId,
    },
    /// Order copies of a model held; 0 only asks how many stand.
    Load {
        /// Where.
        worker: WorkerId,
        /// What.
        model: ModelId,
        /// How many.
        copies: u32,
    },
    /// Have the idle copies of a model unloaded.
    Evict {
        /// Where.
        worker: WorkerId,
        /// What.
        model: ModelId,
    },
    /// Set a timer.
    Timer {
        /// Comes back as given.
        token: u64,
        /// How long from now.
        delay: Ms,
    },
    /// Open a standing subscription to the roster.
    Subscribe,
}
