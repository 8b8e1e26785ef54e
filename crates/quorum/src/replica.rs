//! One node's part in the agreement.
use crate::journal::{self, Damaged, Recovered};
use crate::shelf::Shelf;
#[cfg(feature = "planted")]
use crate::Planted;
use crate::{Answer, Change, Disk, Registry};
use protobuf::Message as _;
use raft::eraftpb::{
    ConfChange, ConfChangeType, ConfState, Entry, EntryType, Message, MessageType, Snapshot,
};
use raft::{GetEntriesContext, RawNode, SnapshotStatus, StateRole, Storage};
use siphasher::sip::SipHasher13;
use std::collections::BTreeMap;
use std::hash::Hasher;
use std::io;

/// Most bytes in one message of entries.
const MESSAGE: u64 = 256 << 10;
/// Most messages of entries to one member without an answer.
const IN_FLIGHT: usize = 64;
/// Most bytes that a leader holds of changes not agreed yet.
const UNAGREED: u64 = 4 << 20;

/// Which proposal or question an output belongs to; the caller's own count, never used twice in one life.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// Figures of a replica.
#[derive(Clone, Debug)]
pub struct Config {
    /// This node's number; not 0, and never given to another node again.
    pub node: u64,
    /// Ticks without a leader after which another is elected, up to twice as many.
    pub election: usize,
    /// Ticks between two signs of life of a leader.
    pub heartbeat: usize,
    /// Entries applied after which a snapshot takes their place.
    pub compact: u64,
    /// For what is drawn: the time of elections.
    pub seed: u64,
    /// New with every start of the node: answers to an earlier life's proposals are nobody's.
    pub life: u64,
    /// What is left out.
    #[cfg(feature = "planted")]
    pub planted: Planted,
}

/// How a replica starts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Start {
    /// From its journal.
    Again,
    /// For the first time, as one of those who begin a registry together.
    Founder(Vec<u64>),
    /// For the first time, under a number that no node ever had: it hears of all once it is added.
    Newcomer,
}

/// Why a replica did not start.
#[derive(Debug, thiserror::Error)]
pub enum OpenError {
    /// The journal can't be read or written.
    #[error("the journal can't be read or written: {0}")]
    Disk(#[from] io::Error),
    /// The journal is damaged. What it promised may be forgotten, so this node must not vote under its number again: it
    /// is to be removed, and added anew under another.
    #[error(transparent)]
    Damaged(#[from] Damaged),
    /// Nothing stands where a journal should. What this node promised is forgotten: as for one that is damaged.
    #[error("the journal is lost; add this node anew under another number")]
    Lost,
    /// A journal stands where none should, or another node's.
    #[error("a journal of node {0} stands here")]
    Another(u64),
    /// The figures don't fit each other or the journal.
    #[error("no replica can be made of this: {0}")]
    Raft(#[from] raft::Error),
}

/// A proposal was not taken; nothing came of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NotProposed {
    /// No leader is known, or it has too much before it.
    #[error("no leader is known")]
    NoLeader,
    /// This replica's journal failed; it takes no part.
    #[error("this replica takes no part")]
    Failed,
}

/// A change of members, one at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Member {
    /// Hears of all and does not vote.
    Learner(u64),
    /// Votes; to be asked for once it has caught up as a learner.
    Voter(u64),
    /// Takes no part any more.
    Removed(u64),
}

/// What a replica wants done, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// To be sent to a member; it may be lost, be late or come out of order, but not twice.
    Send {
        /// The member.
        to: u64,
        /// The message.
        bytes: Vec<u8>,
    },
    /// A change proposed here was agreed and made.
    Made {
        /// The proposal.
        ticket: Ticket,
        /// What became of it.
        answer: Answer,
    },
    /// From now on the registry here holds all that was agreed when the question was asked.
    Readable {
        /// The question.
        ticket: Ticket,
    },
    /// A lease may have changed.
    Leases {
        /// Its name.
        name: String,
    },
    /// This node began or ceased to lead.
    Leading(bool),
}

/// Who leads, and how far this replica is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Standing {
    /// The leader as far as is known here.
    pub leader: Option<u64>,
    /// The term of the agreement, not of a lease.
    pub term: u64,
    /// The last change that was made here.
    pub applied: u64,
    /// Who votes.
    pub voters: Vec<u64>,
    /// Who only hears.
    pub learners: Vec<u64>,
    /// Why this replica takes no part.
    pub failed: Option<String>,
}

/// One node's part in the agreement; see the crate.
pub struct Replica<D> {
    config: Config,
    raft: RawNode<Shelf>,
    disk: D,
    registry: Registry,
    applied: u64,
    /// The last change that the snapshot holds.
    compacted: u64,
    /// Members changed since: a newcomer takes no snapshot that does not name it.
    outdated: bool,
    ticks: u64,
    leads: bool,
    failed: Option<io::Error>,
    /// Members that were sent a snapshot, and the tick at which.
    snapshots: BTreeMap<u64, u64>,
    /// Questions that wait until the registry is as far as they need, by that index.
    reading: BTreeMap<u64, Vec<Ticket>>,
    outputs: Vec<Output>,
}

fn restored(snapshot: &Snapshot) -> Result<Registry, io::Error> {
    serde_json::from_slice(snapshot.get_data()).map_err(io::Error::other)
}

impl<D: Disk> Replica<D> {
    /// Starts. A torn tail of the journal is cut off first.
    ///
    /// # Errors
    /// See [`OpenError`].
    pub fn open(config: Config, start: Start, mut disk: D) -> Result<Self, OpenError> {
        let bytes = disk.load()?;
        let mut recovered = Recovered::read(&bytes)?;
        if recovered.sound < bytes.len() {
            disk.replace(&bytes[..recovered.sound])?;
        }
        let founders = match start {
            Start::Again if recovered.node == 0 => return Err(OpenError::Lost),
            Start::Again if recovered.node != config.node => return Err(OpenError::Another(recovered.node)),
            Start::Founder(_) | Start::Newcomer if recovered.node != 0 => {
                return Err(OpenError::Another(recovered.node));
            }
            Start::Again => None,
            Start::Founder(founders) => Some(founders),
            Start::Newcomer => Some(Vec::new()),
        };
        if let Some(voters) = founders {
            recovered.members = ConfState { voters, ..ConfState::default() };
            disk.replace(&journal::begun(config.node, &recovered.members))?;
        }
        let index = recovered.snapshot.get_metadata().index;
        let registry = if index > 0 { restored(&recovered.snapshot)? } else { Registry::default() };
        // What was committed is applied anew from the snapshot on.
        let raft = raft::Config {
            id: config.node,
            election_tick: config.election,
            heartbeat_tick: config.heartbeat,
            applied: index,
            max_size_per_msg: MESSAGE,
            max_inflight_msgs: IN_FLIGHT,
            max_uncommitted_size: UNAGREED,
            check_quorum: true,
            pre_vote: true,
            ..raft::Config::default()
        };
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let raft = RawNode::new(&raft, Shelf::new(&recovered)?, &logger)?;
        let mut replica = Replica {
            config,
            raft,
            disk,
            registry,
            applied: index,
            compacted: index,
            outdated: false,
            ticks: 0,
            leads: false,
            failed: None,
            snapshots: BTreeMap::new(),
            reading: BTreeMap::new(),
            outputs: Vec::new(),
        };
        replica.settle();
        Ok(replica)
    }

    /// One tick has passed.
    pub fn tick(&mut self) {
        self.ticks += 1;
        // Drawn here and not by the crate, so that a run can be repeated from its seed.
        let era = self.ticks / (4 * self.config.election as u64);
        let mut hasher = SipHasher13::new_with_keys(self.config.seed, self.config.node);
        hasher.write_u64(self.raft.raft.term);
        hasher.write_u64(era);
        let election = self.config.election;
        self.raft
            .raft
            .set_randomized_election_timeout(election + (hasher.finish() % election as u64) as usize);
        // A snapshot may be lost on its way, and its receiver does not know of it: one without a sign is sent again.
        let patience = self.ticks.saturating_sub(2 * election as u64);
        let lost: Vec<u64> =
            self.snapshots.iter().filter(|sent| *sent.1 <= patience).map(|sent| *sent.0).collect();
        for to in lost {
            self.snapshots.remove(&to);
            self.raft.report_snapshot(to, SnapshotStatus::Failure);
        }
        self.raft.tick();
        self.settle();
    }

    /// A message of another member came. What can't be read, or is out of date, is left out.
    pub fn receive(&mut self, bytes: &[u8]) {
        let Ok(message) = Message::parse_from_bytes(bytes) else { return };
        if self.failed.is_none() && message.to == self.config.node {
            let _ = self.raft.step(message);
            self.settle();
        }
    }

    /// Proposes a change. It may be made once or never; where it is made while this life lasts, [`Output::Made`] says so.
    ///
    /// # Errors
    /// See [`NotProposed`]; the change is then never made.
    pub fn propose(&mut self, ticket: Ticket, change: &Change) -> Result<(), NotProposed> {
        self.takes_part()?;
        let context = self.context(ticket);
        let data = serde_json::to_vec(change).expect("a change is plain data");
        let proposed = self.raft.propose(context, data).map_err(|_| NotProposed::NoLeader);
        self.settle();
        proposed
    }

    /// Asks for a moment from which on the registry here holds all that was agreed before the question. A question may
    /// get no answer.
    ///
    /// # Errors
    /// See [`NotProposed`].
    pub fn read(&mut self, ticket: Ticket) -> Result<(), NotProposed> {
        self.takes_part()?;
        #[cfg(feature = "planted")]
        if self.config.planted == Planted::ReadsLocally {
            self.outputs.push(Output::Readable { ticket });
            return Ok(());
        }
        if self.raft.raft.leader_id == 0 {
            return Err(NotProposed::NoLeader);
        }
        self.raft.read_index(self.context(ticket));
        self.settle();
        Ok(())
    }

    /// Proposes a change of members; only one is under way at a time, another is left out silently.
    ///
    /// # Errors
    /// See [`NotProposed`].
    pub fn change(&mut self, member: Member) -> Result<(), NotProposed> {
        self.takes_part()?;
        let (kind, node) = match member {
            Member::Learner(node) => (ConfChangeType::AddLearnerNode, node),
            Member::Voter(node) => (ConfChangeType::AddNode, node),
            Member::Removed(node) => (ConfChangeType::RemoveNode, node),
        };
        let mut change = ConfChange { node_id: node, ..ConfChange::default() };
        change.set_change_type(kind);
        let proposed = self.raft.propose_conf_change(Vec::new(), change).map_err(|_| NotProposed::NoLeader);
        self.settle();
        proposed
    }

    /// Hands the lead to another member, where this node leads and that one is as far.
    pub fn hand_over(&mut self, to: u64) {
        if self.failed.is_none() && self.leads {
            self.raft.transfer_leader(to);
            self.settle();
        }
    }

    /// What is to be done since it was last asked for.
    pub fn outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// What was agreed, as far as this node knows. It may lag; see [`Replica::read`].
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Who leads, and how far this replica is.
    pub fn standing(&self) -> Standing {
        let members = self.raft.store().members();
        let leader = Some(self.raft.raft.leader_id).filter(|leader| *leader > 0 && self.failed.is_none());
        Standing {
            leader,
            term: self.raft.raft.term,
            applied: self.applied,
            voters: members.voters,
            learners: members.learners,
            failed: self.failed.as_ref().map(ToString::to_string),
        }
    }

    fn takes_part(&self) -> Result<(), NotProposed> {
        self.failed.as_ref().map_or(Ok(()), |_| Err(NotProposed::Failed))
    }

    /// Does what the agreement calls for, until it calls for nothing more. Where the disk fails this replica falls
    /// silent: the others elect another leader, and nothing is promised that may not stand.
    fn settle(&mut self) {
        if self.failed.is_some() {
            return;
        }
        if let Err(error) = self.carry_out() {
            self.failed = Some(error);
            self.reading.clear();
            self.outputs.retain(|output| !matches!(output, Output::Send { .. }));
        }
        let leads = self.failed.is_none() && self.raft.raft.state == StateRole::Leader;
        if leads != std::mem::replace(&mut self.leads, leads) {
            self.outputs.push(Output::Leading(leads));
        }
    }

    fn carry_out(&mut self) -> io::Result<()> {
        while self.raft.has_ready() {
            let mut ready = self.raft.ready();
            // Only a leader's, which promise nothing that is not on disk.
            self.send(ready.take_messages());
            #[cfg(feature = "planted")]
            if self.config.planted == Planted::SendsBeforeSync {
                self.send(ready.take_persisted_messages());
            }
            if ready.snapshot().get_metadata().index > 0 {
                self.take_over(ready.snapshot())?;
            }
            let committed = ready.take_committed_entries();
            self.write_down(&ready)?;
            self.send(ready.take_persisted_messages());
            self.make(committed)?;
            for read in ready.take_read_states() {
                if let Some(ticket) = self.ours(&read.request_ctx) {
                    self.reading.entry(read.index).or_default().push(ticket);
                }
            }
            let mut light = self.raft.advance(ready);
            if let Some(commit) = light.commit_index() {
                // Not written at once: what is known to be committed is found out again.
                self.raft.mut_store().log.wl().mut_hard_state().commit = commit;
            }
            self.send(light.take_messages());
            self.make(light.take_committed_entries())?;
            self.raft.advance_apply();
            self.answer_reads();
        }
        self.compact()
    }

    fn send(&mut self, messages: Vec<Message>) {
        for message in messages {
            if message.get_msg_type() == MessageType::MsgSnapshot {
                self.snapshots.insert(message.to, self.ticks);
            }
            let bytes = message.write_to_bytes().expect("no required field is left out");
            self.outputs.push(Output::Send { to: message.to, bytes });
        }
    }

    fn write_down(&mut self, ready: &raft::Ready) -> io::Result<()> {
        if !ready.entries().is_empty() {
            self.disk.append(&journal::entries(ready.entries()))?;
            self.raft.mut_store().log.wl().append(ready.entries()).map_err(io::Error::other)?;
        }
        if let Some(state) = ready.hs() {
            #[cfg(feature = "planted")]
            let state = &{
                let forgets = self.config.planted == Planted::ForgetsVotes;
                raft::eraftpb::HardState { vote: if forgets { 0 } else { state.vote }, ..state.clone() }
            };
            self.disk.append(&journal::hard(state))?;
            self.raft.mut_store().log.wl().set_hardstate(state.clone());
        }
        if ready.must_sync() {
            #[cfg(feature = "planted")]
            if self.config.planted == Planted::SendsBeforeSync {
                return Ok(());
            }
            self.disk.sync()?;
        }
        Ok(())
    }

    /// A snapshot of the leader's takes the place of all that stood here.
    fn take_over(&mut self, snapshot: &Snapshot) -> io::Result<()> {
        let registry = restored(snapshot)?;
        // Synced with what the same moment brings.
        self.disk.append(&journal::snapshot(snapshot))?;
        let store = self.raft.mut_store();
        store.log.wl().apply_snapshot(snapshot.clone()).map_err(io::Error::other)?;
        store.snapshot = snapshot.clone();
        let index = snapshot.get_metadata().index;
        (self.registry, self.applied, self.compacted) = (registry, index, index);
        let names: Vec<String> = self.registry.leases().leases().map(|(name, _)| name.to_string()).collect();
        self.outputs.extend(names.into_iter().map(|name| Output::Leases { name }));
        Ok(())
    }

    /// Makes what was agreed.
    fn make(&mut self, committed: Vec<Entry>) -> io::Result<()> {
        for entry in committed {
            self.applied = entry.index;
            if entry.get_entry_type() != EntryType::EntryNormal {
                let change = ConfChange::parse_from_bytes(&entry.data).map_err(io::Error::other)?;
                let members = self.raft.apply_conf_change(&change).map_err(io::Error::other)?;
                self.raft.mut_store().log.wl().set_conf_state(members);
                self.outdated = true;
                continue;
            }
            // A new leader's first entry is empty.
            let Ok(change) = serde_json::from_slice::<Change>(&entry.data) else { continue };
            let lease = match &change {
                Change::Lease(command) => Some(command.name().to_string()),
                _ => None,
            };
            #[cfg(feature = "planted")]
            let answer = if self.config.planted == Planted::NoFence {
                self.registry.apply_unfenced(change)
            } else {
                self.registry.apply(change)
            };
            #[cfg(not(feature = "planted"))]
            let answer = self.registry.apply(change);
            self.outputs.extend(lease.map(|name| Output::Leases { name }));
            self.outputs.extend(self.ours(&entry.context).map(|ticket| Output::Made { ticket, answer }));
        }
        Ok(())
    }

    /// What marks a proposal or question among those of all nodes and their lives.
    fn context(&self, ticket: Ticket) -> Vec<u8> {
        [self.config.node, self.config.life, ticket.0].map(u64::to_be_bytes).concat()
    }

    /// The ticket of a mark that this life of this node made.
    fn ours(&self, context: &[u8]) -> Option<Ticket> {
        let ticket = Ticket(u64::from_be_bytes(*context.last_chunk()?));
        (context == self.context(ticket)).then_some(ticket)
    }

    fn answer_reads(&mut self) {
        while let Some(entry) = self.reading.first_entry().filter(|entry| *entry.key() <= self.applied) {
            let tickets = entry.remove();
            self.outputs.extend(tickets.into_iter().map(|ticket| Output::Readable { ticket }));
        }
    }

    /// Puts a snapshot in the place of what was applied, once that is long; the journal is written anew.
    fn compact(&mut self) -> io::Result<()> {
        if self.applied < self.compacted + if self.outdated { 1 } else { self.config.compact } {
            return Ok(());
        }
        let store = self.raft.store();
        let mut snapshot = Snapshot::default();
        let meta = snapshot.mut_metadata();
        meta.index = self.applied;
        meta.term = store.term(self.applied).map_err(io::Error::other)?;
        meta.set_conf_state(store.members());
        snapshot.data = serde_json::to_vec(&self.registry).map_err(io::Error::other)?.into();
        let last = store.last_index().map_err(io::Error::other)?;
        let behind = GetEntriesContext::empty(false);
        let rest = if last > self.applied {
            store.entries(self.applied + 1, last + 1, None, behind).map_err(io::Error::other)?
        } else {
            Vec::new()
        };
        let state = store.log.rl().hard_state().clone();
        let begun = journal::begun(self.config.node, &ConfState::default());
        let whole =
            [begun, journal::snapshot(&snapshot), journal::entries(&rest), journal::hard(&state)].concat();
        self.disk.replace(&whole)?;
        let store = self.raft.mut_store();
        // The entry at the snapshot's end stays in memory: its term is asked for.
        store.log.wl().compact(self.applied).map_err(io::Error::other)?;
        store.snapshot = snapshot;
        (self.compacted, self.outdated) = (self.applied, false);
        Ok(())
    }
}
