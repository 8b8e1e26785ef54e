//! The arrivals of a load run, drawn from a seed: time, function, style (held or deferred), key and body size of each call.
//!
//! The load is open-loop: arrivals don't wait for answers, so a slow answer delays no later arrival and no delay is hidden.
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, Zipf};
use std::time::Duration;

/// The tenants of the emulated deployment with their shares of the functions and quotas.
pub const TENANTS: [(&str, f64); 3] = [("regie-desk", 0.55), ("amana-credit", 0.34), ("tadla-coop", 0.11)];

/// Parameters of the offered load.
#[derive(Clone, Copy, Debug)]
pub struct OfferedLoad {
    /// Arrivals per second.
    pub rate: f64,
    /// Number of functions that are called, per class.
    pub functions: usize,
    /// Exponent of the Zipf distribution of their popularity.
    pub skew: f64,
    /// Interval at which other functions become the most popular ones.
    pub popularity_shift_interval: Duration,
    /// Fraction of the calls that is deferred.
    pub deferred_fraction: f64,
    /// Fraction of the deferred calls whose result is never collected.
    pub abandoned_fraction: f64,
    /// Largest body, in bytes.
    pub max_body_bytes: usize,
}

impl Default for OfferedLoad {
    fn default() -> Self {
        OfferedLoad {
            rate: 110.0,
            functions: 20,
            skew: 1.3,
            popularity_shift_interval: Duration::from_secs(15),
            deferred_fraction: 0.2,
            abandoned_fraction: 0.5,
            max_body_bytes: 2048,
        }
    }
}

/// One call to make.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// Time since the start.
    pub at: Duration,
    /// The function.
    pub function: String,
    /// The idempotency key of a `post`.
    pub key: Option<String>,
    /// Whether the call is deferred, so that its result is collected later.
    pub deferred: bool,
    /// Whether the result is never collected.
    pub abandoned: bool,
    /// Size of the body, in bytes.
    pub body: usize,
}

/// An endless iterator over arrivals.
pub struct Plan {
    load: OfferedLoad,
    rng: ChaCha8Rng,
    interarrival_s: Exp<f64>,
    popularity: Zipf<f64>,
    clock_s: f64,
    arrival_count: u64,
    seed: u64,
}

/// Returns the name of a function of the emulated deployment.
pub fn function(class: &str, number: usize) -> String {
    format!("{class}-{number}")
}

/// Returns the tenant of the functions with this number. The multiples of the golden ratio spread the numbers so that
/// each tenant gets its share.
pub fn tenant(number: usize) -> &'static str {
    let position = (number as f64 * 0.618_034).fract();
    let mut sum = 0.0;
    let found = TENANTS.iter().find(|(_, share)| {
        sum += share;
        position < sum
    });
    found.unwrap_or(&TENANTS[0]).0
}

impl Plan {
    /// Creates the plan for an offered load and a seed. Returns `None` if the load is invalid.
    pub fn new(load: OfferedLoad, seed: u64) -> Option<Self> {
        let interarrival_s = Exp::new(load.rate).ok().filter(|_| load.rate.is_finite() && load.rate > 0.0)?;
        let popularity = Zipf::new(load.functions.max(1) as f64, load.skew).ok()?;
        let rng = ChaCha8Rng::seed_from_u64(seed);
        Some(Plan { load, rng, interarrival_s, popularity, clock_s: 0.0, arrival_count: 0, seed })
    }
}

impl Iterator for Plan {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        self.clock_s += self.interarrival_s.sample(&mut self.rng);
        self.arrival_count += 1;
        let at = Duration::from_secs_f64(self.clock_s);
        let shifts =
            (at.as_secs_f64() / self.load.popularity_shift_interval.as_secs_f64().max(0.001)) as usize;
        let rank = self.popularity.sample(&mut self.rng) as usize;
        let number = (rank + 3 * shifts) % self.load.functions.max(1);
        let is_post = self.rng.random_bool(0.44);
        let deferred = self.rng.random_bool(self.load.deferred_fraction);
        Some(Arrival {
            at,
            function: function(if is_post { "post" } else { "check" }, number),
            key: is_post.then(|| format!("{:x}-{}", self.seed, self.arrival_count)),
            deferred,
            abandoned: deferred && self.rng.random_bool(self.load.abandoned_fraction),
            body: self.rng.random_range(1..=self.load.max_body_bytes.max(1)),
        })
    }
}

#[cfg(test)]
mod tests;
