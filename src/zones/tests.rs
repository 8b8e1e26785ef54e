use super::*;

fn table(zones: &[&str]) -> ZoneTable {
    let zones = zones.iter().map(|zone| zone.to_string()).collect();
    ZoneTable::new(&Names { zones, ..Names::default() })
}

fn id(table: &mut ZoneTable, name: &str) -> Option<u64> {
    table.enter(name).map(|id| id.0)
}

/// Guards against zones that are taken for each other: each name has its own number, and no name has none.
#[test]
fn zones_are_told_apart_by_name() {
    let mut table = table(&["east", "", "east", "west"]);
    let names = ["east", "west", "north", "south", "north", ""];
    let ids = names.map(|name| id(&mut table, name));
    assert_eq!(ids, [Some(0), Some(3), Some(4), Some(5), Some(4), None]);
}

/// Guards against memory that grows with every name ever listed, and against a number that is given to another zone while
/// a call still refers to the first.
#[test]
fn unused_zones_are_removed_and_their_numbers_are_not_reused() {
    let mut table = table(&["east"]);
    let before = table.bytes();
    let zones: Vec<ZoneId> = (0..100).filter_map(|_| table.enter("north")).collect();
    let freed: Vec<usize> = zones.iter().map(|zone| table.leave(*zone)).collect();
    assert_eq!(freed.iter().filter(|bytes| **bytes > 0).count(), 1, "the last user removes it");
    assert_eq!(freed[99], ZoneTable::cost("north"));
    assert_eq!(table.bytes(), before);
    assert_eq!(table.name(zones[0]), None);
    assert_eq!(table.name(ZoneId(0)), Some("east"));
    assert_eq!(id(&mut table, "south"), Some(2));
    let east = table.enter("east").expect("named");
    assert!(table.leave(east) == 0 && table.contains("east"), "a zone of the settings stays");
}
