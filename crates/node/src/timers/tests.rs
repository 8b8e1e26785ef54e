use super::*;
use crate::lifecycle::spawn;
use may::sync::mpsc::channel;
use std::collections::BTreeSet;

/// Runs a closure in a task and returns its result.
fn run_in_task<T: Send + 'static>(task: impl FnOnce() -> T + Send + 'static) -> T {
    let (sender, receiver) = std::sync::mpsc::channel();
    spawn(move || sender.send(task()));
    receiver.recv_timeout(Duration::from_secs(10)).expect("the task ends")
}

/// Guards against timers that are used after they were freed: the coroutine library frees its timer lists too
/// early if there are more than `MAX_TIMER_DURATIONS` distinct durations.
#[test]
fn waits_of_all_durations_use_few_timer_durations() {
    let waits_up_to_two_hours = (0..7_200_000).map(|ms| Duration::from_micros(ms * 1000 + ms % 1000));
    let durations: BTreeSet<_> =
        waits_up_to_two_hours.flat_map(|left| [timer_duration(left), sleep_piece(left)]).collect();
    let short: BTreeSet<_> = (0..2000).map(|us| sleep_piece(Duration::from_micros(us))).collect();
    let most = [Duration::MAX, Duration::from_secs(1 << 40)].map(timer_duration);
    let all: BTreeSet<_> = durations.into_iter().chain(short).chain(most).collect();
    assert!(all.len() < MAX_TIMER_DURATIONS, "{} durations", all.len());
    assert!(all.iter().all(|duration| !duration.is_zero()));
}

/// Guards against waits that end late and against waits of very many pieces.
#[test]
fn a_piece_covers_nearly_all_of_the_remaining_time() {
    for ms in 0..MAX_PIECE_STEPS {
        let left = Duration::from_millis(ms) + Duration::from_micros(1 + ms % 997);
        let (late, missing) =
            (timer_duration(left).saturating_sub(left), left.saturating_sub(timer_duration(left)));
        assert!(late < WAIT_STEP && missing <= left / 64, "{left:?}: {:?}", timer_duration(left));
    }
}

/// Guards against waiting forever when a deadline is less than a millisecond away: the library truncates such
/// a wait to zero, which it treats as unlimited.
#[test]
fn a_wait_under_a_millisecond_ends() {
    let took = run_in_task(|| {
        let (began, short) = (Instant::now(), Duration::from_micros(400));
        let (_sender, receiver) = channel::<()>();
        assert_eq!(receive(&receiver, short), Err(RecvTimeoutError::Timeout));
        assert!(!wait_for_post(&Semphore::new(0), short));
        let mutex = may::sync::Mutex::new(());
        drop(wait(&Condvar::new(), mutex.lock().expect("locked"), short));
        began.elapsed()
    });
    assert!(took >= Duration::from_micros(1200), "{took:?}");
}

/// Guards against waiting up to twice the time for a deadline that is not a whole number of milliseconds
/// away.
#[test]
fn a_receive_does_not_wait_twice_its_time() {
    // The shortest of several waits, as other tasks may delay this one.
    let shortest = run_in_task(|| {
        let (_sender, receiver) = channel::<()>();
        let took = (0..5).map(|_| {
            let began = Instant::now();
            assert_eq!(receive(&receiver, Duration::from_micros(200_900)), Err(RecvTimeoutError::Timeout));
            began.elapsed()
        });
        took.min()
    });
    let once = Duration::from_micros(200_900)..Duration::from_millis(300);
    assert!(shortest.is_some_and(|took| once.contains(&took)), "{shortest:?}");
}
