//! Rolling maintenance: drain these workers, so many at a time and never more than a part of a zone, wait until each is
//! empty, wait until it is back and warm, go on.
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// How far a worker's maintenance has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Nothing was done yet.
    Waiting,
    /// It is told to take no more calls.
    Draining,
    /// No call is out there: it may be worked on.
    Empty,
    /// It is back, takes calls, and is not warm yet.
    Warming,
    /// It is back and warm.
    Done,
    /// It was let back unworked on, for the job was aborted, or was never touched.
    LetBack,
}

impl Phase {
    /// Whether the fleet lacks it, in whole or in part, on behalf of the job.
    pub fn is_out(self) -> bool {
        matches!(self, Phase::Draining | Phase::Empty | Phase::Warming)
    }

    fn is_over(self) -> bool {
        matches!(self, Phase::Done | Phase::LetBack)
    }
}

/// What the operators want of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Wish {
    /// To go on.
    Run,
    /// To begin with no other worker; those that are out come back as usual.
    Pause,
    /// To let back at once whatever is out. It is final.
    Abort,
}

/// What changes a job, once it was agreed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Event {
    /// A worker enters a phase.
    Enters {
        /// The worker.
        worker: String,
        /// The phase.
        phase: Phase,
    },
    /// The operators want something else.
    Wishes(Wish),
}

/// An event that does not fit; the job is as it was.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[serde(rename_all = "snake_case")]
pub enum Refused {
    /// The job has no such worker.
    #[error("no such worker")]
    Unknown,
    /// The worker is not where it would have to be: another owner was faster, or this one is late.
    #[error("the worker is elsewhere by now")]
    OutOfTurn,
    /// As many workers are out as may be.
    #[error("as many workers are out as may be")]
    Bound,
    /// The job does not run.
    #[error("the job does not run")]
    NotRunning,
}

/// Why there can be no such job.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Impossible {
    /// No worker is named.
    #[error("no worker is named")]
    Nothing,
    /// None may be out at a time.
    #[error("at_once must be 1 or more")]
    NoneAtOnce,
    /// The part of a zone is less than one of its workers.
    #[error("zone {zone} has {size} workers, of which {percent}% is less than one")]
    Zone {
        /// The zone.
        zone: String,
        /// Its workers.
        size: u32,
        /// The part.
        percent: u8,
    },
}

/// A worker as its owner sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Seen {
    /// Calls that are out there, of all nodes; none if that is not known.
    pub out: Option<u32>,
    /// It was started anew since it was drained, and answers.
    pub back: bool,
    /// It is warm.
    pub warm: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct Place {
    zone: String,
    phase: Phase,
}

/// One job: a pure function of its events in their order.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Job {
    workers: BTreeMap<String, Place>,
    /// How many workers each zone has, those that the job does not name included.
    zones: BTreeMap<String, u32>,
    at_once: u32,
    percent: u8,
    wish: Wish,
}

impl Job {
    /// A job over workers with their zones; `zones` tells how many workers each zone has in all.
    ///
    /// # Errors
    /// See [`Impossible`].
    pub fn new(
        workers: impl IntoIterator<Item = (String, String)>,
        zones: BTreeMap<String, u32>,
        at_once: u32,
        percent: u8,
    ) -> Result<Self, Impossible> {
        let place = |(name, zone)| (name, Place { zone, phase: Phase::Waiting });
        let job = Job {
            workers: workers.into_iter().map(place).collect(),
            zones,
            at_once,
            percent,
            wish: Wish::Run,
        };
        if job.workers.is_empty() {
            return Err(Impossible::Nothing);
        }
        if at_once == 0 {
            return Err(Impossible::NoneAtOnce);
        }
        match job.workers.values().find(|place| job.bound(&place.zone) == 0) {
            Some(Place { zone, .. }) => Err(Impossible::Zone {
                zone: zone.clone(),
                size: job.zones.get(zone).copied().unwrap_or(0),
                percent,
            }),
            None => Ok(job),
        }
    }

    /// How many workers of a zone may be out.
    pub fn bound(&self, zone: &str) -> u32 {
        self.zones.get(zone).map_or(0, |size| size * u32::from(self.percent.min(100)) / 100)
    }

    /// Workers that are out, of one zone or of all.
    pub fn out(&self, zone: Option<&str>) -> u32 {
        let counts = |place: &&Place| place.phase.is_out() && zone.is_none_or(|zone| zone == place.zone);
        self.workers.values().filter(counts).count() as u32
    }

    /// The workers, with how far each has come.
    pub fn phases(&self) -> impl Iterator<Item = (&str, Phase)> {
        self.workers.iter().map(|(name, place)| (name.as_str(), place.phase))
    }

    /// What the operators want.
    pub fn wish(&self) -> Wish {
        self.wish
    }

    /// Whether nothing is left to do.
    pub fn is_over(&self) -> bool {
        self.workers.values().all(|place| place.phase.is_over())
    }

    /// Carries an agreed event out.
    ///
    /// # Errors
    /// See [`Refused`]; nothing has changed then.
    pub fn apply(&mut self, event: &Event) -> Result<(), Refused> {
        match event {
            Event::Wishes(_) if self.wish == Wish::Abort || self.is_over() => Err(Refused::NotRunning),
            Event::Wishes(wish) => {
                self.wish = *wish;
                Ok(())
            }
            Event::Enters { worker, phase } => {
                let place = self.workers.get(worker).ok_or(Refused::Unknown)?;
                let fits = match (place.phase, phase) {
                    (Phase::Waiting, Phase::Draining) => {
                        self.may_begin(&place.zone)?;
                        true
                    }
                    (Phase::Draining, Phase::Empty) | (Phase::Empty, Phase::Warming) => {
                        self.wish != Wish::Abort
                    }
                    (Phase::Warming, Phase::Done) => true,
                    (Phase::Waiting | Phase::Draining | Phase::Empty, Phase::LetBack) => {
                        self.wish == Wish::Abort
                    }
                    _ => false,
                };
                if !fits {
                    return Err(Refused::OutOfTurn);
                }
                self.workers.entry(worker.clone()).and_modify(|place| place.phase = *phase);
                Ok(())
            }
        }
    }

    fn may_begin(&self, zone: &str) -> Result<(), Refused> {
        if self.wish != Wish::Run {
            return Err(Refused::NotRunning);
        }
        let full = self.out(None) >= self.at_once || self.out(Some(zone)) >= self.bound(zone);
        if full {
            Err(Refused::Bound)
        } else {
            Ok(())
        }
    }

    /// What is due, by what the owner sees of the fleet; to be agreed in this order. `lacking` tells how many workers of
    /// a zone are missing for reasons of their own: the job waits for them.
    pub fn next(&self, seen: impl Fn(&str) -> Seen, lacking: impl Fn(&str) -> u32) -> Vec<Event> {
        // What is let back or done makes room for the next only once that was agreed.
        let mut then = self.clone();
        let mut events = Vec::new();
        for (worker, place) in &self.workers {
            let Seen { out, back, warm } = seen(worker);
            let phase = match place.phase {
                Phase::Waiting | Phase::Draining | Phase::Empty if self.wish == Wish::Abort => Phase::LetBack,
                Phase::Draining if out == Some(0) => Phase::Empty,
                Phase::Empty if back => Phase::Warming,
                Phase::Warming if warm => Phase::Done,
                _ => continue,
            };
            events.push(Event::Enters { worker: worker.clone(), phase });
        }
        for (worker, place) in self.workers.iter().filter(|(_, place)| place.phase == Phase::Waiting) {
            let event = Event::Enters { worker: worker.clone(), phase: Phase::Draining };
            let room = then.out(Some(&place.zone)) + lacking(&place.zone) < then.bound(&place.zone);
            if room && then.apply(&event).is_ok() {
                events.push(event);
            }
        }
        events
    }
}
