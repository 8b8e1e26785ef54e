//! When a process requests a lease, renews it, and stops acting under it.
use crate::{Command, Instant, LeaseTiming, Owner, Reply, Term};

/// Correlates a reply with the proposal that it answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProposalId(pub u64);

/// A lease is renewed after its duration divided by this.
const RENEW_DIVISOR: u32 = 3;
/// An unanswered proposal is repeated after the lease duration divided by this.
const RETRY_DIVISOR: u32 = 6;

/// One process's side of one lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Holder {
    name: String,
    owner: Owner,
    timing: LeaseTiming,
    last_proposal: ProposalId,
    /// The proposal in progress, and when it was made.
    pending: Option<(ProposalId, Instant)>,
    grant: Option<Grant>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Grant {
    term: Term,
    /// When the proposal was made that granted or renewed the lease.
    requested_at: Instant,
}

impl Holder {
    /// A process that wants the lease and does not hold it yet.
    pub fn new(name: &str, owner: Owner, timing: LeaseTiming) -> Self {
        Holder {
            name: name.to_string(),
            owner,
            timing,
            last_proposal: ProposalId::default(),
            pending: None,
            grant: None,
        }
    }

    /// The term under which the holder may act now. `None` once the lease has run out by the holder's clock,
    /// whether because renewals were lost or because the process was paused.
    pub fn active_term(&self, now: Instant) -> Option<Term> {
        self.grant
            .filter(|grant| now < grant.requested_at + self.timing.holder_validity())
            .map(|grant| grant.term)
    }

    /// The command to propose now, if any; call it several times per lease duration.
    pub fn poll(&mut self, now: Instant) -> Option<(ProposalId, Command)> {
        if self.pending.is_some_and(|(_, at)| now < at + self.timing.duration / RETRY_DIVISOR) {
            return None;
        }
        let (name, owner) = (self.name.clone(), self.owner);
        let command = match self.grant.filter(|_| self.active_term(now).is_some()) {
            Some(grant) if now < grant.requested_at + self.timing.duration / RENEW_DIVISOR => return None,
            Some(grant) => Command::Renew { name, owner, term: grant.term },
            None => {
                self.grant = None;
                Command::Take { name, owner }
            }
        };
        self.last_proposal.0 += 1;
        self.pending = Some((self.last_proposal, now));
        Some((self.last_proposal, command))
    }

    /// Handles the reply to a proposal. Only the reply to the latest proposal counts: an earlier one does not
    /// show how recently the lease was renewed.
    pub fn on_reply(&mut self, proposal_id: ProposalId, reply: Reply) {
        let Some((_, requested_at)) = self.pending.filter(|pending| pending.0 == proposal_id) else { return };
        match reply {
            Reply::Held(term) => {
                (self.grant, self.pending) = (Some(Grant { term, requested_at }), None);
            }
            // `pending` is kept, so that the next request waits for the retry interval.
            Reply::Taken { .. } => self.grant = None,
            Reply::Free | Reply::Over => (self.grant, self.pending) = (None, None),
        }
    }

    /// Stops acting at once. Returns the command that gives the lease back, so that the next holder need not
    /// wait for it to expire.
    pub fn release(&mut self) -> Option<Command> {
        self.pending = None;
        let grant = self.grant.take()?;
        Some(Command::GiveBack { name: self.name.clone(), owner: self.owner, term: grant.term })
    }
}
