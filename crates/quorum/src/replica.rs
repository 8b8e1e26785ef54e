//! One node's Raft replica.
use crate::journal::{self, CorruptJournal, Recovered};
use crate::raft_storage::RaftStorage;
#[cfg(feature = "planted")]
use crate::InjectedFault;
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

/// Maximum size of one append message, in bytes.
const MAX_MESSAGE_BYTES: u64 = 256 << 10;
/// Maximum number of unacknowledged append messages to one member.
const MAX_INFLIGHT_MESSAGES: usize = 64;
/// Maximum size of the uncommitted entries that a leader holds, in bytes.
const MAX_UNCOMMITTED_BYTES: u64 = 4 << 20;

/// Correlates an output with the proposal or read that caused it; chosen by the caller and never reused within
/// one process incarnation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OperationId(pub u64);

/// Configuration of a replica.
#[derive(Clone, Debug)]
pub struct Config {
    /// Id of this node; not 0, and never reused for another node.
    pub node: u64,
    /// Election timeout, in ticks; each timeout is drawn between this value and twice this value.
    pub election_ticks: usize,
    /// Interval between heartbeats of a leader, in ticks.
    pub heartbeat_ticks: usize,
    /// Number of entries applied since the last snapshot after which the log is compacted into a new one.
    pub compact_after_entries: u64,
    /// Seed of the random election timeouts.
    pub seed: u64,
    /// Unique for each start of the node, so that results of an earlier incarnation's proposals are not taken
    /// for its own.
    pub incarnation: u64,
    /// The fault to inject.
    #[cfg(feature = "planted")]
    pub injected_fault: InjectedFault,
}

/// How a replica starts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Start {
    /// Starts again from its existing journal.
    Restart,
    /// First start as one of the given initial voters of a new cluster.
    Bootstrap(Vec<u64>),
    /// First start of a node that joins an existing cluster under an unused node id; it receives the state once
    /// it is added as a member.
    Join,
}

/// Why a replica could not start.
#[derive(Debug, thiserror::Error)]
pub enum OpenError {
    /// The journal cannot be read or written.
    #[error("journal cannot be read or written: {0}")]
    Disk(#[from] io::Error),
    /// The journal is corrupt. The node may have lost a vote or entry that it acknowledged, so it must not vote
    /// under its node id again: remove it and add it under a new id.
    #[error(transparent)]
    Corrupt(#[from] CorruptJournal),
    /// The journal is missing. As with a corrupt one, the node must be removed and added under a new id.
    #[error("journal is missing; remove this node and add it under a new node id")]
    MissingJournal,
    /// The journal belongs to another node, or exists although the node starts for the first time.
    #[error("unexpected journal of node {0}")]
    UnexpectedJournal(u64),
    /// The configuration is invalid or does not match the journal.
    #[error("invalid configuration or journal for a Raft replica: {0}")]
    Raft(#[from] raft::Error),
}

/// A proposal was rejected and has no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProposeError {
    /// No leader is known, or it does not accept the proposal, for instance because too much is uncommitted.
    #[error("no leader is known, or it does not accept the proposal")]
    NoLeader,
    /// This replica stopped after an I/O error of its journal.
    #[error("this replica stopped after a journal error")]
    Failed,
}

/// A change of the cluster's members; one at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MembershipChange {
    /// Adds a member that receives the log and does not vote.
    AddLearner(u64),
    /// Makes a member a voter; propose it once the member has caught up as a learner.
    AddVoter(u64),
    /// Removes a member.
    Remove(u64),
}

/// An effect for the caller to carry out; outputs are ordered.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a message to a member. The transport may lose, delay or reorder messages, but must not duplicate
    /// them.
    Send {
        /// Node id of the member.
        to: u64,
        /// The encoded message.
        bytes: Vec<u8>,
    },
    /// A change proposed by this incarnation of the replica was committed and applied.
    Applied {
        /// The proposal.
        operation_id: OperationId,
        /// The result of the change.
        result: Answer,
    },
    /// The registry now holds everything that was committed when the read was requested.
    ReadReady {
        /// The read.
        operation_id: OperationId,
    },
    /// A lease may have changed.
    LeaseChanged {
        /// The name of the lease.
        name: String,
    },
    /// This node became leader (`true`) or ceased to be the leader (`false`).
    LeadershipChanged(bool),
}

/// Leader, members and progress as this replica knows them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// Node id of the leader, if known.
    pub leader: Option<u64>,
    /// The Raft term; not a lease term.
    pub term: u64,
    /// Index of the last applied log entry.
    pub applied: u64,
    /// Node ids of the voters.
    pub voters: Vec<u64>,
    /// Node ids of the learners.
    pub learners: Vec<u64>,
    /// The journal error that stopped this replica, if any.
    pub failed: Option<String>,
}

/// A Raft replica without I/O of its own besides its [`Disk`]; see the crate documentation.
pub struct Replica<D> {
    config: Config,
    raft: RawNode<RaftStorage>,
    disk: D,
    registry: Registry,
    applied: u64,
    /// Index of the last log entry that the snapshot covers.
    snapshot_index: u64,
    /// The members have changed since the last snapshot: a new member rejects a snapshot that does not list it.
    membership_changed: bool,
    ticks: u64,
    is_leader: bool,
    failed: Option<io::Error>,
    /// Members that were sent a snapshot, with the tick at which it was sent.
    snapshots_sent: BTreeMap<u64, u64>,
    /// Reads that wait for the registry to reach a log index, by that index.
    pending_reads: BTreeMap<u64, Vec<OperationId>>,
    outputs: Vec<Output>,
}

fn registry_from_snapshot(snapshot: &Snapshot) -> Result<Registry, io::Error> {
    serde_json::from_slice(snapshot.get_data()).map_err(io::Error::other)
}

impl<D: Disk> Replica<D> {
    /// Starts a replica. A torn write at the end of the journal is truncated first.
    ///
    /// # Errors
    /// See [`OpenError`].
    pub fn open(config: Config, start: Start, mut disk: D) -> Result<Self, OpenError> {
        let bytes = disk.load()?;
        let mut recovered = Recovered::read(&bytes)?;
        if recovered.valid_bytes < bytes.len() {
            disk.replace(&bytes[..recovered.valid_bytes])?;
        }
        let initial_voters = match start {
            Start::Restart if recovered.node == 0 => return Err(OpenError::MissingJournal),
            Start::Restart if recovered.node != config.node => {
                return Err(OpenError::UnexpectedJournal(recovered.node))
            }
            Start::Bootstrap(_) | Start::Join if recovered.node != 0 => {
                return Err(OpenError::UnexpectedJournal(recovered.node));
            }
            Start::Restart => None,
            Start::Bootstrap(initial_voters) => Some(initial_voters),
            Start::Join => Some(Vec::new()),
        };
        if let Some(voters) = initial_voters {
            recovered.members = ConfState { voters, ..ConfState::default() };
            disk.replace(&journal::identity_record(config.node, &recovered.members))?;
        }
        let index = recovered.snapshot.get_metadata().index;
        let registry =
            if index > 0 { registry_from_snapshot(&recovered.snapshot)? } else { Registry::default() };
        // Committed entries after the snapshot are applied again.
        let raft = raft::Config {
            id: config.node,
            election_tick: config.election_ticks,
            heartbeat_tick: config.heartbeat_ticks,
            applied: index,
            max_size_per_msg: MAX_MESSAGE_BYTES,
            max_inflight_msgs: MAX_INFLIGHT_MESSAGES,
            max_uncommitted_size: MAX_UNCOMMITTED_BYTES,
            check_quorum: true,
            pre_vote: true,
            ..raft::Config::default()
        };
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let raft = RawNode::new(&raft, RaftStorage::new(&recovered)?, &logger)?;
        let mut replica = Replica {
            config,
            raft,
            disk,
            registry,
            applied: index,
            snapshot_index: index,
            membership_changed: false,
            ticks: 0,
            is_leader: false,
            failed: None,
            snapshots_sent: BTreeMap::new(),
            pending_reads: BTreeMap::new(),
            outputs: Vec::new(),
        };
        replica.process_ready();
        Ok(replica)
    }

    /// Advances the replica's logical clock by one tick.
    pub fn tick(&mut self) {
        self.ticks += 1;
        // Set here instead of by the `raft` crate, so that a run can be reproduced from its seed.
        let draw_period = self.ticks / (4 * self.config.election_ticks as u64);
        let mut hasher = SipHasher13::new_with_keys(self.config.seed, self.config.node);
        hasher.write_u64(self.raft.raft.term);
        hasher.write_u64(draw_period);
        let election = self.config.election_ticks;
        self.raft
            .raft
            .set_randomized_election_timeout(election + (hasher.finish() % election as u64) as usize);
        // A snapshot may be lost in transit without the receiver knowing, so it is reported as failed after two
        // election timeouts. The `raft` crate then sends it again if the member still needs it.
        let sent_before = self.ticks.saturating_sub(2 * election as u64);
        let timed_out: Vec<u64> =
            self.snapshots_sent.iter().filter(|sent| *sent.1 <= sent_before).map(|sent| *sent.0).collect();
        for to in timed_out {
            self.snapshots_sent.remove(&to);
            self.raft.report_snapshot(to, SnapshotStatus::Failure);
        }
        self.raft.tick();
        self.process_ready();
    }

    /// Handles a message from another member. Messages that are malformed, stale or for another node are
    /// ignored.
    pub fn receive(&mut self, bytes: &[u8]) {
        let Ok(message) = Message::parse_from_bytes(bytes) else { return };
        if self.failed.is_none() && message.to == self.config.node {
            let _ = self.raft.step(message);
            self.process_ready();
        }
    }

    /// Proposes a change, which is applied at most once. If it is applied during this incarnation,
    /// [`Output::Applied`] reports it.
    ///
    /// # Errors
    /// See [`ProposeError`]; the change is then never applied.
    pub fn propose(&mut self, operation_id: OperationId, change: &Change) -> Result<(), ProposeError> {
        self.check_active()?;
        let operation_context = self.operation_context(operation_id);
        let data = serde_json::to_vec(change).expect("a change serializes to JSON");
        let proposed = self.raft.propose(operation_context, data).map_err(|_| ProposeError::NoLeader);
        self.process_ready();
        proposed
    }

    /// Requests a linearizable read: [`Output::ReadReady`] reports when the registry holds everything that was
    /// committed before this request. The request may be lost without a reply.
    ///
    /// # Errors
    /// See [`ProposeError`].
    pub fn read(&mut self, operation_id: OperationId) -> Result<(), ProposeError> {
        self.check_active()?;
        #[cfg(feature = "planted")]
        if self.config.injected_fault == InjectedFault::LocalRead {
            self.outputs.push(Output::ReadReady { operation_id });
            return Ok(());
        }
        if self.raft.raft.leader_id == 0 {
            return Err(ProposeError::NoLeader);
        }
        self.raft.read_index(self.operation_context(operation_id));
        self.process_ready();
        Ok(())
    }

    /// Proposes a change of members. While one is in progress, another one is ignored silently.
    ///
    /// # Errors
    /// See [`ProposeError`].
    pub fn change_membership(&mut self, member: MembershipChange) -> Result<(), ProposeError> {
        self.check_active()?;
        let (kind, node) = match member {
            MembershipChange::AddLearner(node) => (ConfChangeType::AddLearnerNode, node),
            MembershipChange::AddVoter(node) => (ConfChangeType::AddNode, node),
            MembershipChange::Remove(node) => (ConfChangeType::RemoveNode, node),
        };
        let mut change = ConfChange { node_id: node, ..ConfChange::default() };
        change.set_change_type(kind);
        let proposed = self.raft.propose_conf_change(Vec::new(), change).map_err(|_| ProposeError::NoLeader);
        self.process_ready();
        proposed
    }

    /// Transfers leadership to another member, if this node is the leader and the other's log is up to date.
    pub fn transfer_leadership(&mut self, to: u64) {
        if self.failed.is_none() && self.is_leader {
            self.raft.transfer_leader(to);
            self.process_ready();
        }
    }

    /// Takes the outputs produced since the last call.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// Returns the local registry, which may lag behind the leader's; see [`Replica::read`].
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Returns the leader, the members and the progress of this replica.
    pub fn status(&self) -> Status {
        let members = self.raft.store().members();
        let leader = Some(self.raft.raft.leader_id).filter(|leader| *leader > 0 && self.failed.is_none());
        Status {
            leader,
            term: self.raft.raft.term,
            applied: self.applied,
            voters: members.voters,
            learners: members.learners,
            failed: self.failed.as_ref().map(ToString::to_string),
        }
    }

    fn check_active(&self) -> Result<(), ProposeError> {
        self.failed.as_ref().map_or(Ok(()), |_| Err(ProposeError::Failed))
    }

    /// Processes everything that the `raft` crate has ready. After an I/O error the replica stops sending
    /// messages: the others elect another leader, and nothing is acknowledged that may not be durable.
    fn process_ready(&mut self) {
        if self.failed.is_some() {
            return;
        }
        if let Err(error) = self.try_process_ready() {
            self.failed = Some(error);
            self.pending_reads.clear();
            self.outputs.retain(|output| !matches!(output, Output::Send { .. }));
        }
        let is_leader = self.failed.is_none() && self.raft.raft.state == StateRole::Leader;
        if is_leader != std::mem::replace(&mut self.is_leader, is_leader) {
            self.outputs.push(Output::LeadershipChanged(is_leader));
        }
    }

    fn try_process_ready(&mut self) -> io::Result<()> {
        while self.raft.has_ready() {
            let mut ready = self.raft.ready();
            // Only a leader's messages, which acknowledge nothing that is not yet durable.
            self.send(ready.take_messages());
            #[cfg(feature = "planted")]
            if self.config.injected_fault == InjectedFault::SendBeforeSync {
                self.send(ready.take_persisted_messages());
            }
            if ready.snapshot().get_metadata().index > 0 {
                self.install_snapshot(ready.snapshot())?;
            }
            let committed = ready.take_committed_entries();
            self.persist(&ready)?;
            self.send(ready.take_persisted_messages());
            self.apply_committed(committed)?;
            for read in ready.take_read_states() {
                if let Some(operation_id) = self.own_operation_id(&read.request_ctx) {
                    self.pending_reads.entry(read.index).or_default().push(operation_id);
                }
            }
            let mut light_ready = self.raft.advance(ready);
            if let Some(commit) = light_ready.commit_index() {
                // Not persisted at once: the commit index can be recomputed after a restart.
                self.raft.mut_store().log.wl().mut_hard_state().commit = commit;
            }
            self.send(light_ready.take_messages());
            self.apply_committed(light_ready.take_committed_entries())?;
            self.raft.advance_apply();
            self.complete_reads();
        }
        self.compact()
    }

    fn send(&mut self, messages: Vec<Message>) {
        for message in messages {
            if message.get_msg_type() == MessageType::MsgSnapshot {
                self.snapshots_sent.insert(message.to, self.ticks);
            }
            let bytes = message.write_to_bytes().expect("all required fields are set");
            self.outputs.push(Output::Send { to: message.to, bytes });
        }
    }

    fn persist(&mut self, ready: &raft::Ready) -> io::Result<()> {
        if !ready.entries().is_empty() {
            self.disk.append(&journal::entry_records(ready.entries()))?;
            self.raft.mut_store().log.wl().append(ready.entries()).map_err(io::Error::other)?;
        }
        if let Some(state) = ready.hs() {
            #[cfg(feature = "planted")]
            let state = &{
                let omits_vote = self.config.injected_fault == InjectedFault::UnpersistedVote;
                raft::eraftpb::HardState { vote: if omits_vote { 0 } else { state.vote }, ..state.clone() }
            };
            self.disk.append(&journal::hard_state_record(state))?;
            self.raft.mut_store().log.wl().set_hardstate(state.clone());
        }
        if ready.must_sync() {
            #[cfg(feature = "planted")]
            if self.config.injected_fault == InjectedFault::SendBeforeSync {
                return Ok(());
            }
            self.disk.sync()?;
        }
        Ok(())
    }

    /// Replaces the local state by a snapshot received from the leader.
    fn install_snapshot(&mut self, snapshot: &Snapshot) -> io::Result<()> {
        let registry = registry_from_snapshot(snapshot)?;
        // Synced together with the other records of the same `Ready`.
        self.disk.append(&journal::snapshot_record(snapshot))?;
        let store = self.raft.mut_store();
        store.log.wl().apply_snapshot(snapshot.clone()).map_err(io::Error::other)?;
        store.snapshot = snapshot.clone();
        let index = snapshot.get_metadata().index;
        (self.registry, self.applied, self.snapshot_index) = (registry, index, index);
        let names: Vec<String> = self.registry.leases().leases().map(|(name, _)| name.to_string()).collect();
        self.outputs.extend(names.into_iter().map(|name| Output::LeaseChanged { name }));
        Ok(())
    }

    /// Applies committed entries.
    fn apply_committed(&mut self, committed: Vec<Entry>) -> io::Result<()> {
        for entry in committed {
            self.applied = entry.index;
            if entry.get_entry_type() != EntryType::EntryNormal {
                let change = ConfChange::parse_from_bytes(&entry.data).map_err(io::Error::other)?;
                let members = self.raft.apply_conf_change(&change).map_err(io::Error::other)?;
                self.raft.mut_store().log.wl().set_conf_state(members);
                self.membership_changed = true;
                continue;
            }
            // A new leader's first entry is empty.
            let Ok(change) = serde_json::from_slice::<Change>(&entry.data) else { continue };
            let lease = match &change {
                Change::Lease(command) => Some(command.name().to_string()),
                _ => None,
            };
            #[cfg(feature = "planted")]
            let result = if self.config.injected_fault == InjectedFault::NoFencing {
                self.registry.apply_unfenced(change)
            } else {
                self.registry.apply(change)
            };
            #[cfg(not(feature = "planted"))]
            let result = self.registry.apply(change);
            self.outputs.extend(lease.map(|name| Output::LeaseChanged { name }));
            self.outputs.extend(
                self.own_operation_id(&entry.context)
                    .map(|operation_id| Output::Applied { operation_id, result }),
            );
        }
        Ok(())
    }

    /// Entry context that identifies a proposal or read among those of all nodes and incarnations.
    fn operation_context(&self, operation_id: OperationId) -> Vec<u8> {
        [self.config.node, self.config.incarnation, operation_id.0].map(u64::to_be_bytes).concat()
    }

    /// The operation id in an entry context, if this incarnation of this node created it.
    fn own_operation_id(&self, operation_context: &[u8]) -> Option<OperationId> {
        let operation_id = OperationId(u64::from_be_bytes(*operation_context.last_chunk()?));
        (operation_context == self.operation_context(operation_id)).then_some(operation_id)
    }

    fn complete_reads(&mut self) {
        while let Some(entry) = self.pending_reads.first_entry().filter(|entry| *entry.key() <= self.applied)
        {
            let operation_ids = entry.remove();
            self.outputs
                .extend(operation_ids.into_iter().map(|operation_id| Output::ReadReady { operation_id }));
        }
    }

    /// Replaces the applied log entries by a snapshot once there are enough of them, and rewrites the journal.
    fn compact(&mut self) -> io::Result<()> {
        if self.applied
            < self.snapshot_index
                + if self.membership_changed { 1 } else { self.config.compact_after_entries }
        {
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
        let read_context = GetEntriesContext::empty(false);
        let remaining = if last > self.applied {
            store.entries(self.applied + 1, last + 1, None, read_context).map_err(io::Error::other)?
        } else {
            Vec::new()
        };
        let state = store.log.rl().hard_state().clone();
        let identity = journal::identity_record(self.config.node, &ConfState::default());
        let contents = [
            identity,
            journal::snapshot_record(&snapshot),
            journal::entry_records(&remaining),
            journal::hard_state_record(&state),
        ]
        .concat();
        self.disk.replace(&contents)?;
        let store = self.raft.mut_store();
        // The entry at the snapshot's index stays in memory, because `raft` asks for its term.
        store.log.wl().compact(self.applied).map_err(io::Error::other)?;
        store.snapshot = snapshot;
        (self.snapshot_index, self.membership_changed) = (self.applied, false);
        Ok(())
    }
}
