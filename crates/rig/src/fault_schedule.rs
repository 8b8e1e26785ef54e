//! The behaviour of emulated workers over time, drawn from a seed and therefore the same in every run.
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// Time after which a worker's next behaviour is drawn.
const PERIOD: Duration = Duration::from_secs(5);

/// How a worker treats its calls during one period.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Behaviour {
    /// Serves calls normally.
    Healthy,
    /// Serves calls, slower by this factor.
    Slow(f64),
    /// Runs the call and sends no answer.
    Silent,
    /// Runs the call and closes the connection.
    ResettingConnection,
    /// Runs the call and answers with bytes that are not a valid response.
    AnsweringGarbage,
    /// Answers with an error.
    Failing,
}

/// Draws the behaviour of each worker in each period.
#[derive(Clone, Copy, Debug)]
pub struct FaultSchedule {
    /// Seed of the random numbers.
    pub seed: u64,
    /// Fraction of the periods in which a worker is not healthy, from 0 to 1.
    pub fault_rate: f64,
}

impl FaultSchedule {
    /// Returns the behaviour of a worker at a time since the start.
    pub fn behaviour(&self, worker: usize, since_start: Duration) -> Behaviour {
        let period = since_start.as_millis() / PERIOD.as_millis();
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed ^ ((worker as u64) << 32) ^ period as u64);
        if rng.random::<f64>() >= self.fault_rate {
            return Behaviour::Healthy;
        }
        match rng.random_range(0..5) {
            0 => Behaviour::Slow(rng.random_range(3.0..8.0)),
            1 => Behaviour::Silent,
            2 => Behaviour::ResettingConnection,
            3 => Behaviour::AnsweringGarbage,
            _ => Behaviour::Failing,
        }
    }
}

#[cfg(test)]
mod tests;
