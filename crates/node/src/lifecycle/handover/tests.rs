use super::*;
use corkbay_duty::{PeerProcess, SlotState};
use std::path::{Path, PathBuf};

fn folder(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("corkbay-handover-{}-{name}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    path
}

fn sync(folder: &Path) -> OverridesSync {
    let setup = serde_json::json!({"classes": [{"name": "check"}]});
    let ledger = crate::state::test_ledger();
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

/// Guards against losing suspensions during an upgrade, in both directions, and after both processes have died without
/// announcing it.
#[test]
fn overrides_reach_the_other_process_and_outlive_their_writer() {
    let folder = folder("both");
    let mut old = sync(&folder);
    old.sync_overrides().expect("no record");
    assert_eq!(old.execute(&suspend("a")), Ok(()));
    let mut new = sync(&folder);
    assert_eq!(new.status.succession.lock().expect("whole").other(), Some(PeerProcess::Predecessor));
    new.sync_overrides().expect("read");
    assert!(new.invoker.host_overrides().is_suspended("a"));
    assert_eq!(new.execute(&suspend("b")), Ok(()));
    assert_eq!(new.execute(&OperatorCommand::Drain), Ok(()));
    old.sync_overrides().expect("read");
    assert!(old.invoker.host_overrides().is_suspended("b"));
    assert_eq!(old.invoker.serving_state().leaving(), Some(Leave::Drained));
    assert_eq!(old.execute(&OperatorCommand::Resume("a".into())), Ok(()));
    assert_eq!(old.execute(&OperatorCommand::Activate), Ok(()));
    new.sync_overrides().expect("read");
    assert!(
        !new.invoker.host_overrides().is_suspended("a") && new.invoker.host_overrides().is_suspended("b")
    );
    assert!(
        new.invoker.host_overrides().resumed_at("a").is_some(),
        "the other process also knows when the host was resumed"
    );
    assert_eq!(new.invoker.serving_state().leaving(), None);
    drop((old, new));
    let mut later = sync(&folder);
    assert_eq!(
        later.status.succession.lock().expect("whole").other(),
        None,
        "a slot is free once its process has exited"
    );
    later.sync_overrides().expect("read");
    assert!(later.invoker.host_overrides().is_suspended("b"));
    let _ = std::fs::remove_dir_all(&folder);
}

/// Guards against lifting suspensions because the record is damaged or missing: the process that knows the overrides
/// writes them again, and a successor waits for that.
#[test]
fn a_damaged_record_lifts_nothing_and_is_written_again() {
    let folder = folder("torn");
    let mut old = sync(&folder);
    old.sync_overrides().expect("no record");
    old.execute(&suspend("a")).expect("written");
    let whole = std::fs::read(folder.join("word")).expect("exists");
    for damage in [&whole[..whole.len() / 2], b"", b"nonsense"] {
        std::fs::write(folder.join("word"), damage).expect("torn");
        let mut new = sync(&folder);
        new.sync_overrides().expect("waits");
        assert!(!new.status.has_overrides.load(Ordering::Acquire), "the successor waits for its predecessor");
        old.sync_overrides().expect("restored");
        assert!(old.invoker.host_overrides().is_suspended("a"));
        new.sync_overrides().expect("read");
        assert!(
            new.status.has_overrides.load(Ordering::Acquire)
                && new.invoker.host_overrides().is_suspended("a")
        );
    }
    std::fs::remove_file(folder.join("word")).expect("gone");
    old.sync_overrides().expect("restored");
    assert_eq!(std::fs::read(folder.join("word")).expect("exists"), whole);
    drop(old);
    // If no process knows the overrides, the damaged record is moved away and the process continues.
    std::fs::write(folder.join("word"), b"nonsense").expect("torn");
    let mut later = sync(&folder);
    later.sync_overrides().expect("set aside");
    assert!(later.status.has_overrides.load(Ordering::Acquire) && folder.join("word.damaged").exists());
    let _ = std::fs::remove_dir_all(&folder);
}

/// Guards against a full or broken disk: a suspension that can't be written holds all the same and is written later; a
/// resume that can't be written fails and lifts nothing.
#[test]
fn unwritten_commands_suspend_but_do_not_resume() {
    let folder = folder("full");
    let mut sync = sync(&folder);
    sync.sync_overrides().expect("no record");
    sync.execute(&suspend("a")).expect("written");
    // A folder at the path of the temporary file makes every write fail.
    let blocked = folder.join(format!("word.{}", sync.files.number));
    std::fs::create_dir(&blocked).expect("in the way");
    assert_eq!(sync.execute(&OperatorCommand::Resume("a".into())), Err(CommandError::Unwritten));
    assert_eq!(sync.execute(&suspend("b")), Err(CommandError::Unwritten));
    assert!(sync.sync_overrides().is_err(), "it keeps trying");
    let host_overrides = sync.invoker.host_overrides();
    assert!(host_overrides.is_suspended("a") && host_overrides.is_suspended("b"));
    std::fs::remove_dir(&blocked).expect("out of the way");
    sync.sync_overrides().expect("written");
    let overrides = sync.files.read().expect("exists").expect("whole");
    assert!(overrides.host_overrides.is_suspended("a") && overrides.host_overrides.is_suspended("b"));
    let _ = std::fs::remove_dir_all(&folder);
}

#[test]
fn at_most_two_processes_join() {
    let folder = folder("slots");
    let (first, mut second) =
        (SharedFiles::join(&folder).expect("free"), SharedFiles::join(&folder).expect("free"));
    assert_eq!((first.parts(), second.parts()), (1, 2));
    assert_eq!(SharedFiles::join(&folder).err().map(|error| error.kind()), Some(io::ErrorKind::WouldBlock));
    assert_eq!(second.check_other_slot(), SlotState::Taken { ready: false });
    let mut first = first;
    first.announce_ready().expect("written");
    assert_eq!(second.check_other_slot(), SlotState::Taken { ready: true });
    drop(first);
    assert_eq!(second.check_other_slot(), SlotState::Empty);
    let _ = std::fs::remove_dir_all(&folder);
}
