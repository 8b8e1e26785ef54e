//! Members come and go one at a time, over a network that loses nothing: a newcomer hears first and votes later, whoever
//! lost its journal comes back under another number, the lead is handed over.
use corkbay_quorum::{Change, Config, Disk, Member, OpenError, Output, Replica, Start, Ticket};
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
    made: u64,
    tickets: u64,
}

fn config(node: u64, life: u64) -> Config {
    Config { node, election: 6, heartbeat: 1, compact: 8, seed: 3, life, planted: Default::default() }
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
                    for output in replica.outputs() {
                        match output {
                            Output::Send { to, bytes } => self.messages.push_back((to, bytes)),
                            Output::Made { .. } => self.made += 1,
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
        let leads = |replica: &Replica<Memory>| replica.standing().leader;
        let leader = self.nodes.values().find_map(leads).expect("a leader");
        assert!(self.nodes.contains_key(&leader));
        leader
    }

    fn at_leader(&mut self, act: impl FnOnce(&mut Replica<Memory>)) {
        let leader = self.leader();
        act(self.nodes.get_mut(&leader).expect("runs"));
        self.run(10);
    }

    fn write(&mut self, values: std::ops::Range<u64>) {
        for value in values {
            self.tickets += 1;
            let (ticket, change) =
                (Ticket(self.tickets), Change::Put { key: "k".into(), value: Some(value.to_string()) });
            self.at_leader(|replica| replica.propose(ticket, &change).expect("it leads"));
        }
    }

    fn seen(&self, node: u64) -> Option<&str> {
        self.nodes[&node].registry().get("k")
    }
}

/// Guards a cluster over the replacement of a node whose journal is lost: it is never let in again under its number,
/// its successor is told all by a snapshot, and counts in a majority only once it votes.
#[test]
fn a_lost_node_is_replaced_under_another_number() {
    let mut net = Net::default();
    (1..=3).for_each(|node| net.add(node, Start::Founder(vec![1, 2, 3])));
    net.run(40);
    net.write(0..20);
    assert_eq!(net.made, 20);
    let lost = *net.nodes.keys().find(|node| **node != net.leader()).expect("followers");
    net.nodes.remove(&lost);
    let again = Replica::open(config(lost, 2), Start::Again, Memory::default());
    assert!(matches!(again.err(), Some(OpenError::Lost)));
    net.at_leader(|replica| replica.change(Member::Learner(4)).expect("it leads"));
    net.add(4, Start::Newcomer);
    net.run(40);
    assert_eq!(net.seen(4), Some("19"), "it was told all, though the log was cut long before");
    assert_eq!(net.nodes[&4].standing().learners, [4]);
    net.at_leader(|replica| replica.change(Member::Voter(4)).expect("it leads"));
    net.at_leader(|replica| replica.change(Member::Removed(lost)).expect("it leads"));
    let standing = net.nodes[&4].standing();
    assert!(standing.learners.is_empty() && standing.voters.len() == 3 && !standing.voters.contains(&lost));
    // The lead is handed over, and whoever had it goes; the two that are left are a majority of three.
    let old = net.leader();
    net.at_leader(|replica| replica.hand_over(4));
    assert_eq!(net.leader(), 4);
    net.nodes.remove(&old);
    net.run(40);
    net.write(20..24);
    assert_eq!(net.seen(4), Some("23"));
    assert_eq!(net.made, 24);
}

/// Guards against a node that decides alone: a newcomer that nobody added never leads.
#[test]
fn a_newcomer_that_was_not_added_decides_nothing() {
    let mut net = Net::default();
    net.add(9, Start::Newcomer);
    net.run(100);
    let node = net.nodes.get_mut(&9).expect("runs");
    assert!(node.standing().leader.is_none());
    assert!(node.propose(Ticket(1), &Change::Put { key: "k".into(), value: None }).is_err());
}
