//! Checks the records of clients and workers against the operators' rules.
use super::records::{Arrival, Asked, At, Effect, End, Records, CLASSES};
use std::collections::BTreeMap;
use std::fmt;

/// A final answer may be this late.
const ANSWER_SLACK_MS: At = 500.0;
/// An attempt may start this long after its client cancelled or disconnected.
const GONE_SLACK_MS: At = 100.0;
/// The remaining time sent to a worker may exceed the client's by this much.
const DEADLINE_SLACK_MS: At = 150.0;
/// How long a draining worker may still receive attempts.
const DRAIN_GRACE_MS: At = 2000.0;
/// Tolerance of the protocol for time limits.
const PROTOCOL_SLACK_MS: At = 50.0;
/// A request sent this shortly before its connection ended may not have been read; its client would send it again.
const CONNECTION_RACE_MS: At = 50.0;

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
    /// No daemon exits by itself.
    Crash,
}

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq)]
pub struct Break {
    /// The rule.
    pub rule: Rule,
    /// When it was violated.
    pub at: At,
    /// The request concerned, if any.
    pub id: Option<u64>,
    /// Description of the violation.
    pub seen: String,
}

impl fmt::Display for Break {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} at {:.3} s: {}", self.rule, self.at / 1000.0, self.seen)?;
        self.id.map_or(Ok(()), |id| write!(f, " (request {id:016x})"))
    }
}

/// Returns all violations, ordered by time.
pub fn judge(records: &Records) -> Vec<Break> {
    let mut attempts: BTreeMap<u64, Vec<&Arrival>> = BTreeMap::new();
    for arrival in &records.arrivals {
        attempts.entry(arrival.id).or_default().push(arrival);
    }
    let mut breaks = Vec::new();
    for asked in &records.asked {
        let attempts = attempts.get(&asked.id).map(Vec::as_slice).unwrap_or_default();
        breaks.extend(check_answer(records, asked, attempts));
        breaks.extend(check_repeats(records, asked, attempts));
        attempts.iter().for_each(|arrival| breaks.extend(check_attempt(records, asked, arrival)));
    }
    breaks.extend(records.crashed.iter().map(|(daemon, at)| Break {
        rule: Rule::Crash,
        at: *at,
        id: None,
        seen: format!("daemon {daemon} exited by itself"),
    }));
    breaks.sort_by(|a, b| a.at.total_cmp(&b.at));
    breaks
}

/// How long a daemon was stopped between two times, in milliseconds.
fn paused_ms(records: &Records, daemon: usize, from: At, to: At) -> At {
    let spans = records.paused.iter().filter(|span| span.daemon == daemon);
    spans.map(|span| (span.to.min(to) - span.from.max(from)).max(0.0)).sum()
}

fn check_answer(records: &Records, asked: &Asked, attempts: &[&Arrival]) -> Option<Break> {
    let violation = |at, seen: String| Some(Break { rule: Rule::Lost, at, id: Some(asked.id), seen });
    if asked.ends.len() > 1 {
        return violation(asked.ends[1].1, format!("{} answers", asked.ends.len()));
    }
    let due = asked.at + asked.allowed + ANSWER_SLACK_MS;
    let due = due + paused_ms(records, asked.daemon, asked.at, due + ANSWER_SLACK_MS);
    match (asked.ends.first(), asked.gone_at, asked.broken_at) {
        (Some((_, at)), _, _) if *at > due => violation(
            *at,
            format!("answered {:.0} ms after it was sent, limit {:.0} ms", at - asked.at, asked.allowed),
        ),
        (Some(_), _, _) | (None, Some(_), _) => None,
        (None, None, Some(at)) => {
            let killed = records.killed.iter().any(|(daemon, killed_at)| {
                *daemon == asked.daemon && asked.at <= *killed_at && at >= killed_at - PROTOCOL_SLACK_MS
            });
            let raced = attempts.is_empty() && at - asked.at < CONNECTION_RACE_MS;
            if killed || raced {
                return None;
            }
            violation(
                at,
                format!("connection ended {:.0} ms after it was sent, without an answer", at - asked.at),
            )
        }
        (None, None, None) if records.ended > due => violation(due, "never answered".to_string()),
        (None, None, None) => None,
    }
}

/// Checks repeats: the first attempt that ran decides which further ones are allowed.
fn check_repeats(records: &Records, asked: &Asked, attempts: &[&Arrival]) -> Option<Break> {
    let first = attempts.iter().position(|arrival| arrival.ran)?;
    let ran = attempts[first];
    let later = &attempts[first + 1..];
    let forbidden = match CLASSES[asked.class].1 {
        Effect::Repeatable => None,
        Effect::Once => later.first(),
        Effect::Keyed => later
            .iter()
            .find(|next| next.rack != ran.rack || next.at > ran.at + records.window + PROTOCOL_SLACK_MS),
    };
    let refused = asked.ends.first().is_some_and(|end| end.0 == End::Refused);
    let seen = match forbidden {
        Some(next) => format!(
            "run by worker {} (cell {}), sent again to worker {} (cell {}) {:.0} ms later",
            ran.worker,
            ran.rack,
            next.worker,
            next.rack,
            next.at - ran.at
        ),
        None if refused && CLASSES[asked.class].1 != Effect::Repeatable => {
            format!("run by worker {} but reported as refused", ran.worker)
        }
        None => return None,
    };
    Some(Break {
        rule: Rule::Duplicate,
        at: forbidden.map_or(ran.at, |next| next.at),
        id: Some(asked.id),
        seen,
    })
}

fn check_attempt(records: &Records, asked: &Asked, arrival: &Arrival) -> Vec<Break> {
    let mut breaks = Vec::new();
    let mut violation = |rule, seen| breaks.push(Break { rule, at: arrival.at, id: Some(asked.id), seen });
    let left = asked.at + asked.allowed - arrival.at;
    if arrival.left > left.max(0.0) + DEADLINE_SLACK_MS {
        violation(
            Rule::Deadline,
            format!("worker was given {:.0} ms, but {left:.0} ms remained", arrival.left),
        );
    }
    if let Some(gone_at) = asked.gone_at {
        let since = arrival.at - gone_at - paused_ms(records, asked.daemon, gone_at, arrival.at);
        if since > GONE_SLACK_MS {
            violation(
                Rule::ClientGone,
                format!("sent {since:.0} ms after its client cancelled or disconnected"),
            );
        }
    }
    let notified = records.drained.iter().find(|drained| {
        drained.worker == arrival.worker && drained.daemon == asked.daemon && drained.told_at < arrival.at
    });
    if let Some(drained) = notified {
        let since = arrival.at - drained.told_at;
        if since > DRAIN_GRACE_MS + PROTOCOL_SLACK_MS {
            violation(
                Rule::Drain,
                format!("sent to worker {} {since:.0} ms after the drain was announced", arrival.worker),
            );
        }
    }
    breaks
}
