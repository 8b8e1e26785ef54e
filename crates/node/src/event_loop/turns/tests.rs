use super::*;
use crate::lifecycle::spawn;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst};

/// Readers that wait, in the order in which they are released, by their numbers; each uses its whole slice.
fn release_order(state: &mut State, waiters: &[Arc<Waiter>]) -> Vec<usize> {
    let number = |released: &Arc<Waiter>| {
        waiters.iter().position(|waiter| Arc::ptr_eq(waiter, released)).expect("a known reader")
    };
    let mut now = loop_clock();
    std::iter::from_fn(|| {
        let (released, slice) = state.pop_reader(now)?;
        now += slice.as_nanos() as u64;
        Some(number(&released))
    })
    .collect()
}

/// Queues readers of the given kinds; the second value tells whether the reader has used up a slice.
fn queued(readers: &[(InputKind, bool)]) -> (State, Vec<Arc<Waiter>>) {
    let mut state = State::default();
    let waiters: Vec<_> = readers.iter().map(|_| Waiter::new()).collect();
    for ((kind, has_used_slice), waiter) in readers.iter().zip(&waiters) {
        state.readers[queue_of(*kind as usize, *has_used_slice)].push_back(waiter.clone());
    }
    (state, waiters)
}

#[test]
fn a_reader_with_little_input_goes_before_those_that_used_up_a_slice() {
    let mut readers = vec![(InputKind::Downstream, true); 10];
    readers.push((InputKind::Downstream, false));
    let (mut state, waiters) = queued(&readers);
    let order = release_order(&mut state, &waiters);
    assert!(order.iter().position(|number| *number == 10) <= Some(1), "{order:?}");
    assert_eq!(order.len(), 11);
}

#[test]
fn readers_of_workers_and_of_clients_are_served_in_turn() {
    let mut readers = vec![(InputKind::Downstream, false); 10];
    readers.extend([(InputKind::Upstream, false); 2]);
    let (mut state, waiters) = queued(&readers);
    let order = release_order(&mut state, &waiters);
    assert!(order.iter().position(|number| *number == 11) <= Some(3), "{order:?}");
}

#[test]
fn a_client_that_was_served_does_not_wait_behind_newcomers() {
    let mut readers = vec![(InputKind::Newcomer, false); 30];
    readers.push((InputKind::Downstream, false));
    let (mut state, waiters) = queued(&readers);
    let order = release_order(&mut state, &waiters);
    let slices = QUEUE_TIME.as_nanos().div_ceil(slice_among(31).as_nanos()) as usize;
    assert!(order.iter().position(|number| *number == 30) <= Some(slices), "{order:?}");
}

#[test]
fn slices_become_shorter_as_more_readers_wait() {
    assert_eq!(slice_among(0), MAX_SLICE);
    assert_eq!(slice_among(1), MAX_SLICE);
    assert_eq!(slice_among(100), TARGET_CYCLE / 100);
    assert_eq!(slice_among(100_000), MIN_SLICE);
}

#[test]
fn work_that_is_left_to_other_tasks_shortens_the_slice() {
    spawn(|| {
        let turn = Turn::new(InputKind::Downstream);
        assert_eq!(turn.take(), TurnStart::AfterPause);
        assert_eq!(turn.take(), TurnStart::Continued);
        turn.charge(Duration::from_secs(1));
        assert_eq!(turn.take(), TurnStart::AfterFullSlice);
        turn.end();
        assert_eq!(turn.take(), TurnStart::AfterPause);
    })
    .join()
    .expect("the task ends");
}

/// Guards against a process that no longer polls the kernel: readers that never run out of input take turns with a task
/// that waits for events of the kernel, and with each other.
#[test]
fn readers_with_endless_input_do_not_keep_the_kernel_from_being_polled() {
    static IS_RUNNING: AtomicBool = AtomicBool::new(true);
    static POLLS: AtomicUsize = AtomicUsize::new(0);
    const READERS: usize = 20;
    const SPAN: Duration = Duration::from_millis(500);
    let readers: Vec<_> = (0..READERS)
        .map(|_| {
            spawn(|| {
                let (turn, mut turns) = (Turn::new(InputKind::Downstream), 0);
                while IS_RUNNING.load(SeqCst) {
                    turns += usize::from(turn.take() != TurnStart::Continued);
                }
                turns
            })
        })
        .collect();
    let polling = spawn(|| {
        while IS_RUNNING.load(SeqCst) {
            wait_for_poll();
            POLLS.fetch_add(1, SeqCst);
        }
    });
    std::thread::sleep(SPAN);
    IS_RUNNING.store(false, SeqCst);
    polling.join().expect("the task ends");
    let turns: Vec<usize> = readers.into_iter().map(|reader| reader.join().expect("the task ends")).collect();
    let polls = POLLS.load(SeqCst);
    assert!(polls > 20, "{polls} polls in {SPAN:?}");
    let (least, most) = (turns.iter().min().copied(), turns.iter().max().copied());
    assert!(least >= Some(5) && least >= most.map(|most| most / 2), "{turns:?}");
}
