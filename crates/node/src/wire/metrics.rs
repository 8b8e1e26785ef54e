//! Counters and memory accounts of the process, as JSON and in the OpenMetrics text format that Prometheus reads.
use super::feed::{FeedReport, FollowerReport, Role};
use crate::core::Invoker;
use crate::event_loop;
use crate::state::resident::resident_bytes;
use corkbay_ledger::AccountStatus;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::{Registry, Unit};
use serde_json::{json, Map, Value};
use std::sync::atomic::AtomicU64;

/// Media type of [`text`].
pub const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

type Labels = Vec<(&'static str, String)>;

/// The status as JSON.
pub fn status(invoker: &Invoker, role: &Role) -> Value {
    let (ledger, resident) = (invoker.ledger(), resident_bytes());
    let account = |line: AccountStatus| {
        json!({
            "purpose": line.purpose, "tenant": line.tenant, "cap_bytes": line.cap, "used_bytes": line.used,
            "peak_bytes": line.peak, "refused": line.refused,
        })
    };
    let mut status = json!({
        "owed": invoker.unanswered(),
        "counters": invoker.counters.named().map(|(name, count)| (name, count.into())).collect::<Map<_, _>>(),
        "memory": {
            "resident_bytes": resident,
            "held_bytes": ledger.held(),
            "room_bytes": ledger.total_cap(),
            "unaccounted_bytes": resident.saturating_sub(ledger.held()),
            "accounts": ledger.statuses().into_iter().map(account).collect::<Vec<_>>(),
        },
    });
    role.add_status(&mut status);
    status
}

/// The metrics as OpenMetrics text. The registry is built anew for each scrape, as the values are counted elsewhere.
pub fn text(invoker: &Invoker, role: &Role) -> Vec<u8> {
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
    let lines = ledger.statuses();
    let mut accounts = |name: &str, help: &str, value: fn(&AccountStatus) -> usize| {
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
    add_event_loop(&mut registry);
    add_role(&mut registry, role);
    let mut text = String::new();
    match encode(&mut text, &registry) {
        Ok(()) => text.into_bytes(),
        // Can't happen: writing to a string does not fail.
        Err(_) => Vec::new(),
    }
}

fn add_event_loop(registry: &mut Registry) {
    let report = event_loop::report();
    add_counter(registry, "event_loop_polls", "Polls of the kernel that were waited for", report.polls);
    add_counter(registry, "event_loop_late_polls", "Those that came late", report.late_polls);
    add_gauge(registry, "event_loop_tasks", "Tasks", report.tasks as u64);
    let turns = report.turns;
    add_counter(registry, "event_loop_direct_turns", "Turns without a wait", turns.direct);
    add_counter(registry, "event_loop_queued_turns", "Turns that were waited for", turns.queued);
    add_counter(registry, "event_loop_rounds", "Rounds of turns", turns.rounds);
    add_gauge(registry, "event_loop_most_waiting", "Most readers that waited", turns.most_waiting as u64);
    let longest = [
        ("event_loop_longest_poll_delay", "Longest wait for a poll", report.longest_poll_delay),
        ("event_loop_longest_turn_wait", "Longest wait of a reader", report.turns.longest_wait),
    ];
    for (name, help, span) in longest {
        let gauge = Gauge::<f64, AtomicU64>::default();
        gauge.set(span.as_secs_f64());
        registry.register_with_unit(name, help, Unit::Seconds, gauge);
    }
}

/// Adds the metrics about peers, followers or control nodes, as the role of the node has them.
fn add_role(registry: &mut Registry, role: &Role) {
    if let Some(mesh) = &role.mesh {
        add_counter(registry, "replication_sent_bytes", "Bytes of messages to peers", mesh.sent_bytes());
        let more = mesh.peers_with_more() as u64;
        add_gauge(
            registry,
            "replication_peers_with_more",
            "Peers with records that there is no room for",
            more,
        );
        let left_out = mesh.left_out_records();
        add_counter(
            registry,
            "replication_left_out_records",
            "Records of peers that were not kept",
            left_out,
        );
    }
    if let Some(report) = role.feed_report() {
        add_feed(registry, &report);
    }
    if let Some(report) = role.follower_report() {
        add_follower(registry, &report);
    }
}

fn add_feed(registry: &mut Registry, report: &FeedReport) {
    let behind = report.oldest.as_ref().map_or(0, |lag| lag.behind);
    add_gauge(registry, "feed_revision", "Changes since the start", report.position.revision);
    add_gauge(registry, "feed_followers", "Followers that are connected", report.followers as u64);
    add_gauge(registry, "feed_most_behind", "Changes that the last of them lacks", behind);
    add_gauge(registry, "feed_laggards", "Followers behind for over 6 seconds", report.laggards as u64);
    add_gauge(registry, "feed_incomplete", "Followers that left out records", report.incomplete as u64);
    add_gauge(registry, "feed_copies_running", "Copies under way", report.copies_running as u64);
    add_gauge(registry, "feed_copies_waiting", "Followers that wait for one", report.copies_waiting as u64);
    add_counter(registry, "feed_sent_bytes", "Bytes sent to followers", report.sent_bytes);
    add_counter(registry, "feed_received_bytes", "Bytes received from them", report.received_bytes);
    let counters = report.counters;
    add_counter(registry, "feed_resumes", "Followers that went on from their position", counters.resumes);
    add_counter(registry, "feed_comparisons", "Followers whose records were compared", counters.comparisons);
    add_counter(registry, "feed_difference_bytes", "Bytes of records that led to", counters.difference_bytes);
    add_counter(registry, "feed_busy", "Followers turned away", counters.busy);
}

fn add_follower(registry: &mut Registry, report: &FollowerReport) {
    let revision = report.position().map_or(0, |position| position.revision);
    let silent = Gauge::<f64, AtomicU64>::default();
    silent.set(report.silent_ms.map_or(-1.0, |span| span / 1000.0));
    let help = "Since the last word of a control node; -1 before the first";
    registry.register_with_unit("follow_silent", help, Unit::Seconds, silent);
    add_gauge(registry, "follow_ready", "Whether there is a whole copy", report.is_ready().into());
    add_gauge(registry, "follow_revision", "Revision of the control node that is on disk", revision);
    if let Some(behind) = report.behind {
        add_gauge(registry, "follow_behind", "Changes of the control node that are not on disk", behind);
    }
    let left_out_buckets = report.left_out().len() as u64;
    add_gauge(registry, "follow_left_out_buckets", "Of 256, those with records left out", left_out_buckets);
    let counters = report.counters;
    add_counter(registry, "follow_left_out_records", "Records left out", counters.left_out_records);
    add_counter(registry, "follow_connections", "Connections to control nodes", counters.connections);
    add_counter(registry, "follow_comparisons", "Comparisons with them", counters.comparisons);
    add_counter(registry, "follow_copied_records", "Records these led to", counters.copied_records);
    add_counter(registry, "follow_changed_records", "Records changed", counters.changed_records);
    add_counter(registry, "follow_failed_writes", "Batches not kept", counters.failed_writes);
}

fn add_gauge(registry: &mut Registry, name: &str, help: &str, value: u64) {
    let gauge: Gauge = Gauge::default();
    gauge.set(value as i64);
    registry.register(name, help, gauge);
}

fn add_counter(registry: &mut Registry, name: &str, help: &str, value: u64) {
    let counter: Counter = Counter::default();
    counter.inc_by(value);
    registry.register(name, help, counter);
}

fn labels(line: &AccountStatus) -> Labels {
    vec![("purpose", line.purpose.to_string()), ("tenant", line.tenant.clone().unwrap_or_default())]
}
