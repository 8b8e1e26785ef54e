//! Counts final answers by kind.
use super::Answer;
use crate::state::counters::Counters;

impl Counters {
    /// Counts the final answer of a request.
    pub fn answered(&self, answer: &Answer) {
        match answer {
            Answer::Served { .. } => self.served.increment(),
            Answer::Refused { .. } => self.refused.increment(),
            Answer::Failed(_) => self.failed.increment(),
            Answer::Withdrawn => self.withdrawn.increment(),
        }
    }
}
