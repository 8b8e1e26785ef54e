//! Rolling maintenance under owners that come and go, and some that come late.
use corkbay_jobs::maintenance::{Event, Impossible, Job, Phase, Refused, Seen, Wish};
use corkbay_jobs::spread::{owner, Presence};
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::time::Duration;

/// Workers in two zones, four in ten of them in the second.
fn job(workers: usize, at_once: u32, percent: u8) -> Result<Job, Impossible> {
    let zone = |at: usize| if at % 5 < 3 { "a" } else { "b" }.to_string();
    let mut zones = BTreeMap::new();
    (0..workers).for_each(|at| *zones.entry(zone(at)).or_insert(0) += 1);
    Job::new((0..workers).map(|at| (format!("w{at}"), zone(at))), zones, at_once, percent)
}

/// The fleet as it really is, moved on by a bit at a time.
#[derive(Default)]
struct Fleet {
    /// By worker: calls out, whether it was started anew, whether it is warm.
    workers: BTreeMap<String, (u32, bool, bool)>,
    drained: BTreeMap<String, u32>,
}

impl Fleet {
    fn follow(&mut self, event: &Event) {
        if let Event::Enters { worker, phase } = event {
            match phase {
                Phase::Draining => {
                    *self.drained.entry(worker.clone()).or_default() += 1;
                    self.workers.insert(worker.clone(), (3, false, false));
                }
                Phase::Warming => _ = self.workers.entry(worker.clone()).and_modify(|seen| seen.1 = true),
                _ => {}
            }
        }
    }

    fn move_on(&mut self, worker: &str) {
        if let Some((out, back, warm)) = self.workers.get_mut(worker) {
            match (*out, *back) {
                (1.., _) => *out -= 1,
                (0, false) => *back = true,
                (0, true) => *warm = true,
            }
        }
    }

    fn seen(&self, worker: &str) -> Seen {
        let (out, back, warm) = self.workers.get(worker).copied().unwrap_or((5, false, false));
        Seen { out: Some(out), back, warm }
    }
}

#[derive(Clone, Copy, Debug)]
enum Step {
    /// An owner looks at the job as it was so many events ago, and has agreed what it then thinks of.
    Owner {
        late: usize,
    },
    Fleet {
        worker: usize,
    },
    Wish(Wish),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => Just(Step::Owner { late: 0 }),
        4 => (0usize..40).prop_map(|late| Step::Owner { late }),
        10 => (0usize..12).prop_map(|worker| Step::Fleet { worker }),
        1 => Just(Step::Wish(Wish::Pause)),
        2 => Just(Step::Wish(Wish::Run)),
    ]
}

fn keeps_bounds(job: &Job, at_once: u32) -> Result<(), TestCaseError> {
    prop_assert!(job.out(None) <= at_once);
    for zone in ["a", "b"] {
        prop_assert!(job.out(Some(zone)) <= job.bound(zone));
    }
    Ok(())
}

proptest! {
    /// Guards the bounds and each worker's one drain at every moment, whichever owners think of what, however late; and
    /// that a job which is left in peace comes to its end.
    #[test]
    fn bounds_hold_and_the_job_ends_whoever_owns_it(
        workers in 5usize..13,
        at_once in 1u32..5,
        percent in 34u8..=100,
        abort in proptest::option::of(0usize..60),
        steps in proptest::collection::vec(step(), 0..250),
    ) {
        let Ok(mut job) = job(workers, at_once, percent) else { return Ok(()) };
        let (mut fleet, mut past) = (Fleet::default(), vec![job.clone()]);
        let agree = |job: &mut Job, fleet: &mut Fleet, past: &mut Vec<Job>, event: Event| {
            if job.apply(&event).is_ok() {
                fleet.follow(&event);
                past.push(job.clone());
            }
            keeps_bounds(job, at_once)
        };
        for (at, step) in steps.into_iter().enumerate() {
            if abort == Some(at) {
                agree(&mut job, &mut fleet, &mut past, Event::Wishes(Wish::Abort))?;
            }
            match step {
                Step::Owner { late } => {
                    let view = past[past.len().saturating_sub(late + 1)].clone();
                    for event in view.next(|worker| fleet.seen(worker), |_| 0) {
                        agree(&mut job, &mut fleet, &mut past, event)?;
                    }
                }
                Step::Fleet { worker } => fleet.move_on(&format!("w{worker}")),
                Step::Wish(wish) => agree(&mut job, &mut fleet, &mut past, Event::Wishes(wish))?,
            }
        }
        let _ = job.apply(&Event::Wishes(Wish::Run));
        for _ in 0..200 {
            for event in job.next(|worker| fleet.seen(worker), |_| 0) {
                agree(&mut job, &mut fleet, &mut past, event)?;
            }
            (0..workers).for_each(|worker| fleet.move_on(&format!("w{worker}")));
        }
        prop_assert!(job.is_over());
        prop_assert!(fleet.drained.values().all(|times| *times == 1), "{:?}", fleet.drained);
        if job.wish() != Wish::Abort {
            prop_assert_eq!(fleet.drained.len(), workers);
            prop_assert!(job.phases().all(|(_, phase)| phase == Phase::Done));
        }
    }
}

/// Guards the fleet against a job beside other troubles: what is missing anyway counts against the zone's bound.
#[test]
fn a_zone_that_lacks_workers_is_left_alone() {
    let job = job(10, 4, 50).expect("possible");
    let begun = |lacking: u32| {
        let lacking = |zone: &str| if zone == "a" { lacking } else { 0 };
        job.next(|_| Seen { out: Some(5), ..Seen::default() }, lacking).len()
    };
    // Half of six in one zone, half of four in the other, four in all.
    assert_eq!([begun(0), begun(2), begun(3)], [4, 3, 2]);
}

/// Guards the bounds against whoever proposes without looking: they hold where events are applied.
#[test]
fn bounds_hold_against_any_proposal() {
    let drain = |at: usize| Event::Enters { worker: format!("w{at}"), phase: Phase::Draining };
    // The third and the fourth of each five are in the zone of four, of which two may be out.
    let mut narrow = job(10, 10, 50).expect("possible");
    assert_eq!([3, 4, 8].map(|at| narrow.apply(&drain(at))), [Ok(()), Ok(()), Err(Refused::Bound)]);
    let mut few = job(10, 1, 100).expect("possible");
    assert_eq!([0, 3].map(|at| few.apply(&drain(at))), [Ok(()), Err(Refused::Bound)]);
    assert_eq!(few.apply(&drain(0)), Err(Refused::OutOfTurn));
    assert_eq!(few.apply(&drain(77)), Err(Refused::Unknown));
}

#[test]
fn what_cannot_be_is_told_at_the_beginning() {
    assert_eq!(job(0, 1, 50), Err(Impossible::Nothing));
    assert_eq!(job(10, 0, 50), Err(Impossible::NoneAtOnce));
    assert_eq!(job(10, 1, 20), Err(Impossible::Zone { zone: "b".into(), size: 4, percent: 20 }));
}

/// Guards an aborted job: nothing new begins, what is out comes back, and that is final.
#[test]
fn an_aborted_job_lets_back_what_is_out() {
    let mut job = job(10, 2, 50).expect("possible");
    for event in job.next(|_| Seen::default(), |_| 0) {
        job.apply(&event).expect("due");
    }
    assert_eq!(job.out(None), 2);
    job.apply(&Event::Wishes(Wish::Abort)).expect("runs");
    assert_eq!(job.apply(&Event::Wishes(Wish::Run)), Err(Refused::NotRunning));
    for event in job.next(|_| Seen::default(), |_| 0) {
        job.apply(&event).expect("due");
    }
    assert!(job.is_over() && job.phases().all(|(_, phase)| phase == Phase::LetBack));
}

/// Guards ownership against moving about: when a node goes only its own names move, and one that comes and goes is never
/// taken in.
#[test]
fn names_are_spread_and_stay_where_they_are() {
    let names: Vec<String> = (0..600).map(|number| format!("job-{number}")).collect();
    let owners =
        |living: &[u64]| names.iter().map(|name| owner(name, living.iter().copied())).collect::<Vec<_>>();
    let (five, four) = (owners(&[1, 2, 3, 4, 5]), owners(&[1, 2, 4, 5]));
    for node in 1..=5 {
        let count = five.iter().filter(|owner| **owner == Some(node)).count();
        assert!((80..160).contains(&count), "node {node} owns {count} of 600");
    }
    assert!(five.iter().zip(&four).all(|(before, after)| before == after || *before == Some(3)));
    assert_eq!(owner("job-1", []), None);

    let second = Duration::from_secs(1);
    let mut presence = Presence::new(10 * second, 3 * second);
    for now in 0..60u32 {
        presence.heard(now * second, 1);
        // It comes back every eighth second, and is gone before it is steady.
        if now % 8 < 3 {
            presence.heard(now * second, 2);
        }
        let living: Vec<u64> = presence.living(now * second).collect();
        assert_eq!(living, if now < 10 { vec![] } else { vec![1] }, "after {now} s");
    }
    assert_eq!(presence.living(62 * second).count(), 1);
    assert_eq!(presence.living(63 * second).count(), 0, "silent for longer than 3 s");
}
