//! What a day offers: arrivals in time, each with its function, style, key and body, from a seed.
//!
//! The loop is open: arrivals don't wait for answers, so that a slow answer delays no later arrival and is
//! not hidden by it.
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, Zipf};
use std::time::Duration;

/// The tenants of emulated days, with the shares of the deployment.
pub const TENANTS: [(&str, f64); 3] = [("regie-desk", 0.55), ("amana-credit", 0.34), ("tadla-coop", 0.11)];

/// What is offered.
#[derive(Clone, Copy, Debug)]
pub struct Offer {
    /// Arrivals a second.
    pub rate: f64,
    /// Functions that are called, of each class.
    pub functions: usize,
    /// How uneven their popularity is.
    pub skew: f64,
    /// How often the most popular functions change places with others.
    pub turn: Duration,
    /// The part of calls that is deferred.
    pub deferred: f64,
    /// The part of deferred calls that nobody ever collects.
    pub abandoned: f64,
    /// Largest body, in bytes.
    pub body: usize,
}

impl Default for Offer {
    fn default() -> Self {
        Offer {
            rate: 110.0,
            functions: 20,
            skew: 1.3,
            turn: Duration::from_secs(15),
            deferred: 0.2,
            abandoned: 0.5,
            body: 2048,
        }
    }
}

/// One call that is to be made.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// When, from the start.
    pub at: Duration,
    /// The function.
    pub function: String,
    /// The idempotency key of a `post`.
    pub key: Option<String>,
    /// It is handed over and collected later.
    pub deferred: bool,
    /// Nobody collects it.
    pub abandoned: bool,
    /// Bytes of its body.
    pub body: usize,
}

/// The arrivals of a day, without an end.
pub struct Plan {
    offer: Offer,
    rng: ChaCha8Rng,
    gap: Exp<f64>,
    popular: Zipf<f64>,
    clock: f64,
    count: u64,
    seed: u64,
}

/// A function of the emulated deployment, by class and number; each belongs to one tenant.
pub fn function(class: &str, number: usize) -> String {
    format!("{class}-{number}")
}

/// The tenant of a function of that number, so that shares come about as in the deployment.
pub fn tenant(number: usize) -> &'static str {
    let place = (number as f64 * 0.618_034).fract();
    let mut sum = 0.0;
    let found = TENANTS.iter().find(|(_, share)| {
        sum += share;
        place < sum
    });
    found.unwrap_or(&TENANTS[0]).0
}

impl Plan {
    /// The plan that follows from an offer and a seed; `None` where the offer makes no sense.
    pub fn new(offer: Offer, seed: u64) -> Option<Self> {
        let gap = Exp::new(offer.rate).ok().filter(|_| offer.rate.is_finite() && offer.rate > 0.0)?;
        let popular = Zipf::new(offer.functions.max(1) as f64, offer.skew).ok()?;
        let rng = ChaCha8Rng::seed_from_u64(seed);
        Some(Plan { offer, rng, gap, popular, clock: 0.0, count: 0, seed })
    }
}

impl Iterator for Plan {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        self.clock += self.gap.sample(&mut self.rng);
        self.count += 1;
        let at = Duration::from_secs_f64(self.clock);
        let turns = (at.as_secs_f64() / self.offer.turn.as_secs_f64().max(0.001)) as usize;
        let rank = self.popular.sample(&mut self.rng) as usize;
        let number = (rank + 3 * turns) % self.offer.functions.max(1);
        let is_post = self.rng.random_bool(0.44);
        let deferred = self.rng.random_bool(self.offer.deferred);
        Some(Arrival {
            at,
            function: function(if is_post { "post" } else { "check" }, number),
            key: is_post.then(|| format!("{:x}-{}", self.seed, self.count)),
            deferred,
            abandoned: deferred && self.rng.random_bool(self.offer.abandoned),
            body: self.rng.random_range(1..=self.offer.body.max(1)),
        })
    }
}

#[cfg(test)]
mod tests;
