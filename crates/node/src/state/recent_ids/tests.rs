use super::*;

fn tables() -> [(RecentIds, Option<std::path::PathBuf>); 2] {
    let name = format!("corkbay-recent-ids-{}-{:?}", std::process::id(), std::thread::current().id());
    let path = std::env::temp_dir().join(name);
    let in_file = RecentIds::in_file(&path).expect("a file");
    let held = crate::state::test_ledger().account(corkbay_ledger::Purpose::Learnt).empty_reservation();
    [(RecentIds::in_memory(held), None), (in_file, Some(path))]
}

#[test]
fn an_id_is_known_until_it_is_removed() {
    for (table, path) in tables() {
        let ids = [0, 1, u64::MAX].map(RequestId);
        assert!(!ids.iter().any(|id| table.contains(*id)), "an empty table holds no id, not even 0");
        ids.iter().for_each(|id| table.insert(*id));
        assert!(ids.iter().all(|id| table.contains(*id)));
        table.remove(ids[1]);
        assert_eq!(ids.map(|id| table.contains(id)), [true, false, true]);
        path.iter().for_each(|path| std::fs::remove_file(path).expect("removed"));
    }
}

#[test]
fn of_many_ids_the_latest_are_kept() {
    for (table, path) in tables() {
        let many = 4 * CAPACITY as u64;
        (0..many).for_each(|id| table.insert(RequestId(id)));
        let recent = many - CAPACITY as u64 / 4..many;
        let kept = recent.clone().filter(|id| table.contains(RequestId(*id))).count();
        assert!(kept as f64 > 0.99 * recent.count() as f64, "{kept}");
        let all = (0..many).filter(|id| table.contains(RequestId(*id))).count();
        assert!(all <= CAPACITY, "{all}");
        path.iter().for_each(|path| std::fs::remove_file(path).expect("removed"));
    }
}

/// Guards against an id that runs twice because it comes again at the other process of an upgrade.
#[test]
fn two_processes_share_the_table_of_a_file() {
    let [_, (first, Some(path))] = tables() else { panic!("a file") };
    let second = RecentIds::in_file(&path).expect("a file");
    first.insert(RequestId(7));
    assert!(second.contains(RequestId(7)));
    second.remove(RequestId(7));
    assert!(!first.contains(RequestId(7)));
    std::fs::remove_file(path).expect("removed");
}
