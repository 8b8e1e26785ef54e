use super::*;
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

fn listing(name: usize, state: WorkerState) -> WorkerListing {
    let (zone, kind) = (String::new(), String::new());
    let address = "127.0.0.1:1".parse().expect("address");
    let (since, last_contact_without_report) = (UnixTime::NONE, Ms::NEG_INFINITY);
    let name = format!("w{name}");
    WorkerListing {
        name,
        address,
        zone,
        kind,
        cell: Some(0),
        state,
        weight: 1.0,
        since,
        last_contact_without_report,
    }
}

/// Guards against unbounded memory growth when hosts are replaced by new ones all the time.
#[test]
fn gone_hosts_are_dropped_and_their_ids_are_not_reused() {
    let account = Account::root("roster", 1 << 20);
    let mut directory = WorkerDirectory::new(&Names::default(), &account);
    directory.apply((0..4).map(|name| listing(name, WorkerState::Ready)).collect(), true, true);
    for name in 4..1000 {
        directory.apply(vec![listing(name, WorkerState::Ready)], false, false);
        directory.apply(vec![listing(name - 2, WorkerState::Removed)], false, false);
    }
    assert_eq!(
        (directory.hosts.len(), directory.ids_by_name.len()),
        (MAX_GONE_WORKERS + 4, MAX_GONE_WORKERS + 4)
    );
    assert!(directory.host(WorkerId(2)).is_none());
    assert!(directory.host(WorkerId(1)).is_some_and(|host| !host.is_blocked()), "it was never gone");
    assert!(directory.host(WorkerId(997)).is_some_and(|host| host.is_blocked()), "reported recently");
    let RosterUpdate::Changes(back) = directory.apply(vec![listing(2, WorkerState::Ready)], false, false)
    else {
        panic!("changes")
    };
    assert_eq!(back[0].worker, WorkerId(1000));
    directory.apply(vec![listing(1, WorkerState::Ready)], true, false);
    assert_eq!(directory.hosts.len(), MAX_GONE_WORKERS + 1, "workers missing from a complete list are gone");
    assert!(account.peak() < 2 * (MAX_GONE_WORKERS + 6) * worker_bytes("w1000"), "{}", account.peak());
    drop(directory);
    assert_eq!(account.used(), 0);
}

fn suspend(directory: &mut WorkerDirectory, name: &str, now: Ms) -> Result<RosterUpdate, SuspensionError> {
    directory.check_suspend(name)?;
    let mut host_overrides = directory.host_overrides().clone();
    host_overrides.suspend(name, now);
    Ok(directory.set_host_overrides(host_overrides))
}

fn resume(directory: &mut WorkerDirectory, name: &str, now: Ms) -> Result<RosterUpdate, SuspensionError> {
    directory.check_resume(name)?;
    let mut host_overrides = directory.host_overrides().clone();
    host_overrides.resume(name, now);
    Ok(directory.set_host_overrides(host_overrides))
}

/// Guards against losing overrides on hosts that left long ago: an operator may still suspend them, and a host that
/// returns under such a name stays suspended.
#[test]
fn a_dropped_host_can_still_be_suspended() {
    let account = Account::root("roster", 1 << 20);
    let mut directory = WorkerDirectory::new(&Names::default(), &account);
    for name in 0..200 {
        directory.apply(vec![listing(name, WorkerState::Ready)], false, false);
        directory.apply(vec![listing(name, WorkerState::Removed)], false, false);
    }
    assert!(!directory.ids_by_name.contains_key("w0"));
    assert_eq!(suspend(&mut directory, "never", 1.0).err(), Some(SuspensionError::Unknown));
    assert!(suspend(&mut directory, "w0", 1.0).is_ok());
    let RosterUpdate::Changes(back) = directory.apply(vec![listing(0, WorkerState::Ready)], false, false)
    else {
        panic!("changes")
    };
    assert_eq!(back[0].state, WorkerState::Draining);
    let Ok(RosterUpdate::Changes(back)) = resume(&mut directory, "w0", 7.0) else { panic!("changes") };
    assert_eq!((back[0].state, back[0].started_at), (WorkerState::Ready, 7.0), "restarted, and cold");
    drop(directory);
    assert_eq!(account.used(), 0);
}

#[derive(Clone, Debug)]
enum Step {
    List(usize, u8),
    Whole(Vec<(usize, u8)>),
    Suspend(usize),
    Resume(usize),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        (0..6usize, 0..3u8).prop_map(|(name, state)| Step::List(name, state)),
        proptest::collection::vec((0..6usize, 0..3u8), 0..6).prop_map(Step::Whole),
        (0..6usize).prop_map(Step::Suspend),
        (0..6usize).prop_map(Step::Resume),
    ];
    proptest::collection::vec(step, 0..60)
}

proptest! {
    /// Guards against work on hosts in maintenance: in any order of listings and operator calls, a suspended host is never
    /// reported as ready and accepts nothing new, and a host that is not suspended has its listed state.
    #[test]
    fn no_listing_lifts_a_suspension(steps in steps()) {
        let account = Account::root("roster", 1 << 20);
        let mut directory = WorkerDirectory::new(&Names::default(), &account);
        let state = |number: u8| [WorkerState::Ready, WorkerState::Draining, WorkerState::Removed][usize::from(number)];
        // Last listed states, suspended hosts, and last states passed to the decision logic; by number of the name.
        let (mut listed, mut suspended, mut reported) = (BTreeMap::new(), BTreeSet::new(), BTreeMap::new());
        for (now, step) in steps.into_iter().enumerate() {
            let roster = match step {
                Step::List(name, number) => {
                    listed.insert(name, state(number));
                    Ok(directory.apply(vec![listing(name, state(number))], false, false))
                }
                Step::Whole(list) => {
                    let list: BTreeMap<_, _> = list.into_iter().collect();
                    listed.values_mut().for_each(|state| *state = WorkerState::Removed);
                    listed.extend(list.iter().map(|(name, number)| (*name, state(*number))));
                    reported.values_mut().for_each(|state| *state = WorkerState::Removed);
                    let list = list.iter().map(|(name, number)| listing(*name, state(*number)));
                    Ok(directory.apply(list.collect(), true, false))
                }
                Step::Suspend(name) => {
                    suspended.extend(listed.contains_key(&name).then_some(name));
                    suspend(&mut directory, &format!("w{name}"), now as f64)
                }
                Step::Resume(name) => {
                    suspended.remove(&name);
                    resume(&mut directory, &format!("w{name}"), now as f64)
                }
            };
            match roster {
                Ok(RosterUpdate::Changes(list) | RosterUpdate::Complete(list)) => {
                    reported.extend(list.into_iter().map(|entry| {
                        (entry.name[1..].parse::<usize>().expect("ours"), entry.state)
                    }));
                }
                Ok(other) => panic!("{other:?}"),
                Err(why) => prop_assert_eq!(why, SuspensionError::Unknown),
            }
            for (name, state) in &listed {
                let is_suspended = suspended.contains(name);
                let expected = match state {
                    WorkerState::Ready if is_suspended => WorkerState::Draining,
                    other => *other,
                };
                prop_assert_eq!(reported.get(name), Some(&expected));
                let id = directory.ids_by_name[&format!("w{name}")];
                let host = directory.host(id).expect("few are known");
                prop_assert_eq!(host.suspended(), is_suspended);
                prop_assert_eq!(host.is_blocked(), expected != WorkerState::Ready);
            }
        }
    }
}

/// Guards against unbounded memory through a growing list, and against drains that are missed meanwhile: gone workers are
/// dropped to make room, a new worker without room is skipped, and updates of known workers are applied.
#[test]
fn a_list_that_exceeds_its_account_skips_new_workers_but_no_updates() {
    let account = Account::root("roster", 10 * worker_bytes("w11"));
    let mut directory = WorkerDirectory::new(&Names::default(), &account);
    let mut report = |name: usize, state| match directory.apply(vec![listing(name, state)], false, false) {
        RosterUpdate::Changes(entries) => entries.first().map(|entry| (entry.worker.0, entry.state)),
        other => panic!("{other:?}"),
    };
    for name in 0..10 {
        assert_eq!(report(name, WorkerState::Ready), Some((name as u32, WorkerState::Ready)));
    }
    assert_eq!(report(10, WorkerState::Ready), None);
    assert_eq!(report(3, WorkerState::Draining), Some((3, WorkerState::Draining)), "applied even if full");
    assert_eq!(report(4, WorkerState::Removed), Some((4, WorkerState::Removed)));
    assert_eq!(
        report(11, WorkerState::Ready),
        Some((10, WorkerState::Ready)),
        "takes the room of the gone worker"
    );
    assert!(account.used() <= account.cap());
}

fn listed_in(name: usize, zone: &str) -> WorkerListing {
    WorkerListing { zone: zone.to_string(), ..listing(name, WorkerState::Ready) }
}

fn zone_of(directory: &mut WorkerDirectory, listing: WorkerListing) -> Option<u64> {
    match directory.apply(vec![listing], false, false) {
        RosterUpdate::Changes(entries) => {
            entries.first().and_then(|entry| entry.location.zone).map(|zone| zone.0)
        }
        other => panic!("{other:?}"),
    }
}

fn zone_name(directory: &WorkerDirectory, worker: u32) -> &str {
    directory.zone_name(directory.listed_host(WorkerId(worker)).expect("known").1)
}

/// Guards against zones that are taken for each other because the settings name neither.
#[test]
fn zones_that_the_settings_do_not_name_are_told_apart() {
    let account = Account::root("roster", 1 << 20);
    let names = Names { zones: vec!["east".to_string()], ..Names::default() };
    let mut directory = WorkerDirectory::new(&names, &account);
    let zones = ["east", "north", "south", "north", ""].map(|zone| zone.to_string());
    let found: Vec<_> =
        zones.iter().enumerate().map(|(name, zone)| zone_of(&mut directory, listed_in(name, zone))).collect();
    assert_eq!(found, [Some(0), Some(1), Some(2), Some(1), None]);
    assert_eq!(zone_name(&directory, 1), "north");
    assert_eq!(zone_name(&directory, 4), "unknown");
}

/// Guards against names from outside that take memory without bounds: a zone is charged while a worker is listed in it, and
/// a zone without room is unknown; it is not taken for another.
#[test]
fn zones_are_charged_while_workers_are_listed_in_them() {
    let long = "z".repeat(1000);
    let account = Account::root("roster", 2 * worker_bytes("w0") + 2 * ZoneTable::cost(&long));
    let mut directory = WorkerDirectory::new(&Names::default(), &account);
    zone_of(&mut directory, listing(0, WorkerState::Ready));
    let without_zones = account.used();
    for number in 0..1000 {
        let zone = zone_of(&mut directory, listed_in(0, &format!("{long}{}", number % 10)));
        assert_eq!(zone, Some(number), "a name that is no longer used makes room");
    }
    assert!(account.used() > without_zones + long.len());
    let second = zone_of(&mut directory, listed_in(1, &format!("{long}{long}")));
    assert_eq!(second, None, "there is no room");
    assert_eq!(zone_name(&directory, 1), "unknown");
    assert!(account.used() <= account.cap());
    assert_eq!(zone_of(&mut directory, listing(0, WorkerState::Ready)), None);
    zone_of(&mut directory, listing(1, WorkerState::Removed));
    assert_eq!(account.used(), without_zones + worker_bytes("w1"));
    drop(directory);
    assert_eq!(account.used(), 0);
}
