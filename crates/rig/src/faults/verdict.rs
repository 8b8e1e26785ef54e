//! Checks the records of clients and workers against the operators' rules.
use super::records::{Arrival, ClientRequest, Effect, Millis, Records, RequestOutcome, CLASSES};
use std::collections::BTreeMap;
use std::fmt;

/// A final answer may be this late.
const ANSWER_SLACK_MS: Millis = 500.0;
/// An attempt may start this long after its client cancelled or disconnected.
const GONE_SLACK_MS: Millis = 100.0;
/// The remaining time sent to a worker may exceed the client's by this much.
const DEADLINE_SLACK_MS: Millis = 150.0;
/// How long a draining worker may still receive attempts.
const DRAIN_GRACE_MS: Millis = 2000.0;
/// Tolerance of the protocol for time limits.
const PROTOCOL_SLACK_MS: Millis = 50.0;
/// A request sent this shortly before its connection ended may not have been read; its client would send it again.
const CONNECTION_RACE_MS: Millis = 50.0;

/// An operators' rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Each request gets exactly one final answer, in time.
    Lost,
    /// A request is repeated only as its class allows.
    Duplicate,
    /// No attempt starts for a client that has cancelled or disconnected.
    ClientGone,
    /// The remaining time sent to a worker is not more than the client's.
    Deadline,
    /// A draining worker gets no new attempts.
    Drain,
    /// A worker at the address of a removed one gets no attempts before it is announced.
    Mistaken,
    /// No daemon exits by itself.
    Crash,
}

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// When it was violated.
    pub at: Millis,
    /// The request concerned, if any.
    pub id: Option<u64>,
    /// Description of the violation.
    pub seen: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} at {:.3} s: {}", self.rule, self.at / 1000.0, self.seen)?;
        self.id.map_or(Ok(()), |id| write!(f, " (request {id:016x})"))
    }
}

/// Returns all violations, ordered by time.
pub fn judge(records: &Records) -> Vec<Violation> {
    let mut attempts: BTreeMap<u64, Vec<&Arrival>> = BTreeMap::new();
    for arrival in &records.arrivals {
        attempts.entry(arrival.id).or_default().push(arrival);
    }
    let mut violations = Vec::new();
    for request in &records.requests {
        let attempts = attempts.get(&request.id).map(Vec::as_slice).unwrap_or_default();
        violations.extend(check_answer(records, request, attempts));
        violations.extend(check_repeats(records, request, attempts));
        attempts.iter().for_each(|arrival| violations.extend(check_attempt(records, request, arrival)));
    }
    violations.extend(records.crashed.iter().map(|(daemon, at)| Violation {
        rule: Rule::Crash,
        at: *at,
        id: None,
        seen: format!("daemon {daemon} exited by itself"),
    }));
    violations.sort_by(|a, b| a.at.total_cmp(&b.at));
    violations
}

/// How long a daemon was stopped between two times, in milliseconds.
fn paused_ms(records: &Records, daemon: usize, from: Millis, to: Millis) -> Millis {
    let spans = records.paused.iter().filter(|span| span.daemon == daemon);
    spans.map(|span| (span.to.min(to) - span.from.max(from)).max(0.0)).sum()
}

fn check_answer(records: &Records, request: &ClientRequest, attempts: &[&Arrival]) -> Option<Violation> {
    let violation = |at, seen: String| Some(Violation { rule: Rule::Lost, at, id: Some(request.id), seen });
    if request.ends.len() > 1 {
        return violation(request.ends[1].1, format!("{} answers", request.ends.len()));
    }
    let due = request.at + request.allowed + ANSWER_SLACK_MS;
    let due = due + paused_ms(records, request.daemon, request.at, due + ANSWER_SLACK_MS);
    match (request.ends.first(), request.abandoned_at, request.disconnected_at) {
        (Some((_, at)), _, _) if *at > due => violation(
            *at,
            format!("answered {:.0} ms after it was sent, limit {:.0} ms", at - request.at, request.allowed),
        ),
        (Some(_), _, _) | (None, Some(_), _) => None,
        (None, None, Some(at)) => {
            let killed = records.killed.iter().any(|(daemon, killed_at)| {
                *daemon == request.daemon && request.at <= *killed_at && at >= killed_at - PROTOCOL_SLACK_MS
            });
            let raced = attempts.is_empty() && at - request.at < CONNECTION_RACE_MS;
            if killed || raced {
                return None;
            }
            violation(
                at,
                format!("connection ended {:.0} ms after it was sent, without an answer", at - request.at),
            )
        }
        (None, None, None) if records.ended > due => violation(due, "never answered".to_string()),
        (None, None, None) => None,
    }
}

/// Checks repeats: the first attempt that ran decides which further ones are allowed.
fn check_repeats(records: &Records, request: &ClientRequest, attempts: &[&Arrival]) -> Option<Violation> {
    let first = attempts.iter().position(|arrival| arrival.was_run)?;
    let first_run = attempts[first];
    let later = &attempts[first + 1..];
    let forbidden = match CLASSES[request.class].1 {
        Effect::Repeatable => None,
        Effect::Once => later.first(),
        Effect::Keyed => later.iter().find(|next| {
            next.cell != first_run.cell || next.at > first_run.at + records.window + PROTOCOL_SLACK_MS
        }),
    };
    let refused = request.ends.first().is_some_and(|end| end.0 == RequestOutcome::Refused);
    let seen = match forbidden {
        Some(next) => format!(
            "run by worker {} (cell {}), sent again to worker {} (cell {}) {:.0} ms later",
            first_run.worker,
            first_run.cell,
            next.worker,
            next.cell,
            next.at - first_run.at
        ),
        None if refused && CLASSES[request.class].1 != Effect::Repeatable => {
            format!("run by worker {} but reported as refused", first_run.worker)
        }
        None => return None,
    };
    Some(Violation {
        rule: Rule::Duplicate,
        at: forbidden.map_or(first_run.at, |next| next.at),
        id: Some(request.id),
        seen,
    })
}

fn check_attempt(records: &Records, request: &ClientRequest, arrival: &Arrival) -> Vec<Violation> {
    let mut violations = Vec::new();
    let mut violation =
        |rule, seen| violations.push(Violation { rule, at: arrival.at, id: Some(request.id), seen });
    let remaining_ms = request.at + request.allowed - arrival.at;
    if arrival.remaining_ms > remaining_ms.max(0.0) + DEADLINE_SLACK_MS {
        violation(
            Rule::Deadline,
            format!("worker was given {:.0} ms, but {remaining_ms:.0} ms remained", arrival.remaining_ms),
        );
    }
    if let Some(abandoned_at) = request.abandoned_at {
        let since = arrival.at - abandoned_at - paused_ms(records, request.daemon, abandoned_at, arrival.at);
        if since > GONE_SLACK_MS {
            violation(
                Rule::ClientGone,
                format!("sent {since:.0} ms after its client cancelled or disconnected"),
            );
        }
    }
    let notified = records.drained.iter().find(|drained| {
        drained.worker == arrival.worker
            && drained.daemon == request.daemon
            && drained.notified_at < arrival.at
    });
    if let Some(drained) = notified {
        let since = arrival.at - drained.notified_at;
        if since > DRAIN_GRACE_MS + PROTOCOL_SLACK_MS {
            violation(
                Rule::Drain,
                format!("sent to worker {} {since:.0} ms after the drain was announced", arrival.worker),
            );
        }
    }
    let replacement = records
        .replacements
        .iter()
        .find(|replacement| replacement.worker == arrival.worker && replacement.daemon == request.daemon);
    if let Some(replacement) = replacement {
        let stale_from = replacement.removed_at + DRAIN_GRACE_MS + PROTOCOL_SLACK_MS;
        if arrival.at > stale_from && arrival.at < replacement.announced_at {
            violation(
                Rule::Mistaken,
                format!("sent to worker {}, taken for the removed one at its address", arrival.worker),
            );
        }
    }
    violations
}
