//! When to ask for a lease, when to renew it, and when to stop.
use crate::{Command, Instant, Owner, Reply, Span, Term};

/// Which question an answer belongs to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// A renewal is asked for once this part of the length has passed.
const RENEW_AFTER: u32 = 3;
/// A question without an answer is asked again after this part of the length.
const ASK_AGAIN: u32 = 6;

/// One process's hold on one name.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Holder {
    name: String,
    owner: Owner,
    span: Span,
    last: Ticket,
    /// The question that is out, and when it was asked.
    asked: Option<(Ticket, Instant)>,
    held: Option<Held>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Held {
    term: Term,
    /// When the question was asked whose answer granted or renewed it.
    since: Instant,
}

impl Holder {
    /// Somebody who wants the name and holds nothing yet.
    pub fn new(name: &str, owner: Owner, span: Span) -> Self {
        Holder { name: name.to_string(), owner, span, last: Ticket::default(), asked: None, held: None }
    }

    /// The term under which the holder may act at this moment; `None` from the moment on at which its span is over, be
    /// it that renewals were lost or that the process stood still.
    pub fn may_act(&self, now: Instant) -> Option<Term> {
        self.held.filter(|held| now < held.since + self.span.held()).map(|held| held.term)
    }

    /// What to propose now, if anything; to be called several times within a length.
    pub fn poll(&mut self, now: Instant) -> Option<(Ticket, Command)> {
        if self.asked.is_some_and(|(_, at)| now < at + self.span.length / ASK_AGAIN) {
            return None;
        }
        let (name, owner) = (self.name.clone(), self.owner);
        let command = match self.held.filter(|_| self.may_act(now).is_some()) {
            Some(held) if now < held.since + self.span.length / RENEW_AFTER => return None,
            Some(held) => Command::Renew { name, owner, term: held.term },
            None => {
                self.held = None;
                Command::Take { name, owner }
            }
        };
        self.last.0 += 1;
        self.asked = Some((self.last, now));
        Some((self.last, command))
    }

    /// What became of a proposal. Only the answer to the last question counts: an earlier one says nothing of how
    /// recently the lease was renewed.
    pub fn heard(&mut self, ticket: Ticket, reply: Reply) {
        let Some((_, since)) = self.asked.filter(|asked| asked.0 == ticket) else { return };
        match reply {
            Reply::Held(term) => {
                (self.held, self.asked) = (Some(Held { term, since }), None);
            }
            // Asked again after a while.
            Reply::Taken { .. } => self.held = None,
            Reply::Free | Reply::Over => (self.held, self.asked) = (None, None),
        }
    }

    /// Stops at once, for good or for now; what to propose so that the next may have it without a wait.
    pub fn stop(&mut self) -> Option<Command> {
        self.asked = None;
        let held = self.held.take()?;
        Some(Command::GiveBack { name: self.name.clone(), owner: self.owner, term: held.term })
    }
}
