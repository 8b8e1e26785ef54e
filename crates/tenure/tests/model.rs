//! Model-checks every interleaving of two processes that want one lease. Their clocks run fast or slow, leaders
//! change, and the first process's proposals, replies and writes are delayed arbitrarily, as if it were paused
//! there. The second process's steps take no time.
use corkbay_tenure::{
    Command, Holder, LeaseMonitor, LeaseTable, LeaseTiming, Owner, ProposalId, Reply, Term,
};
use stateright::{Checker, Model, Property};
use std::time::Duration;

const LEASE_NAME: &str = "sweep";
/// True time that is explored, in units of which a lease lasts two.
const END_TIME: u32 = 4;
/// Maximum number of proposals of the first process.
const MAX_PROPOSALS: u64 = 4;
const UNIT: Duration = Duration::from_millis(1000);
/// Maximum drift of a clock in either direction, in thousandths.
const MAX_DRIFT_PERMILLE: u32 = 250;

/// The fault to inject, to verify that the model detects it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Fault {
    None,
    /// Holder and monitor use the same duration without a margin, though their clocks differ.
    NoDriftMargin,
    /// The holder counts the lease from the reply instead of from its request.
    CountFromReply,
    /// A new leader assumes that holders have been silent since time 0.
    LeaderAssumesSilence,
    /// Writes are not fenced.
    NoFencing,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Clock {
    Slow,
    Fast,
}

impl Clock {
    fn reading(self, true_time: u32) -> Duration {
        UNIT * true_time
            * if self == Clock::Slow { 1000 - MAX_DRIFT_PERMILLE } else { 1000 + MAX_DRIFT_PERMILLE }
            / 1000
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    time: u32,
    clocks: [Clock; 3],
    table: LeaseTable,
    holders: [Holder; 2],
    monitor: LeaseMonitor,
    /// Proposals in transit; those of the monitor have no id.
    proposed: Vec<(Option<ProposalId>, Command)>,
    reply: Option<(ProposalId, Reply)>,
    /// A write in transit, under the term that was valid when it began.
    write: Option<Term>,
    /// The newest term under which a write took place, and whether a write under an older one followed.
    newest: Term,
    write_term_fell: bool,
    leader_changes: u8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    AdvanceTime,
    Propose,
    Commit(usize),
    Receive,
    BeginWrite,
    CompleteWrite,
    /// The second process requests the lease and receives the reply.
    SecondTakes,
    /// The second process writes.
    SecondWrites,
    Expire,
    ChangeLeader,
}

struct TwoHolders {
    fault: Fault,
}

fn owner(who: usize) -> Owner {
    Owner { node: who as u64, life: 1 }
}

impl TwoHolders {
    fn timing(&self) -> LeaseTiming {
        LeaseTiming {
            duration: UNIT * 2,
            max_drift_permille: if self.fault == Fault::NoDriftMargin { 0 } else { MAX_DRIFT_PERMILLE },
        }
    }

    fn now(&self, state: &State, who: usize) -> Duration {
        state.clocks[who].reading(state.time)
    }
}

impl Model for TwoHolders {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let clock = |fast| if fast { Clock::Fast } else { Clock::Slow };
        let start = |bits: u32| State {
            time: 0,
            clocks: [clock(bits & 1 > 0), clock(bits & 2 > 0), clock(bits & 4 > 0)],
            table: LeaseTable::default(),
            holders: [0, 1].map(|who| Holder::new(LEASE_NAME, owner(who), self.timing())),
            monitor: LeaseMonitor::new(self.timing()),
            proposed: Vec::new(),
            reply: None,
            write: None,
            newest: Term(0),
            write_term_fell: false,
            leader_changes: 0,
        };
        (0..8).map(start).collect()
    }

    fn actions(&self, state: &State, steps: &mut Vec<Step>) {
        if state.time < END_TIME {
            steps.push(Step::AdvanceTime);
        }
        // Up to two proposals of the first process are in transit, so an old one may be committed after a newer
        // one.
        let out = state.proposed.iter().filter(|proposal| proposal.0.is_some()).count();
        let next = state.holders[0].clone().poll(self.now(state, 0));
        if out < 2 && next.is_some_and(|(proposal_id, _)| proposal_id.0 <= MAX_PROPOSALS) {
            steps.push(Step::Propose);
        }
        if state.write.is_none() && state.holders[0].active_term(self.now(state, 0)).is_some() {
            steps.push(Step::BeginWrite);
        }
        // A request while the lease is held changes nothing.
        if state.table.lease(LEASE_NAME).is_none_or(|lease| lease.holder.is_none()) {
            steps.push(Step::SecondTakes);
        }
        if state.holders[1].active_term(self.now(state, 1)).is_some_and(|term| term > state.newest) {
            steps.push(Step::SecondWrites);
        }
        steps.extend((0..state.proposed.len()).map(Step::Commit));
        steps.extend(state.reply.map(|_| Step::Receive));
        steps.extend(state.write.map(|_| Step::CompleteWrite));
        if state.proposed.iter().all(|p| p.0.is_some())
            && !state.monitor.expired(self.now(state, 2)).is_empty()
        {
            steps.push(Step::Expire);
        }
        if state.leader_changes < 1 {
            steps.push(Step::ChangeLeader);
        }
    }

    fn next_state(&self, last: &State, step: Step) -> Option<State> {
        let mut state = last.clone();
        match step {
            Step::AdvanceTime => state.time += 1,
            Step::Propose => {
                let (proposal_id, command) = state.holders[0].poll(self.now(last, 0))?;
                state.proposed.push((Some(proposal_id), command));
            }
            Step::Commit(at) => {
                let (proposal_id, command) = state.proposed.remove(at);
                let reply = state.table.apply(&command);
                state.monitor.observe(self.now(last, 2), command.name(), &state.table);
                // A reply that is overtaken by a later one counts as lost.
                state.reply = proposal_id.map(|proposal_id| (proposal_id, reply)).or(state.reply);
            }
            Step::Receive => {
                let (proposal_id, reply) = state.reply.take()?;
                if self.fault == Fault::CountFromReply {
                    // As if the request had been made just now.
                    let mut late = Holder::new(LEASE_NAME, owner(0), self.timing());
                    let (now, _) = late.poll(self.now(last, 0))?;
                    late.on_reply(now, reply);
                    state.holders[0] = late;
                } else {
                    state.holders[0].on_reply(proposal_id, reply);
                }
            }
            Step::BeginWrite => state.write = Some(state.holders[0].active_term(self.now(last, 0))?),
            Step::CompleteWrite => {
                let term = state.write.take()?;
                if self.fault == Fault::NoFencing
                    || state.table.check_fence(LEASE_NAME, owner(0), term).is_ok()
                {
                    state.write_term_fell |= term < state.newest;
                    state.newest = state.newest.max(term);
                }
            }
            Step::SecondTakes => {
                let (proposal_id, command) = state.holders[1].poll(self.now(last, 1))?;
                let reply = state.table.apply(&command);
                state.monitor.observe(self.now(last, 2), command.name(), &state.table);
                state.holders[1].on_reply(proposal_id, reply);
            }
            Step::SecondWrites => state.newest = state.holders[1].active_term(self.now(last, 1))?,
            Step::Expire => {
                state
                    .proposed
                    .extend(state.monitor.expired(self.now(last, 2)).into_iter().map(|due| (None, due)));
            }
            Step::ChangeLeader => {
                state.leader_changes += 1;
                let now = if self.fault == Fault::LeaderAssumesSilence {
                    Duration::ZERO
                } else {
                    self.now(last, 2)
                };
                state.monitor.reset(now, &state.table);
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("at most one active holder", |model: &TwoHolders, state: &State| {
                (0..2).filter(|who| state.holders[*who].active_term(model.now(state, *who)).is_some()).count()
                    < 2
            }),
            Property::always("write terms never decrease", |_, state: &State| !state.write_term_fell),
            Property::sometimes("the second process takes over", |model: &TwoHolders, state: &State| {
                state.newest > Term(1) && state.holders[1].active_term(model.now(state, 1)).is_some()
            }),
        ]
    }
}

fn explore(fault: Fault) -> impl Checker<TwoHolders> {
    TwoHolders { fault }.checker().threads(2).spawn_bfs().join()
}

/// Guards the guarantees over every order of events within the bounds above.
#[test]
fn one_acts_at_a_time_and_terms_never_fall() {
    let checker = explore(Fault::None);
    println!("{} states", checker.unique_state_count());
    checker.assert_properties();
}

/// Guards the model itself: each injected fault is detected.
#[test]
fn injected_faults_are_detected() {
    for fault in [Fault::NoDriftMargin, Fault::CountFromReply, Fault::LeaderAssumesSilence] {
        let found = explore(fault).discovery("at most one active holder");
        assert!(found.is_some(), "{fault:?} is detected");
    }
    assert!(
        explore(Fault::NoFencing).discovery("write terms never decrease").is_some(),
        "a missing fence is detected"
    );
}
