//! When a silent holder may be taken for gone.
use crate::{Book, Command, Instant, Span, Term};
use std::collections::BTreeMap;

/// At whoever leads the replicas: how long each held lease has gone without a renewal, by the leader's own clock.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Watch {
    span: Span,
    heard: BTreeMap<String, Heard>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Heard {
    term: Term,
    renewals: u64,
    at: Instant,
}

impl Watch {
    /// A watch over nothing yet.
    pub fn new(span: Span) -> Self {
        Watch { span, heard: BTreeMap::new() }
    }

    /// Begins to lead: how long a holder has been silent before that is not known, so each counts as renewed now.
    pub fn lead(&mut self, now: Instant, book: &Book) {
        self.heard.clear();
        let names: Vec<String> = book.leases().map(|(name, _)| name.to_string()).collect();
        names.iter().for_each(|name| self.note(now, name, book));
    }

    /// A command about this lease was committed. Only a grant or a renewal is a sign of its holder: others who ask for
    /// the name in vain must not keep a dead one in it.
    pub fn note(&mut self, now: Instant, name: &str, book: &Book) {
        let Some(lease) = book.lease(name).filter(|lease| lease.holder.is_some()) else {
            self.heard.remove(name);
            return;
        };
        let known = self.heard.get(name);
        if known.is_none_or(|heard| (heard.term, heard.renewals) != (lease.term, lease.renewals)) {
            let heard = Heard { term: lease.term, renewals: lease.renewals, at: now };
            self.heard.insert(name.to_string(), heard);
        }
    }

    /// What is to be committed now, for leases whose holders must have stopped by themselves. It is told again until it
    /// has been committed.
    pub fn due(&self, now: Instant) -> Vec<Command> {
        let over = |heard: &Heard| now >= heard.at + self.span.watched();
        let silent = self.heard.iter().filter(|entry| over(entry.1));
        let expire = |(name, heard): (&String, &Heard)| Command::Expire {
            name: name.clone(),
            term: heard.term,
            renewals: heard.renewals,
        };
        silent.map(expire).collect()
    }
}

#[cfg(test)]
mod tests;
