use super::*;

/// Guards the rule on retries: only an attempt that was not sent completely, or that the worker reports as
/// not run, counts as proof that nothing ran.
#[test]
fn only_attempts_that_cannot_have_run_prove_that_nothing_ran() {
    for cause in [
        AbortReason::ConnectionLost,
        AbortReason::TimedOut,
        AbortReason::Cancelled,
        AbortReason::SendNotAllowed,
    ] {
        assert!(AttemptError::NotFullySent(cause).outcome().proves_not_run(), "{cause:?}");
        assert!(!AttemptError::Unanswered(cause).outcome().proves_not_run(), "{cause:?}");
    }
    assert!(AttemptError::ConnectFailed.outcome().proves_not_run());
    // A worker counts as unreachable only if no connection could be established.
    assert_eq!(AttemptError::ConnectFailed.outcome(), Outcome::ConnectFailed);
    assert_eq!(AttemptError::NotFullySent(AbortReason::ConnectionLost).outcome(), Outcome::Moot);
    for (verdict, proof) in [
        (WorkerRefusal::NotLoaded, true),
        (WorkerRefusal::Full, true),
        (WorkerRefusal::RequestEnded, true),
        (WorkerRefusal::Failed, false),
    ] {
        assert_eq!(AttemptError::Answered(verdict).outcome().proves_not_run(), proof, "{verdict:?}");
    }
}
