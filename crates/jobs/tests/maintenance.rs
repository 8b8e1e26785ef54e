//! Rolling maintenance with owners that change, and some that act on an old state.
use corkbay_jobs::maintenance::{DesiredState, Event, InvalidJob, Job, Phase, Refused, WorkerStatus};
use corkbay_jobs::ownership::{owner, LivenessTracker};
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::time::Duration;

/// Workers in two zones; in each five, three are in zone a and two in zone b.
fn job(workers: usize, at_once: u32, percent: u8) -> Result<Job, InvalidJob> {
    let zone = |at: usize| if at % 5 < 3 { "a" } else { "b" }.to_string();
    let mut zones = BTreeMap::new();
    (0..workers).for_each(|at| *zones.entry(zone(at)).or_insert(0) += 1);
    Job::new((0..workers).map(|at| (format!("w{at}"), zone(at))), zones, at_once, percent)
}

/// The actual state of the fleet, advanced in small steps.
#[derive(Default)]
struct Fleet {
    /// By worker: outstanding calls, whether it has restarted, whether it is warm.
    workers: BTreeMap<String, (u32, bool, bool)>,
    drained: BTreeMap<String, u32>,
}

impl Fleet {
    fn apply_event(&mut self, event: &Event) {
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

    fn advance(&mut self, worker: &str) {
        if let Some((out, restarted, warm)) = self.workers.get_mut(worker) {
            match (*out, *restarted) {
                (1.., _) => *out -= 1,
                (0, false) => *restarted = true,
                (0, true) => *warm = true,
            }
        }
    }

    fn worker_status(&self, worker: &str) -> WorkerStatus {
        let (out, restarted, warm) = self.workers.get(worker).copied().unwrap_or((5, false, false));
        WorkerStatus { outstanding_calls: Some(out), restarted, warm }
    }
}

#[derive(Clone, Copy, Debug)]
enum Step {
    /// An owner computes events from the job's state `late` events ago, and they are committed now.
    Owner {
        late: usize,
    },
    Fleet {
        worker: usize,
    },
    SetDesiredState(DesiredState),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => Just(Step::Owner { late: 0 }),
        4 => (0usize..40).prop_map(|late| Step::Owner { late }),
        10 => (0usize..12).prop_map(|worker| Step::Fleet { worker }),
        1 => Just(Step::SetDesiredState(DesiredState::Pause)),
        2 => Just(Step::SetDesiredState(DesiredState::Run)),
    ]
}

fn keeps_bounds(job: &Job, at_once: u32) -> Result<(), TestCaseError> {
    prop_assert!(job.out_of_service(None) <= at_once);
    for zone in ["a", "b"] {
        prop_assert!(job.out_of_service(Some(zone)) <= job.zone_limit(zone));
    }
    Ok(())
}

proptest! {
    /// Guards the limits at all times, and that each worker is drained once, for any sequence of owners however
    /// delayed; also that a job which is left undisturbed finishes.
    #[test]
    fn bounds_hold_and_the_job_ends_whoever_owns_it(
        workers in 5usize..13,
        at_once in 1u32..5,
        percent in 34u8..=100,
        abort in proptest::option::of(0usize..60),
        steps in proptest::collection::vec(step(), 0..250),
    ) {
        let Ok(mut job) = job(workers, at_once, percent) else { return Ok(()) };
        let (mut fleet, mut history) = (Fleet::default(), vec![job.clone()]);
        let commit = |job: &mut Job, fleet: &mut Fleet, history: &mut Vec<Job>, event: Event| {
            if job.apply(&event).is_ok() {
                fleet.apply_event(&event);
                history.push(job.clone());
            }
            keeps_bounds(job, at_once)
        };
        for (at, step) in steps.into_iter().enumerate() {
            if abort == Some(at) {
                commit(&mut job, &mut fleet, &mut history, Event::Wishes(DesiredState::Abort))?;
            }
            match step {
                Step::Owner { late } => {
                    let view = history[history.len().saturating_sub(late + 1)].clone();
                    for event in view.next_events(|worker| fleet.worker_status(worker), |_| 0) {
                        commit(&mut job, &mut fleet, &mut history, event)?;
                    }
                }
                Step::Fleet { worker } => fleet.advance(&format!("w{worker}")),
                Step::SetDesiredState(state) => commit(&mut job, &mut fleet, &mut history, Event::Wishes(state))?,
            }
        }
        let _ = job.apply(&Event::Wishes(DesiredState::Run));
        for _ in 0..200 {
            for event in job.next_events(|worker| fleet.worker_status(worker), |_| 0) {
                commit(&mut job, &mut fleet, &mut history, event)?;
            }
            (0..workers).for_each(|worker| fleet.advance(&format!("w{worker}")));
        }
        prop_assert!(job.is_over());
        prop_assert!(fleet.drained.values().all(|times| *times == 1), "{:?}", fleet.drained);
        if job.desired_state() != DesiredState::Abort {
            prop_assert_eq!(fleet.drained.len(), workers);
            prop_assert!(job.phases().all(|(_, phase)| phase == Phase::Done));
        }
    }
}

/// Guards the zones during other outages: workers missing for other reasons count against the zone's limit.
#[test]
fn unavailable_workers_count_against_the_zone_limit() {
    let job = job(10, 4, 50).expect("a valid job");
    let begun = |unavailable: u32| {
        let unavailable = |zone: &str| if zone == "a" { unavailable } else { 0 };
        job.next_events(
            |_| WorkerStatus { outstanding_calls: Some(5), ..WorkerStatus::default() },
            unavailable,
        )
        .len()
    };
    // Half of six in zone a, half of four in zone b, four overall.
    assert_eq!([begun(0), begun(2), begun(3)], [4, 3, 2]);
}

/// Guards the limits against proposals that ignore them: they are enforced where events are applied.
#[test]
fn bounds_hold_against_any_proposal() {
    let drain = |at: usize| Event::Enters { worker: format!("w{at}"), phase: Phase::Draining };
    // Workers 3, 4 and 8 are in zone b, which has four workers, of which two may be out of service.
    let mut zone_limited = job(10, 10, 50).expect("a valid job");
    assert_eq!([3, 4, 8].map(|at| zone_limited.apply(&drain(at))), [Ok(()), Ok(()), Err(Refused::Bound)]);
    let mut job_limited = job(10, 1, 100).expect("a valid job");
    assert_eq!([0, 3].map(|at| job_limited.apply(&drain(at))), [Ok(()), Err(Refused::Bound)]);
    assert_eq!(job_limited.apply(&drain(0)), Err(Refused::OutOfTurn));
    assert_eq!(job_limited.apply(&drain(77)), Err(Refused::Unknown));
}

#[test]
fn invalid_jobs_are_rejected_at_creation() {
    assert_eq!(job(0, 1, 50), Err(InvalidJob::NoWorkers));
    assert_eq!(job(10, 0, 50), Err(InvalidJob::ZeroAtOnce));
    assert_eq!(job(10, 1, 20), Err(InvalidJob::ZoneTooSmall { zone: "b".into(), size: 4, percent: 20 }));
}

/// Guards an aborted job: no further worker starts, those out of service are let back, and the abort is final.
#[test]
fn an_aborted_job_lets_back_what_is_out_of_service() {
    let mut job = job(10, 2, 50).expect("a valid job");
    for event in job.next_events(|_| WorkerStatus::default(), |_| 0) {
        job.apply(&event).expect("due");
    }
    assert_eq!(job.out_of_service(None), 2);
    job.apply(&Event::Wishes(DesiredState::Abort)).expect("runs");
    assert_eq!(job.apply(&Event::Wishes(DesiredState::Run)), Err(Refused::NotRunning));
    for event in job.next_events(|_| WorkerStatus::default(), |_| 0) {
        job.apply(&event).expect("due");
    }
    assert!(job.is_over() && job.phases().all(|(_, phase)| phase == Phase::LetBack));
}

/// Guards the stability of ownership: when a node leaves only its own names move, and an unstable node never
/// becomes live.
#[test]
fn names_are_spread_and_stay_where_they_are() {
    let names: Vec<String> = (0..600).map(|number| format!("job-{number}")).collect();
    let owners = |live_nodes: &[u64]| {
        names.iter().map(|name| owner(name, live_nodes.iter().copied())).collect::<Vec<_>>()
    };
    let (five, four) = (owners(&[1, 2, 3, 4, 5]), owners(&[1, 2, 4, 5]));
    for node in 1..=5 {
        let count = five.iter().filter(|owner| **owner == Some(node)).count();
        assert!((80..160).contains(&count), "node {node} owns {count} of 600");
    }
    assert!(five.iter().zip(&four).all(|(before, after)| before == after || *before == Some(3)));
    assert_eq!(owner("job-1", []), None);

    let second = Duration::from_secs(1);
    let mut tracker = LivenessTracker::new(10 * second, 3 * second);
    for now in 0..60u32 {
        tracker.record_heartbeat(now * second, 1);
        // Node 2 is back every eighth second, and gone again before the minimum uptime.
        if now % 8 < 3 {
            tracker.record_heartbeat(now * second, 2);
        }
        let live_nodes: Vec<u64> = tracker.live_nodes(now * second).collect();
        assert_eq!(live_nodes, if now < 10 { vec![] } else { vec![1] }, "after {now} s");
    }
    assert_eq!(tracker.live_nodes(62 * second).count(), 1);
    assert_eq!(tracker.live_nodes(63 * second).count(), 0, "no heartbeat for longer than 3 s");
}
