//! A single replica on a real file: it is a majority of one, restarts from its journal, and refuses to start
//! when that is unsafe.
use corkbay_quorum::{
    Answer, Change, Config, Disk, FileDisk, MembershipChange, OpenError, OperationId, Output, ProposeError,
    Replica, Start,
};
use std::io;
use std::path::Path;

fn config(node: u64, incarnation: u64) -> Config {
    Config {
        node,
        election_ticks: 4,
        heartbeat_ticks: 1,
        compact_after_entries: 10,
        seed: 7,
        incarnation,
        injected_fault: Default::default(),
    }
}

fn open(folder: &Path, node: u64, incarnation: u64, start: Start) -> Result<Replica<FileDisk>, OpenError> {
    Replica::open(config(node, incarnation), start, FileDisk::open(folder).expect("a directory"))
}

/// Ticks until the replica is elected leader.
fn elect<D: Disk>(replica: &mut Replica<D>) {
    for _ in 0..20 {
        replica.tick();
    }
    assert!(replica.take_outputs().contains(&Output::LeadershipChanged(true)), "a single node elects itself");
}

fn put(value: &str) -> Change {
    Change::Put { key: "w1".into(), value: Some(value.into()) }
}

/// Guards acknowledged changes across restarts, some of them from a snapshot.
#[test]
fn a_single_node_commits_alone_and_restarts_from_its_journal() {
    let folder = tempfile::tempdir().expect("a directory");
    for incarnation in 1..=8u64 {
        let start = if incarnation == 1 { Start::Bootstrap(vec![1]) } else { Start::Restart };
        let mut replica = open(folder.path(), 1, incarnation, start).expect("starts");
        elect(&mut replica);
        let before = (incarnation > 1).then(|| (incarnation - 1).to_string());
        assert_eq!(replica.registry().get("w1"), before.as_deref());
        for number in 1..=4 {
            replica.propose(OperationId(number), &put(&incarnation.to_string())).expect("it is the leader");
            let applied = Output::Applied { operation_id: OperationId(number), result: Answer::Done };
            assert!(replica.take_outputs().contains(&applied), "a single node commits at once");
        }
        replica.read(OperationId(5)).expect("it is the leader");
        assert!(replica.take_outputs().contains(&Output::ReadReady { operation_id: OperationId(5) }));
    }
}

/// Guards against a node that votes twice in a term after it lost its votes: with a missing or corrupt journal
/// it does not start under its node id.
#[test]
fn a_missing_or_corrupt_journal_prevents_start() {
    let folder = tempfile::tempdir().expect("a directory");
    assert!(matches!(open(folder.path(), 1, 1, Start::Restart), Err(OpenError::MissingJournal)));
    let mut replica = open(folder.path(), 1, 1, Start::Bootstrap(vec![1])).expect("starts");
    elect(&mut replica);
    replica.propose(OperationId(1), &put("up")).expect("it is the leader");
    drop(replica);
    assert!(matches!(open(folder.path(), 2, 1, Start::Restart), Err(OpenError::UnexpectedJournal(1))));
    assert!(matches!(open(folder.path(), 1, 2, Start::Join), Err(OpenError::UnexpectedJournal(1))));
    let journal = folder.path().join("quorum.journal");
    let valid = std::fs::read(&journal).expect("written");
    std::fs::write(&journal, &valid[..valid.len() - 3]).expect("written");
    open(folder.path(), 1, 2, Start::Restart).expect("a torn write is truncated");
    let mut corrupted = valid.clone();
    corrupted[valid.len() / 2] ^= 1;
    std::fs::write(&journal, &corrupted).expect("written");
    assert!(matches!(open(folder.path(), 1, 3, Start::Restart), Err(OpenError::Corrupt(_))));
}

/// A disk that is full after a number of appended bytes.
struct LimitedDisk(FileDisk, usize);

impl Disk for LimitedDisk {
    fn load(&mut self) -> io::Result<Vec<u8>> {
        self.0.load()
    }

    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.1 = self.1.checked_sub(bytes.len()).ok_or(io::ErrorKind::StorageFull)?;
        self.0.append(bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.0.sync()
    }

    fn replace(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.0.replace(bytes)
    }
}

/// Guards durability when the disk fails: nothing is acknowledged that may not be durable, and reads of the
/// known state still work.
#[test]
fn a_replica_whose_disk_is_full_stops_and_still_reports_its_state() {
    let folder = tempfile::tempdir().expect("a directory");
    let disk = LimitedDisk(FileDisk::open(folder.path()).expect("a directory"), 1000);
    let mut replica = Replica::open(config(1, 1), Start::Bootstrap(vec![1]), disk).expect("starts");
    elect(&mut replica);
    let applied = |output: &Output| matches!(output, Output::Applied { .. });
    let mut committed = 0;
    while replica.propose(OperationId(committed + 1), &put(&committed.to_string())).is_ok() {
        committed += u64::from(replica.take_outputs().iter().any(applied));
        assert!(committed < 100, "the disk fills up");
    }
    assert!(committed > 1);
    assert_eq!(replica.registry().get("w1"), Some((committed - 1).to_string().as_str()));
    assert_eq!(replica.propose(OperationId(200), &put("late")), Err(ProposeError::Failed));
    assert_eq!(replica.change_membership(MembershipChange::AddLearner(2)), Err(ProposeError::Failed));
    assert!(replica.status().failed.is_some() && replica.status().leader.is_none());
    replica.tick();
    assert!(replica
        .take_outputs()
        .iter()
        .all(|output| !matches!(output, Output::Send { .. } | Output::Applied { .. })));
}
