use super::*;
use crate::life::spawn;
use may::sync::mpsc::channel;
use std::collections::BTreeSet;

/// Gives what a task comes to.
fn in_a_task<T: Send + 'static>(task: impl FnOnce() -> T + Send + 'static) -> T {
    let (sender, receiver) = std::sync::mpsc::channel();
    spawn(move || sender.send(task()));
    receiver.recv_timeout(Duration::from_secs(10)).expect("the task ends")
}

/// Guards the coroutine library's lists of timers, which are freed too early where there are more lengths than that.
#[test]
fn waits_of_all_lengths_are_made_of_few() {
    let up_to_two_hours = (0..7_200_000).map(|ms| Duration::from_micros(ms * 1000 + ms % 1000));
    let lengths: BTreeSet<_> = up_to_two_hours.flat_map(|left| [piece(left), sleep_piece(left)]).collect();
    let short: BTreeSet<_> = (0..2000).map(|us| sleep_piece(Duration::from_micros(us))).collect();
    let most = [Duration::MAX, Duration::from_secs(1 << 40)].map(piece);
    let all: BTreeSet<_> = lengths.into_iter().chain(short).chain(most).collect();
    assert!(all.len() < MOST_LENGTHS, "{} lengths", all.len());
    assert!(all.iter().all(|length| !length.is_zero()));
}

/// Guards waits against coming to an end late, and against a great number of pieces.
#[test]
fn a_piece_is_most_of_what_is_left_and_no_more() {
    for ms in 0..LONGEST_STEPS {
        let left = Duration::from_millis(ms) + Duration::from_micros(1 + ms % 997);
        let (late, missing) = (piece(left).saturating_sub(left), left.saturating_sub(piece(left)));
        assert!(late < STEP && missing <= left / 64, "{left:?}: {:?}", piece(left));
    }
}

/// Guards a deadline that is less than a millisecond away: it was waited for without end.
#[test]
fn a_wait_under_a_millisecond_ends() {
    let took = in_a_task(|| {
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

/// Guards a deadline that is no whole number of milliseconds away: it was waited for up to twice.
#[test]
fn a_receive_waits_its_time_once() {
    // The shortest of some, as others may keep this one from its turn.
    let shortest = in_a_task(|| {
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
