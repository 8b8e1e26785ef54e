//! What the counters say of answers.
use super::Answer;
use crate::memory::counters::Counters;

impl Counters {
    /// A request has its final answer.
    pub fn answered(&self, answer: &Answer) {
        match answer {
            Answer::Served { .. } => self.served.add(),
            Answer::Refused { .. } => self.refused.add(),
            Answer::Failed(_) => self.failed.add(),
            Answer::Withdrawn => self.withdrawn.add(),
        }
    }
}
