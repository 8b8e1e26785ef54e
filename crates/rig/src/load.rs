//! Sends the calls of a plan to a daemon and records the results.
//!
//! Latency is measured from the scheduled time of a call, even if no thread was free at that time, so calls delayed by slow
//! answers count as slow too (no coordinated omission).
use crate::client::{Client, Response};
use crate::plan::Arrival;
use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

const CLIENT_TIMEOUT: Duration = Duration::from_secs(12);
/// Largest latency that the histogram records, in microseconds; higher ones are clamped.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Results of the calls of one class and style.
#[derive(Clone, Debug)]
pub struct CallResults {
    /// Time from the scheduled time of a call to its final answer, in microseconds.
    pub latency: Histogram<u64>,
    /// Number of final answers by status; 0 stands for a failed connection or a timeout.
    pub statuses: BTreeMap<u16, u64>,
}

/// Results of a plan, by class and style.
pub type Outcome = BTreeMap<String, CallResults>;

impl CallResults {
    fn new() -> Result<Self, hdrhistogram::CreationError> {
        Ok(CallResults {
            latency: Histogram::new_with_bounds(1, MAX_LATENCY_US, 3)?,
            statuses: BTreeMap::new(),
        })
    }

    /// Total number of answers.
    pub fn count(&self) -> u64 {
        self.statuses.values().sum()
    }
}

/// Makes the calls of a plan that are scheduled within `span`, on `threads` threads.
pub fn run(
    address: SocketAddr,
    plan: impl Iterator<Item = Arrival> + Send,
    span: Duration,
    threads: usize,
) -> io::Result<Outcome> {
    let (plan, outcome, started) = (Mutex::new(plan), Mutex::new(Outcome::new()), Instant::now());
    let empty = CallResults::new().map_err(io::Error::other)?;
    std::thread::scope(|scope| {
        for _ in 0..threads.max(1) {
            scope.spawn(|| {
                let mut client = Client::new(address, CLIENT_TIMEOUT);
                loop {
                    let next = plan.lock().unwrap_or_else(PoisonError::into_inner).next();
                    let Some(arrival) = next.filter(|arrival| arrival.at < span) else { return };
                    std::thread::sleep(arrival.at.saturating_sub(started.elapsed()));
                    let status = call(&mut client, &arrival).map_or(0, |response| response.status);
                    let latency_us = started.elapsed().saturating_sub(arrival.at).as_micros() as u64;
                    let class = arrival.function.split('-').next().unwrap_or_default();
                    let style = if arrival.deferred { "deferred" } else { "held" };
                    let mut outcome = outcome.lock().unwrap_or_else(PoisonError::into_inner);
                    let results = outcome.entry(format!("{class} {style}")).or_insert_with(|| empty.clone());
                    results.latency.saturating_record(latency_us.max(1));
                    *results.statuses.entry(status).or_default() += 1;
                }
            });
        }
    });
    Ok(outcome.into_inner().unwrap_or_else(PoisonError::into_inner))
}

/// Makes one call and waits for its final answer, unless the call is abandoned.
pub fn call(client: &mut Client, arrival: &Arrival) -> io::Result<Response> {
    let path = format!("/v1/functions/{}/invocations", arrival.function);
    let mut headers = Vec::new();
    headers.extend(arrival.key.as_deref().map(|key| ("Idempotency-Key", key)));
    headers.extend(arrival.deferred.then_some(("Prefer", "respond-async")));
    let mut response = client.send_request("POST", &path, &headers, &vec![b'x'; arrival.body])?;
    while response.status == 202 && !arrival.abandoned {
        let Some(location) = response.head.headers.get("location").map(str::to_string) else { break };
        response = client.send_request("GET", &location, &[("Prefer", "wait=5")], b"")?;
    }
    Ok(response)
}
