//! Membership changes one at a time, over a network that loses nothing: a new member is first a learner and
//! then a voter, a node that lost its journal rejoins under another id, leadership is transferred.
use corkbay_quorum::{
    Change, Config, Disk, MembershipChange, OpenError, OperationId, Output, Replica, Start,
};
use std::collections::{BTreeMap, VecDeque};
use std::io;

#[derive(Default)]
struct Memory(Vec<u8>);

impl Disk for Memory {
    fn load(&mut self) -> io::Result<Vec<u8>> {
        Ok(self.0.clone())
    }

    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.0.extend(bytes);
        Ok(())
    }

    fn sync(&mut self) -> io::Result<()> {
        Ok(())
    }

    fn replace(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.0 = bytes.to_vec();
        Ok(())
    }
}

#[derive(Default)]
struct Net {
    nodes: BTreeMap<u64, Replica<Memory>>,
    messages: VecDeque<(u64, Vec<u8>)>,
    applied: u64,
    operation_count: u64,
}

fn config(node: u64, incarnation: u64) -> Config {
    Config {
        node,
        election_ticks: 6,
        heartbeat_ticks: 1,
        compact_after_entries: 8,
        seed: 3,
        incarnation,
        injected_fault: Default::default(),
    }
}

impl Net {
    fn add(&mut self, node: u64, start: Start) {
        self.nodes.insert(node, Replica::open(config(node, 1), start, Memory::default()).expect("starts"));
    }

    fn run(&mut self, ticks: usize) {
        for _ in 0..ticks {
            self.nodes.values_mut().for_each(Replica::tick);
            loop {
                for replica in self.nodes.values_mut() {
                    for output in replica.take_outputs() {
                        match output {
                            Output::Send { to, bytes } => self.messages.push_back((to, bytes)),
                            Output::Applied { .. } => self.applied += 1,
                            _ => {}
                        }
                    }
                }
                let Some((to, bytes)) = self.messages.pop_front() else { break };
                self.nodes.get_mut(&to).into_iter().for_each(|replica| replica.receive(&bytes));
            }
        }
    }

    fn leader(&self) -> u64 {
        let leads = |replica: &Replica<Memory>| replica.status().leader;
        let leader = self.nodes.values().find_map(leads).expect("a leader");
        assert!(self.nodes.contains_key(&leader));
        leader
    }

    fn at_leader(&mut self, act: impl FnOnce(&mut Replica<Memory>)) {
        let leader = self.leader();
        act(self.nodes.get_mut(&leader).expect("the node is running"));
        self.run(10);
    }

    fn write(&mut self, values: std::ops::Range<u64>) {
        for value in values {
            self.operation_count += 1;
            let (operation_id, change) = (
                OperationId(self.operation_count),
                Change::Put { key: "k".into(), value: Some(value.to_string()) },
            );
            self.at_leader(|replica| replica.propose(operation_id, &change).expect("it is the leader"));
        }
    }

    fn value_at(&self, node: u64) -> Option<&str> {
        self.nodes[&node].registry().get("k")
    }
}

/// Guards the replacement of a node that lost its journal: it cannot restart under its node id, its replacement
/// gets the state by a snapshot, and counts towards the majority only once it is a voter.
#[test]
fn a_lost_node_is_replaced_under_another_number() {
    let mut net = Net::default();
    (1..=3).for_each(|node| net.add(node, Start::Bootstrap(vec![1, 2, 3])));
    net.run(40);
    net.write(0..20);
    assert_eq!(net.applied, 20);
    let lost = *net.nodes.keys().find(|node| **node != net.leader()).expect("followers");
    net.nodes.remove(&lost);
    let again = Replica::open(config(lost, 2), Start::Restart, Memory::default());
    assert!(matches!(again.err(), Some(OpenError::MissingJournal)));
    net.at_leader(|replica| {
        replica.change_membership(MembershipChange::AddLearner(4)).expect("it is the leader")
    });
    net.add(4, Start::Join);
    net.run(40);
    assert_eq!(
        net.value_at(4),
        Some("19"),
        "it received all state by a snapshot, as the log was compacted before"
    );
    assert_eq!(net.nodes[&4].status().learners, [4]);
    net.at_leader(|replica| {
        replica.change_membership(MembershipChange::AddVoter(4)).expect("it is the leader")
    });
    net.at_leader(|replica| {
        replica.change_membership(MembershipChange::Remove(lost)).expect("it is the leader")
    });
    let status = net.nodes[&4].status();
    assert!(status.learners.is_empty() && status.voters.len() == 3 && !status.voters.contains(&lost));
    // Leadership is transferred and the old leader stops; the remaining two are a majority of three.
    let old = net.leader();
    net.at_leader(|replica| replica.transfer_leadership(4));
    assert_eq!(net.leader(), 4);
    net.nodes.remove(&old);
    net.run(40);
    net.write(20..24);
    assert_eq!(net.value_at(4), Some("23"));
    assert_eq!(net.applied, 24);
}

/// Guards against a node that decides alone: one that was never added as a member does not become leader.
#[test]
fn a_node_that_was_not_added_decides_nothing() {
    let mut net = Net::default();
    net.add(9, Start::Join);
    net.run(100);
    let node = net.nodes.get_mut(&9).expect("the node is running");
    assert!(node.status().leader.is_none());
    assert!(node.propose(OperationId(1), &Change::Put { key: "k".into(), value: None }).is_err());
}
