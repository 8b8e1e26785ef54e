use super::*;
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

fn listing(name: usize, standing: Standing) -> Listing {
    let (zone, kind) = (String::new(), String::new());
    let address = "127.0.0.1:1".parse().expect("address");
    let (since, heard_without) = (UnixTime::NONE, Ms::NEG_INFINITY);
    let name = format!("w{name}");
    Listing { name, address, zone, kind, cell: 0, standing, weight: 1.0, since, heard_without }
}

/// Guards memory on days on which hosts are replaced by new ones all the time.
#[test]
fn hosts_that_have_gone_are_forgotten_and_their_numbers_stay_their_own() {
    let account = Account::root("roster", 1 << 20);
    let mut directory = Directory::new(&Names::default(), &account);
    directory.apply((0..4).map(|name| listing(name, Standing::Ready)).collect(), true, true);
    for name in 4..1000 {
        directory.apply(vec![listing(name, Standing::Ready)], false, false);
        directory.apply(vec![listing(name - 2, Standing::Gone)], false, false);
    }
    assert_eq!((directory.hosts.len(), directory.numbers.len()), (GONE + 4, GONE + 4));
    assert!(directory.host(WorkerId(2)).is_none());
    assert!(directory.host(WorkerId(1)).is_some_and(|host| !host.barred()), "it never went");
    assert!(directory.host(WorkerId(997)).is_some_and(|host| host.barred()), "told lately");
    let Roster::Changes(back) = directory.apply(vec![listing(2, Standing::Ready)], false, false) else {
        panic!("changes")
    };
    assert_eq!(back[0].worker, WorkerId(1000));
    directory.apply(vec![listing(1, Standing::Ready)], true, false);
    assert_eq!(directory.hosts.len(), GONE + 1, "whom a whole list leaves out has gone");
    assert!(account.peak() < 2 * (GONE + 6) * cost("w1000"), "{}", account.peak());
    drop(directory);
    assert_eq!(account.used(), 0);
}

fn suspend(directory: &mut Directory, name: &str, now: Ms) -> Result<Roster, BanError> {
    directory.may_suspend(name)?;
    let mut bans = directory.bans().clone();
    bans.suspend(name, now);
    Ok(directory.adopt(bans))
}

fn resume(directory: &mut Directory, name: &str, now: Ms) -> Result<Roster, BanError> {
    directory.may_resume(name)?;
    let mut bans = directory.bans().clone();
    bans.resume(name, now);
    Ok(directory.adopt(bans))
}

/// Guards names of hosts that left long ago: an operator may still hold them out, and a host that comes back under
/// such a name stays out.
#[test]
fn a_host_that_is_forgotten_can_still_be_held_out() {
    let account = Account::root("roster", 1 << 20);
    let mut directory = Directory::new(&Names::default(), &account);
    for name in 0..200 {
        directory.apply(vec![listing(name, Standing::Ready)], false, false);
        directory.apply(vec![listing(name, Standing::Gone)], false, false);
    }
    assert!(!directory.numbers.contains_key("w0"));
    assert_eq!(suspend(&mut directory, "never", 1.0).err(), Some(BanError::Unknown));
    assert!(suspend(&mut directory, "w0", 1.0).is_ok());
    let Roster::Changes(back) = directory.apply(vec![listing(0, Standing::Ready)], false, false) else {
        panic!("changes")
    };
    assert_eq!(back[0].standing, Standing::Draining);
    let Ok(Roster::Changes(back)) = resume(&mut directory, "w0", 7.0) else { panic!("changes") };
    assert_eq!((back[0].standing, back[0].born), (Standing::Ready, 7.0), "restarted, and cold");
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
    /// Guards the rule on maintenance: in any order of news and calls, a host that is held out is never told to
    /// take work and nothing can begin there, and one that is not held out is as the directory says.
    #[test]
    fn no_news_lifts_a_ban(steps in steps()) {
        let account = Account::root("roster", 1 << 20);
        let mut directory = Directory::new(&Names::default(), &account);
        let state = |number: u8| [Standing::Ready, Standing::Draining, Standing::Gone][usize::from(number)];
        // What the directory said last, who is held out, and what the decisions heard last; by number of the name.
        let (mut said, mut out, mut heard) = (BTreeMap::new(), BTreeSet::new(), BTreeMap::new());
        for (now, step) in steps.into_iter().enumerate() {
            let roster = match step {
                Step::List(name, number) => {
                    said.insert(name, state(number));
                    Ok(directory.apply(vec![listing(name, state(number))], false, false))
                }
                Step::Whole(list) => {
                    let list: BTreeMap<_, _> = list.into_iter().collect();
                    said.values_mut().for_each(|standing| *standing = Standing::Gone);
                    said.extend(list.iter().map(|(name, number)| (*name, state(*number))));
                    heard.values_mut().for_each(|standing| *standing = Standing::Gone);
                    let list = list.iter().map(|(name, number)| listing(*name, state(*number)));
                    Ok(directory.apply(list.collect(), true, false))
                }
                Step::Suspend(name) => {
                    out.extend(said.contains_key(&name).then_some(name));
                    suspend(&mut directory, &format!("w{name}"), now as f64)
                }
                Step::Resume(name) => {
                    out.remove(&name);
                    resume(&mut directory, &format!("w{name}"), now as f64)
                }
            };
            match roster {
                Ok(Roster::Changes(list) | Roster::Whole(list)) => {
                    heard.extend(list.into_iter().map(|entry| {
                        (entry.name[1..].parse::<usize>().expect("ours"), entry.standing)
                    }));
                }
                Ok(other) => panic!("{other:?}"),
                Err(why) => prop_assert_eq!(why, BanError::Unknown),
            }
            for (name, standing) in &said {
                let held_out = out.contains(name);
                let expected = match standing {
                    Standing::Ready if held_out => Standing::Draining,
                    other => *other,
                };
                prop_assert_eq!(heard.get(name), Some(&expected));
                let number = directory.numbers[&format!("w{name}")];
                let host = directory.host(number).expect("few are known");
                prop_assert_eq!(host.suspended(), held_out);
                prop_assert_eq!(host.barred(), expected != Standing::Ready);
            }
        }
    }
}

/// Guards memory against a list that grows without end, and the rule on drains meanwhile: those that have
/// gone give way, a newcomer without room is left out, and whoever is known is heard of.
#[test]
fn a_list_that_outgrows_its_room_loses_newcomers_and_no_news() {
    let account = Account::root("roster", 10 * cost("w11"));
    let mut directory = Directory::new(&Names::default(), &account);
    let mut told = |name: usize, standing| match directory.apply(vec![listing(name, standing)], false, false)
    {
        Roster::Changes(entries) => entries.first().map(|entry| (entry.worker.0, entry.standing)),
        other => panic!("{other:?}"),
    };
    for name in 0..10 {
        assert_eq!(told(name, Standing::Ready), Some((name as u32, Standing::Ready)));
    }
    assert_eq!(told(10, Standing::Ready), None);
    assert_eq!(told(3, Standing::Draining), Some((3, Standing::Draining)), "heard of, full or not");
    assert_eq!(told(4, Standing::Gone), Some((4, Standing::Gone)));
    assert_eq!(told(11, Standing::Ready), Some((10, Standing::Ready)), "in the place of the one that went");
    assert!(account.used() <= account.cap());
}
