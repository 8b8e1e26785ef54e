//! What the process counts and holds: as JSON, and in the text form that Prometheus reads (OpenMetrics).
use crate::core::Invoker;
use crate::memory::resident::resident_bytes;
use corkbay_ledger::Line;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::{Registry, Unit};
use serde_json::{json, Map, Value};

/// The type of [`text`].
pub const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

type Labels = Vec<(&'static str, String)>;

/// All of it as JSON.
pub fn status(invoker: &Invoker) -> Value {
    let (ledger, resident) = (invoker.ledger(), resident_bytes());
    let account = |line: Line| {
        json!({
            "purpose": line.purpose, "tenant": line.tenant, "cap_bytes": line.cap, "used_bytes": line.used,
            "peak_bytes": line.peak, "refused": line.refused,
        })
    };
    json!({
        "owed": invoker.owed(),
        "counters": invoker.counters.named().map(|(name, count)| (name, count.into())).collect::<Map<_, _>>(),
        "memory": {
            "resident_bytes": resident,
            "held_bytes": ledger.held(),
            "room_bytes": ledger.room(),
            "unaccounted_bytes": resident.saturating_sub(ledger.held()),
            "accounts": ledger.lines().into_iter().map(account).collect::<Vec<_>>(),
        },
    })
}

/// All of it as text. The registry is built for each reading: what it shows is counted elsewhere anyway.
pub fn text(invoker: &Invoker) -> Vec<u8> {
    let mut registry = Registry::with_prefix("corkbay");
    for (name, count) in invoker.counters.named() {
        let counter: Counter = Counter::default();
        counter.inc_by(count);
        registry.register(name, "Counted since the start", counter);
    }
    let counters = &invoker.counters;
    let (bytes, seconds) = (|| Unit::Bytes, || Unit::Seconds);
    registry.register_with_unit("body", "Bodies of calls taken", bytes(), counters.body_bytes.clone());
    registry.register_with_unit(
        "call",
        "From taking a call to its end",
        seconds(),
        counters.call_seconds.clone(),
    );
    let gauge = |registry: &mut Registry, name: &str, help: &str, value: usize| {
        let gauge: Gauge = Gauge::default();
        gauge.set(value as i64);
        registry.register_with_unit(name, help, Unit::Bytes, gauge);
    };
    let (ledger, resident) = (invoker.ledger(), resident_bytes());
    gauge(&mut registry, "resident", "Memory that the process holds", resident);
    let unaccounted = resident.saturating_sub(ledger.held());
    gauge(&mut registry, "unaccounted", "Resident memory that no account holds", unaccounted);
    let lines = ledger.lines();
    let mut accounts = |name: &str, help: &str, value: fn(&Line) -> usize| {
        let family = Family::<Labels, Gauge>::default();
        for line in &lines {
            family.get_or_create(&labels(line)).set(value(line) as i64);
        }
        registry.register_with_unit(name, help, Unit::Bytes, family);
    };
    accounts("account_cap", "What an account may hold", |line| line.cap);
    accounts("account_used", "What it holds", |line| line.used);
    accounts("account_peak", "The most it ever held", |line| line.peak);
    let refusals = Family::<Labels, Counter>::default();
    for line in &lines {
        refusals.get_or_create(&labels(line)).inc_by(line.refused);
    }
    registry.register("account_refusals", "Reservations that met its cap", refusals);
    let mut text = String::new();
    match encode(&mut text, &registry) {
        Ok(()) => text.into_bytes(),
        // Writing to a string does not fail.
        Err(_) => Vec::new(),
    }
}

fn labels(line: &Line) -> Labels {
    vec![("purpose", line.purpose.to_string()), ("tenant", line.tenant.clone().unwrap_or_default())]
}
