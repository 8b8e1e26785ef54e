//! What is agreed on: records by key, leases, and jobs.
use corkbay_jobs::maintenance::{Event, Job, Refused, Wish};
use corkbay_tenure::{Book, Command, Owner, Reply, Stale, Term};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A change that the nodes agree on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// Another value for a key; none removes it.
    Put {
        /// The key.
        key: String,
        /// The value.
        value: Option<String>,
    },
    /// The same on behalf of the fleet, by the holder of a name: refused once its term is over.
    PutUnder {
        /// The name.
        name: String,
        /// Its holder.
        owner: Owner,
        /// The holder's term.
        term: Term,
        /// The key.
        key: String,
        /// The value.
        value: Option<String>,
    },
    /// A change of leases.
    Lease(Command),
    /// A new job, by the operators; refused where one of that name is not over yet.
    Begin {
        /// Its name.
        job: String,
        /// What is to be done.
        plan: Job,
    },
    /// The operators want a job to go on, to pause or to end.
    Wish {
        /// The job.
        job: String,
        /// What they want.
        wish: Wish,
    },
    /// A step of a job, by whoever holds [`lease_of`] it: refused once the term is over.
    Step {
        /// The job.
        job: String,
        /// Its owner.
        owner: Owner,
        /// The owner's term.
        term: Term,
        /// The step.
        event: Event,
    },
}

/// The name of the lease under which a job's steps are taken.
pub fn lease_of(job: &str) -> String {
    format!("job/{job}")
}

/// What became of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Answer {
    /// It was made.
    Done,
    /// It was not made: the term is over.
    Stale(Stale),
    /// What the leases say.
    Lease(Reply),
    /// It does not fit the job as it is by now.
    Refused(Refused),
}

/// The agreed state; a pure function of the changes in their order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registry {
    records: BTreeMap<String, String>,
    leases: Book,
    jobs: BTreeMap<String, Job>,
}

impl Registry {
    /// Makes a change.
    pub fn apply(&mut self, change: Change) -> Answer {
        match change {
            Change::Put { key, value } => self.put(key, value),
            Change::PutUnder { name, owner, term, key, value } => {
                match self.leases.admits(&name, owner, term) {
                    Ok(()) => self.put(key, value),
                    Err(stale) => Answer::Stale(stale),
                }
            }
            Change::Lease(command) => Answer::Lease(self.leases.apply(&command)),
            Change::Begin { job, plan } => match self.jobs.get(&job) {
                Some(known) if !known.is_over() => Answer::Refused(Refused::OutOfTurn),
                _ => {
                    self.jobs.insert(job, plan);
                    Answer::Done
                }
            },
            Change::Wish { job, wish } => self.step(&job, &Event::Wishes(wish)),
            Change::Step { job, owner, term, event } => {
                match self.leases.admits(&lease_of(&job), owner, term) {
                    Ok(()) => self.step(&job, &event),
                    Err(stale) => Answer::Stale(stale),
                }
            }
        }
    }

    fn step(&mut self, job: &str, event: &Event) -> Answer {
        let stepped = self.jobs.get_mut(job).ok_or(Refused::Unknown).and_then(|job| job.apply(event));
        stepped.map_or_else(Answer::Refused, |()| Answer::Done)
    }

    #[cfg(feature = "planted")]
    pub(crate) fn apply_unfenced(&mut self, change: Change) -> Answer {
        match change {
            Change::PutUnder { key, value, .. } => self.put(key, value),
            other => self.apply(other),
        }
    }

    fn put(&mut self, key: String, value: Option<String>) -> Answer {
        match value {
            Some(value) => _ = self.records.insert(key, value),
            None => _ = self.records.remove(&key),
        }
        Answer::Done
    }

    /// The value of a key.
    pub fn get(&self, key: &str) -> Option<&str> {
        self.records.get(key).map(String::as_str)
    }

    /// All records, by key.
    pub fn records(&self) -> impl Iterator<Item = (&str, &str)> {
        self.records.iter().map(|(key, value)| (key.as_str(), value.as_str()))
    }

    /// A job, if there ever was one of that name.
    pub fn job(&self, name: &str) -> Option<&Job> {
        self.jobs.get(name)
    }

    /// All jobs, by name.
    pub fn jobs(&self) -> impl Iterator<Item = (&str, &Job)> {
        self.jobs.iter().map(|(name, job)| (name.as_str(), job))
    }

    /// The leases.
    pub fn leases(&self) -> &Book {
        &self.leases
    }
}
