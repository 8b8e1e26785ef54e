use super::*;
use corkbay_duty::{Other, Seen};
use std::path::{Path, PathBuf};

fn folder(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("corkbay-handover-{}-{name}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    path
}

fn sync(folder: &Path) -> OverridesSync {
    let setup = serde_json::json!({"classes": [{"name": "check"}]});
    let ledger = crate::memory::roomy();
    let limits = crate::wire::workers::Limits {
        streams: 1,
        connect: Duration::from_millis(10),
        idle: Duration::from_secs(1),
        connections: 1,
        answer: 1,
        cancels: true,
    };
    let account = ledger.account(corkbay_ledger::Purpose::Workers).clone();
    let workers = Arc::new(crate::wire::workers::FrameWorkers::new(limits, account));
    let files = SharedFiles::join(folder).expect("a slot");
    OverridesSync::new(&Invoker::new(&setup, 1, workers, ledger), files)
}

fn suspend(name: &str) -> OperatorCommand {
    OperatorCommand::Suspend(name.to_string())
}

/// Guards bans over an upgrade, in both directions, and over a death without a word.
#[test]
fn a_word_passes_both_ways_and_outlives_its_writer() {
    let folder = folder("both");
    let mut old = sync(&folder);
    old.look_at_overrides().expect("nothing stands");
    assert_eq!(old.execute(&suspend("a")), Ok(()));
    let mut new = sync(&folder);
    assert_eq!(new.status.succession.lock().expect("whole").other(), Some(Other::Predecessor));
    new.look_at_overrides().expect("read");
    assert!(new.invoker.bans().is_out("a"));
    assert_eq!(new.execute(&suspend("b")), Ok(()));
    assert_eq!(new.execute(&OperatorCommand::Drain), Ok(()));
    old.look_at_overrides().expect("read");
    assert!(old.invoker.bans().is_out("b"));
    assert_eq!(old.invoker.duty().leaving(), Some(Leave::Drained));
    assert_eq!(old.execute(&OperatorCommand::Resume("a".into())), Ok(()));
    assert_eq!(old.execute(&OperatorCommand::Activate), Ok(()));
    new.look_at_overrides().expect("read");
    assert!(!new.invoker.bans().is_out("a") && new.invoker.bans().is_out("b"));
    assert!(new.invoker.bans().back_at("a").is_some(), "it is cold for the other one, too");
    assert_eq!(new.invoker.duty().leaving(), None);
    drop((old, new));
    let mut later = sync(&folder);
    assert_eq!(
        later.status.succession.lock().expect("whole").other(),
        None,
        "slots end with their processes"
    );
    later.look_at_overrides().expect("read");
    assert!(later.invoker.bans().is_out("b"));
    let _ = std::fs::remove_dir_all(&folder);
}

/// Guards bans against a record that is damaged or gone: who knows better writes it again, a successor waits for
/// that, and nothing is lifted.
#[test]
fn a_damaged_record_lifts_nothing_and_is_written_again() {
    let folder = folder("torn");
    let mut old = sync(&folder);
    old.look_at_overrides().expect("nothing stands");
    old.execute(&suspend("a")).expect("written");
    let whole = std::fs::read(folder.join("word")).expect("stands");
    for damage in [&whole[..whole.len() / 2], b"", b"nonsense"] {
        std::fs::write(folder.join("word"), damage).expect("torn");
        let mut new = sync(&folder);
        new.look_at_overrides().expect("looked at");
        assert!(!new.status.has_overrides.load(Ordering::Acquire), "it waits for its predecessor");
        old.look_at_overrides().expect("restored");
        assert!(old.invoker.bans().is_out("a"));
        new.look_at_overrides().expect("read");
        assert!(new.status.has_overrides.load(Ordering::Acquire) && new.invoker.bans().is_out("a"));
    }
    std::fs::remove_file(folder.join("word")).expect("gone");
    old.look_at_overrides().expect("restored");
    assert_eq!(std::fs::read(folder.join("word")).expect("stands"), whole);
    drop(old);
    // Without anybody who knows, the record is set aside and the process goes on.
    std::fs::write(folder.join("word"), b"nonsense").expect("torn");
    let mut later = sync(&folder);
    later.look_at_overrides().expect("set aside");
    assert!(later.status.has_overrides.load(Ordering::Acquire) && folder.join("word.damaged").exists());
    let _ = std::fs::remove_dir_all(&folder);
}

/// Guards against a full or broken disk: a ban holds all the same and is written later; a return that can't be
/// written is told as a no and lifts nothing.
#[test]
fn what_cannot_be_written_is_held_and_not_lifted() {
    let folder = folder("full");
    let mut sync = sync(&folder);
    sync.look_at_overrides().expect("nothing stands");
    sync.execute(&suspend("a")).expect("written");
    // A folder in the place of the file that is to be renamed stands for any failure to write.
    let blocked = folder.join(format!("word.{}", sync.files.number));
    std::fs::create_dir(&blocked).expect("in the way");
    assert_eq!(sync.execute(&OperatorCommand::Resume("a".into())), Err(CommandError::Unwritten));
    assert_eq!(sync.execute(&suspend("b")), Err(CommandError::Unwritten));
    assert!(sync.look_at_overrides().is_err(), "it goes on trying");
    let bans = sync.invoker.bans();
    assert!(bans.is_out("a") && bans.is_out("b"));
    std::fs::remove_dir(&blocked).expect("out of the way");
    sync.look_at_overrides().expect("written");
    let overrides = sync.files.read().expect("stands").expect("whole");
    assert!(overrides.bans.is_out("a") && overrides.bans.is_out("b"));
    let _ = std::fs::remove_dir_all(&folder);
}

#[test]
fn there_are_two_seats() {
    let folder = folder("slots");
    let (first, mut second) =
        (SharedFiles::join(&folder).expect("free"), SharedFiles::join(&folder).expect("free"));
    assert_eq!((first.parts(), second.parts()), (1, 2));
    assert_eq!(SharedFiles::join(&folder).err().map(|error| error.kind()), Some(io::ErrorKind::WouldBlock));
    assert_eq!(second.look_at_other(), Seen::Taken { ready: false });
    let mut first = first;
    first.announce_ready().expect("written");
    assert_eq!(second.look_at_other(), Seen::Taken { ready: true });
    drop(first);
    assert_eq!(second.look_at_other(), Seen::Empty);
    let _ = std::fs::remove_dir_all(&folder);
}
