//! Rolling maintenance: drains a limited number of workers at a time, and never more than a given percentage of
//! a zone. Waits until each is empty, then until it has restarted and is warm, and goes on with the next.
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The maintenance phase of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Maintenance has not started.
    Waiting,
    /// The worker is told to take no more calls.
    Draining,
    /// The worker has no outstanding calls and may be worked on.
    Empty,
    /// The worker has restarted and takes calls, but is not warm yet.
    Warming,
    /// The worker has restarted and is warm.
    Done,
    /// The job was aborted: the worker was returned to service without maintenance, or never drained.
    LetBack,
}

impl Phase {
    /// Whether the job takes the worker out of service, in whole or in part.
    pub fn is_out_of_service(self) -> bool {
        matches!(self, Phase::Draining | Phase::Empty | Phase::Warming)
    }

    fn is_over(self) -> bool {
        matches!(self, Phase::Done | Phase::LetBack)
    }
}

/// The state that the operators want a job to be in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DesiredState {
    /// Run, or resume.
    Run,
    /// Start no further worker; those that are out of service are finished as usual.
    Pause,
    /// Return workers that wait, drain or are empty to service at once. This is final.
    Abort,
}

/// A change of a job, applied once it is committed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Event {
    /// A worker enters a phase.
    Enters {
        /// The worker's name.
        worker: String,
        /// The new phase.
        phase: Phase,
    },
    /// The operators set another desired state.
    Wishes(DesiredState),
}

/// Why an event was rejected; the job is unchanged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[serde(rename_all = "snake_case")]
pub enum Refused {
    /// The job or worker does not exist.
    #[error("no such job or worker")]
    Unknown,
    /// The event does not follow from the current state: another owner was faster, or the proposing owner acted
    /// on an old state.
    #[error("the event does not follow from the current state")]
    OutOfTurn,
    /// The limit of workers out of service, overall or for the zone, is reached.
    #[error("the limit of workers out of service is reached")]
    Bound,
    /// The job is paused, aborted or finished.
    #[error("the job is not running")]
    NotRunning,
}

/// Why a job cannot be created.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidJob {
    /// The job has no workers.
    #[error("the job names no workers")]
    NoWorkers,
    /// The maximum number of workers out of service is 0.
    #[error("at_once must be 1 or more")]
    ZeroAtOnce,
    /// The permitted percentage of a zone is less than one worker.
    #[error("zone {zone} has {size} workers, of which {percent}% is less than one")]
    ZoneTooSmall {
        /// The zone.
        zone: String,
        /// Number of workers in the zone.
        size: u32,
        /// Maximum percentage of the zone's workers out of service.
        percent: u8,
    },
}

/// A worker's status as observed by the job's owner.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkerStatus {
    /// Calls outstanding on the worker, summed over all nodes; `None` if unknown.
    pub outstanding_calls: Option<u32>,
    /// The worker has restarted since it was drained, and answers.
    pub restarted: bool,
    /// The worker is warm.
    pub warm: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct WorkerState {
    zone: String,
    phase: Phase,
}

/// One maintenance job; its state depends only on the sequence of applied events.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Job {
    workers: BTreeMap<String, WorkerState>,
    /// Total number of workers per zone, including those that the job does not name.
    zones: BTreeMap<String, u32>,
    at_once: u32,
    percent: u8,
    wish: DesiredState,
}

impl Job {
    /// Creates a job for `workers`, given as pairs of name and zone. `zones` has the total number of workers
    /// per zone, `at_once` is the maximum number of workers out of service, and `percent` the maximum
    /// percentage of a zone.
    ///
    /// # Errors
    /// See [`InvalidJob`].
    pub fn new(
        workers: impl IntoIterator<Item = (String, String)>,
        zones: BTreeMap<String, u32>,
        at_once: u32,
        percent: u8,
    ) -> Result<Self, InvalidJob> {
        let state = |(name, zone)| (name, WorkerState { zone, phase: Phase::Waiting });
        let job = Job {
            workers: workers.into_iter().map(state).collect(),
            zones,
            at_once,
            percent,
            wish: DesiredState::Run,
        };
        if job.workers.is_empty() {
            return Err(InvalidJob::NoWorkers);
        }
        if at_once == 0 {
            return Err(InvalidJob::ZeroAtOnce);
        }
        match job.workers.values().find(|state| job.zone_limit(&state.zone) == 0) {
            Some(WorkerState { zone, .. }) => Err(InvalidJob::ZoneTooSmall {
                zone: zone.clone(),
                size: job.zones.get(zone).copied().unwrap_or(0),
                percent,
            }),
            None => Ok(job),
        }
    }

    /// Maximum number of a zone's workers that may be out of service.
    pub fn zone_limit(&self, zone: &str) -> u32 {
        self.zones.get(zone).map_or(0, |size| size * u32::from(self.percent.min(100)) / 100)
    }

    /// Number of workers out of service, in one zone or overall.
    pub fn out_of_service(&self, zone: Option<&str>) -> u32 {
        let is_counted = |state: &&WorkerState| {
            state.phase.is_out_of_service() && zone.is_none_or(|zone| zone == state.zone)
        };
        self.workers.values().filter(is_counted).count() as u32
    }

    /// Iterates over the workers and their phases.
    pub fn phases(&self) -> impl Iterator<Item = (&str, Phase)> {
        self.workers.iter().map(|(name, state)| (name.as_str(), state.phase))
    }

    /// Returns the state that the operators want.
    pub fn desired_state(&self) -> DesiredState {
        self.wish
    }

    /// Whether every worker is finished.
    pub fn is_over(&self) -> bool {
        self.workers.values().all(|state| state.phase.is_over())
    }

    /// Applies a committed event.
    ///
    /// # Errors
    /// See [`Refused`]; the job is then unchanged.
    pub fn apply(&mut self, event: &Event) -> Result<(), Refused> {
        match event {
            Event::Wishes(_) if self.wish == DesiredState::Abort || self.is_over() => {
                Err(Refused::NotRunning)
            }
            Event::Wishes(wish) => {
                self.wish = *wish;
                Ok(())
            }
            Event::Enters { worker, phase } => {
                let state = self.workers.get(worker).ok_or(Refused::Unknown)?;
                let is_allowed = match (state.phase, phase) {
                    (Phase::Waiting, Phase::Draining) => {
                        self.check_limits(&state.zone)?;
                        true
                    }
                    (Phase::Draining, Phase::Empty) | (Phase::Empty, Phase::Warming) => {
                        self.wish != DesiredState::Abort
                    }
                    (Phase::Warming, Phase::Done) => true,
                    (Phase::Waiting | Phase::Draining | Phase::Empty, Phase::LetBack) => {
                        self.wish == DesiredState::Abort
                    }
                    _ => false,
                };
                if !is_allowed {
                    return Err(Refused::OutOfTurn);
                }
                self.workers.entry(worker.clone()).and_modify(|state| state.phase = *phase);
                Ok(())
            }
        }
    }

    fn check_limits(&self, zone: &str) -> Result<(), Refused> {
        if self.wish != DesiredState::Run {
            return Err(Refused::NotRunning);
        }
        let full = self.out_of_service(None) >= self.at_once
            || self.out_of_service(Some(zone)) >= self.zone_limit(zone);
        if full {
            Err(Refused::Bound)
        } else {
            Ok(())
        }
    }

    /// Returns the events that are due, given the status of the workers; commit them in this order.
    /// `unavailable` returns the number of a zone's workers that are missing for other reasons; they count
    /// against the zone's limit.
    pub fn next_events(
        &self,
        worker_status: impl Fn(&str) -> WorkerStatus,
        unavailable: impl Fn(&str) -> u32,
    ) -> Vec<Event> {
        // A worker that is done or let back frees its slot only once that event is committed.
        let mut projected = self.clone();
        let mut events = Vec::new();
        for (worker, state) in &self.workers {
            let WorkerStatus { outstanding_calls, restarted, warm } = worker_status(worker);
            let phase = match state.phase {
                Phase::Waiting | Phase::Draining | Phase::Empty if self.wish == DesiredState::Abort => {
                    Phase::LetBack
                }
                Phase::Draining if outstanding_calls == Some(0) => Phase::Empty,
                Phase::Empty if restarted => Phase::Warming,
                Phase::Warming if warm => Phase::Done,
                _ => continue,
            };
            events.push(Event::Enters { worker: worker.clone(), phase });
        }
        for (worker, state) in self.workers.iter().filter(|(_, state)| state.phase == Phase::Waiting) {
            let event = Event::Enters { worker: worker.clone(), phase: Phase::Draining };
            let room = projected.out_of_service(Some(&state.zone)) + unavailable(&state.zone)
                < projected.zone_limit(&state.zone);
            if room && projected.apply(&event).is_ok() {
                events.push(event);
            }
        }
        events
    }
}
