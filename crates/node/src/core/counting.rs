//! Counts final answers by kind.
use super::Answer;
use crate::state::counters::Counters;

impl Counters {
    /// Counts the final answer of a request.
    pub fn answered(&self, answer: &Answer) {
        match answer {
            Answer::Served { .. } => self.served.add(),
            Answer::Refused { .. } => self.refused.add(),
            Answer::Failed(_) => self.failed.add(),
            Answer::Withdrawn => self.withdrawn.add(),
        }
    }
}
