//! The replicated state machine: key-value records, leases and jobs.
use corkbay_jobs::maintenance::{DesiredState, Event, Job, Refused};
use corkbay_tenure::{Command, LeaseTable, Owner, Reply, Stale, Term};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A change that is replicated through the Raft log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// Sets the value of a key, or removes the key if the value is `None`.
    Put {
        /// The key.
        key: String,
        /// The value.
        value: Option<String>,
    },
    /// Like [`Change::Put`], made on behalf of the whole fleet by the holder of a lease: rejected once its term
    /// is over.
    PutUnder {
        /// The name of the lease.
        name: String,
        /// The lease holder.
        owner: Owner,
        /// The holder's lease term.
        term: Term,
        /// The key.
        key: String,
        /// The value.
        value: Option<String>,
    },
    /// A command on leases.
    Lease(Command),
    /// Starts a job for the operators; rejected if a job of that name has not finished.
    Begin {
        /// The job's name.
        job: String,
        /// The job to start.
        plan: Job,
    },
    /// Sets the state that the operators want the job to be in.
    Wish {
        /// The job's name.
        job: String,
        /// The desired state.
        wish: DesiredState,
    },
    /// Applies an event to a job, proposed by the holder of the lease [`job_lease_name`]: rejected once its
    /// term is over.
    Step {
        /// The job's name.
        job: String,
        /// The owner of the job, which holds its lease.
        owner: Owner,
        /// The owner's lease term.
        term: Term,
        /// The event.
        event: Event,
    },
}

/// The name of the lease that fences the steps of a job.
pub fn job_lease_name(job: &str) -> String {
    format!("job/{job}")
}

/// The result of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Answer {
    /// The change was applied.
    Done,
    /// The change was not applied: the lease term is over.
    Stale(Stale),
    /// The result of a lease command.
    Lease(Reply),
    /// The change was not applied: it does not fit the job's current state.
    Refused(Refused),
}

/// The replicated state; it depends only on the sequence of applied changes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registry {
    records: BTreeMap<String, String>,
    leases: LeaseTable,
    jobs: BTreeMap<String, Job>,
}

impl Registry {
    /// Applies a committed change.
    pub fn apply(&mut self, change: Change) -> Answer {
        match change {
            Change::Put { key, value } => self.put(key, value),
            Change::PutUnder { name, owner, term, key, value } => {
                match self.leases.check_fence(&name, owner, term) {
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
                match self.leases.check_fence(&job_lease_name(&job), owner, term) {
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

    /// Returns the value of a key.
    pub fn get(&self, key: &str) -> Option<&str> {
        self.records.get(key).map(String::as_str)
    }

    /// Iterates over all records, ordered by key.
    pub fn records(&self) -> impl Iterator<Item = (&str, &str)> {
        self.records.iter().map(|(key, value)| (key.as_str(), value.as_str()))
    }

    /// Returns a job by name, finished or not; `None` if none of that name was ever started.
    pub fn job(&self, name: &str) -> Option<&Job> {
        self.jobs.get(name)
    }

    /// Iterates over all jobs, ordered by name.
    pub fn jobs(&self) -> impl Iterator<Item = (&str, &Job)> {
        self.jobs.iter().map(|(name, job)| (name.as_str(), job))
    }

    /// Returns the lease table.
    pub fn leases(&self) -> &LeaseTable {
        &self.leases
    }
}
