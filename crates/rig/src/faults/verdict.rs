//! The operators' rules, judged from what clients and workers wrote down.
use super::records::{Arrival, Asked, At, Effect, End, Records, CLASSES};
use std::collections::BTreeMap;
use std::fmt;

/// A final answer may come so much behind its time.
const ANSWER_SLACK: At = 500.0;
/// No attempt begins so long after its client has gone.
const GONE_SLACK: At = 100.0;
/// A worker may be told so much more time than the client has left.
const DEADLINE_SLACK: At = 150.0;
/// Nothing goes to a worker so long after it was said to take no more.
const DRAIN_GRACE: At = 2000.0;
/// The protocol's slack on time limits.
const SLACK: At = 50.0;
/// A request that crosses the end of its connection within this is sent again by its client.
const CROSSING: At = 50.0;

/// A rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// One final answer, in time.
    Lost,
    /// Nothing is sent again beyond what its class allows.
    Duplicate,
    /// No attempt begins for a client that has gone.
    ClientGone,
    /// A worker is told no more time than is left.
    Deadline,
    /// Nothing new to a worker that drains.
    Drain,
    /// No daemon ends by itself.
    Crash,
}

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq)]
pub struct Break {
    /// Which.
    pub rule: Rule,
    /// When.
    pub at: At,
    /// The request, where it is about one.
    pub id: Option<u64>,
    /// What was seen.
    pub seen: String,
}

impl fmt::Display for Break {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} at {:.3} s: {}", self.rule, self.at / 1000.0, self.seen)?;
        self.id.map_or(Ok(()), |id| write!(f, " (request {id:016x})"))
    }
}

/// All breaks, in the order of time.
pub fn judge(records: &Records) -> Vec<Break> {
    let mut attempts: BTreeMap<u64, Vec<&Arrival>> = BTreeMap::new();
    for arrival in &records.arrivals {
        attempts.entry(arrival.id).or_default().push(arrival);
    }
    let mut breaks = Vec::new();
    for asked in &records.asked {
        let attempts = attempts.get(&asked.id).map(Vec::as_slice).unwrap_or_default();
        breaks.extend(lost(records, asked, attempts));
        breaks.extend(duplicate(records, asked, attempts));
        attempts.iter().for_each(|arrival| breaks.extend(attempt(records, asked, arrival)));
    }
    breaks.extend(records.crashed.iter().map(|(daemon, at)| Break {
        rule: Rule::Crash,
        at: *at,
        id: None,
        seen: format!("daemon {daemon} ended by itself"),
    }));
    breaks.sort_by(|a, b| a.at.total_cmp(&b.at));
    breaks
}

/// How long a daemon stood still between two times.
fn paused(records: &Records, daemon: usize, from: At, to: At) -> At {
    let spans = records.paused.iter().filter(|span| span.daemon == daemon);
    spans.map(|span| (span.to.min(to) - span.from.max(from)).max(0.0)).sum()
}

fn lost(records: &Records, asked: &Asked, attempts: &[&Arrival]) -> Option<Break> {
    let broken = |at, seen: String| Some(Break { rule: Rule::Lost, at, id: Some(asked.id), seen });
    if asked.ends.len() > 1 {
        return broken(asked.ends[1].1, format!("{} answers", asked.ends.len()));
    }
    let due = asked.at + asked.allowed + ANSWER_SLACK;
    let due = due + paused(records, asked.daemon, asked.at, due + ANSWER_SLACK);
    match (asked.ends.first(), asked.gone_at, asked.broken_at) {
        (Some((_, at)), _, _) if *at > due => {
            broken(*at, format!("answered {:.0} ms after it came, of {:.0}", at - asked.at, asked.allowed))
        }
        (Some(_), _, _) | (None, Some(_), _) => None,
        (None, None, Some(at)) => {
            let killed = records.killed.iter().any(|(daemon, killed_at)| {
                *daemon == asked.daemon && asked.at <= *killed_at && at >= killed_at - SLACK
            });
            let crossed = attempts.is_empty() && at - asked.at < CROSSING;
            if killed || crossed {
                return None;
            }
            broken(at, format!("its connection ended {:.0} ms after it came, unanswered", at - asked.at))
        }
        (None, None, None) if records.ended > due => broken(due, "never answered".to_string()),
        (None, None, None) => None,
    }
}

/// The first attempt that was carried out decides what may follow.
fn duplicate(records: &Records, asked: &Asked, attempts: &[&Arrival]) -> Option<Break> {
    let first = attempts.iter().position(|arrival| arrival.ran)?;
    let ran = attempts[first];
    let later = &attempts[first + 1..];
    let wrong = match CLASSES[asked.class].1 {
        Effect::Repeatable => None,
        Effect::Once => later.first(),
        Effect::Keyed => {
            later.iter().find(|next| next.rack != ran.rack || next.at > ran.at + records.window + SLACK)
        }
    };
    let refused = asked.ends.first().is_some_and(|end| end.0 == End::Refused);
    let seen = match wrong {
        Some(next) => format!(
            "carried out by worker {} (rack {}), sent again to worker {} (rack {}) {:.0} ms later",
            ran.worker,
            ran.rack,
            next.worker,
            next.rack,
            next.at - ran.at
        ),
        None if refused && CLASSES[asked.class].1 != Effect::Repeatable => {
            format!("carried out by worker {} and refused", ran.worker)
        }
        None => return None,
    };
    Some(Break { rule: Rule::Duplicate, at: wrong.map_or(ran.at, |next| next.at), id: Some(asked.id), seen })
}

fn attempt(records: &Records, asked: &Asked, arrival: &Arrival) -> Vec<Break> {
    let mut breaks = Vec::new();
    let mut broken = |rule, seen| breaks.push(Break { rule, at: arrival.at, id: Some(asked.id), seen });
    let left = asked.at + asked.allowed - arrival.at;
    if arrival.left > left.max(0.0) + DEADLINE_SLACK {
        broken(Rule::Deadline, format!("worker told {:.0} ms, {left:.0} are left", arrival.left));
    }
    if let Some(gone_at) = asked.gone_at {
        let since = arrival.at - gone_at - paused(records, asked.daemon, gone_at, arrival.at);
        if since > GONE_SLACK {
            broken(Rule::ClientGone, format!("sent {since:.0} ms after its client had gone"));
        }
    }
    let told = records.drained.iter().find(|drained| {
        drained.worker == arrival.worker && drained.daemon == asked.daemon && drained.told_at < arrival.at
    });
    if let Some(drained) = told {
        let since = arrival.at - drained.told_at;
        if since > DRAIN_GRACE + SLACK {
            broken(Rule::Drain, format!("sent to worker {} {since:.0} ms after it drains", arrival.worker));
        }
    }
    breaks
}
