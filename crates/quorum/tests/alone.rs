//! One replica on a real file: it is a majority of one, starts again from its journal, and knows when it must not.
use corkbay_quorum::{
    Answer, Change, Config, Disk, FileDisk, Member, NotProposed, OpenError, Output, Replica, Start, Ticket,
};
use std::io;
use std::path::Path;

fn config(node: u64, life: u64) -> Config {
    Config { node, election: 4, heartbeat: 1, compact: 10, seed: 7, life, planted: Default::default() }
}

fn open(folder: &Path, node: u64, life: u64, start: Start) -> Result<Replica<FileDisk>, OpenError> {
    Replica::open(config(node, life), start, FileDisk::open(folder).expect("a folder"))
}

/// Ticks until it leads.
fn lead<D: Disk>(replica: &mut Replica<D>) {
    for _ in 0..20 {
        replica.tick();
    }
    assert!(replica.outputs().contains(&Output::Leading(true)), "alone, it leads");
}

fn put(value: &str) -> Change {
    Change::Put { key: "w1".into(), value: Some(value.into()) }
}

/// Guards what was acknowledged over many starts, snapshots among them.
#[test]
fn one_node_alone_agrees_with_itself_and_starts_again() {
    let folder = tempfile::tempdir().expect("a folder");
    for life in 1..=8u64 {
        let start = if life == 1 { Start::Founder(vec![1]) } else { Start::Again };
        let mut replica = open(folder.path(), 1, life, start).expect("starts");
        lead(&mut replica);
        let before = (life > 1).then(|| (life - 1).to_string());
        assert_eq!(replica.registry().get("w1"), before.as_deref());
        for number in 1..=4 {
            replica.propose(Ticket(number), &put(&life.to_string())).expect("it leads");
            let made = Output::Made { ticket: Ticket(number), answer: Answer::Done };
            assert!(replica.outputs().contains(&made), "agreed at once, alone");
        }
        replica.read(Ticket(5)).expect("it leads");
        assert!(replica.outputs().contains(&Output::Readable { ticket: Ticket(5) }));
    }
}

/// Guards against a node that votes again after it forgot its votes: without its journal, or with a damaged one, it does
/// not start under its number.
#[test]
fn a_lost_or_damaged_journal_is_no_start() {
    let folder = tempfile::tempdir().expect("a folder");
    assert!(matches!(open(folder.path(), 1, 1, Start::Again), Err(OpenError::Lost)));
    let mut replica = open(folder.path(), 1, 1, Start::Founder(vec![1])).expect("starts");
    lead(&mut replica);
    replica.propose(Ticket(1), &put("up")).expect("it leads");
    drop(replica);
    assert!(matches!(open(folder.path(), 2, 1, Start::Again), Err(OpenError::Another(1))));
    assert!(matches!(open(folder.path(), 1, 2, Start::Newcomer), Err(OpenError::Another(1))));
    let journal = folder.path().join("quorum.journal");
    let sound = std::fs::read(&journal).expect("written");
    std::fs::write(&journal, &sound[..sound.len() - 3]).expect("written");
    open(folder.path(), 1, 2, Start::Again).expect("a torn tail is cut off");
    let mut spoilt = sound.clone();
    spoilt[sound.len() / 2] ^= 1;
    std::fs::write(&journal, &spoilt).expect("written");
    assert!(matches!(open(folder.path(), 1, 3, Start::Again), Err(OpenError::Damaged(_))));
}

/// A disk that is full from a moment on.
struct Full(FileDisk, usize);

impl Disk for Full {
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

/// Guards the promise against a disk that fails: nothing is acknowledged that may not stand, and what is known is still
/// told.
#[test]
fn a_replica_whose_disk_is_full_takes_no_part_and_tells_what_it_knows() {
    let folder = tempfile::tempdir().expect("a folder");
    let disk = Full(FileDisk::open(folder.path()).expect("a folder"), 1000);
    let mut replica = Replica::open(config(1, 1), Start::Founder(vec![1]), disk).expect("starts");
    lead(&mut replica);
    let made = |output: &Output| matches!(output, Output::Made { .. });
    let mut agreed = 0;
    while replica.propose(Ticket(agreed + 1), &put(&agreed.to_string())).is_ok() {
        agreed += u64::from(replica.outputs().iter().any(made));
        assert!(agreed < 100, "the disk has an end");
    }
    assert!(agreed > 1);
    assert_eq!(replica.registry().get("w1"), Some((agreed - 1).to_string().as_str()));
    assert_eq!(replica.propose(Ticket(200), &put("late")), Err(NotProposed::Failed));
    assert_eq!(replica.change(Member::Learner(2)), Err(NotProposed::Failed));
    assert!(replica.standing().failed.is_some() && replica.standing().leader.is_none());
    replica.tick();
    assert!(replica
        .outputs()
        .iter()
        .all(|output| !matches!(output, Output::Send { .. } | Output::Made { .. })));
}
