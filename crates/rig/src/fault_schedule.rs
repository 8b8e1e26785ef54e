//! How an emulated worker behaves over time: drawn from a seed, the same in every run.
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// How long a behaviour lasts before the next one is drawn.
const PERIOD: Duration = Duration::from_secs(5);

/// What a worker does with the calls of one period.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Behaviour {
    /// It serves.
    Healthy,
    /// It serves, slower by this factor.
    Slow(f64),
    /// It runs the call and says nothing.
    Silent,
    /// It runs the call and breaks the connection.
    ResettingConnection,
    /// It runs the call and answers with bytes that are no response.
    AnsweringGarbage,
    /// It answers with an error.
    Failing,
}

/// Draws the behaviour of each worker in each period.
#[derive(Clone, Copy, Debug)]
pub struct FaultSchedule {
    /// The seed of the random numbers.
    pub seed: u64,
    /// The part of a worker's periods in which it is not healthy, from 0 to 1.
    pub fault_rate: f64,
}

impl FaultSchedule {
    /// The behaviour of a worker at a time after the start.
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
