use super::*;

/// Guards the rule on retries: only an attempt that was not sent completely, or that the worker reports as
/// not run, counts as proof that nothing ran.
#[test]
fn only_attempts_that_cannot_have_run_prove_that_nothing_ran() {
    for cause in [Cause::Broken, Cause::Silent, Cause::GivenUp, Cause::Barred] {
        assert!(AttemptError::Unfinished(cause).outcome().proves_not_run(), "{cause:?}");
        assert!(!AttemptError::Unanswered(cause).outcome().proves_not_run(), "{cause:?}");
    }
    assert!(AttemptError::Unconnected.outcome().proves_not_run());
    // A worker counts as unreachable only if no connection could be established.
    assert_eq!(AttemptError::Unconnected.outcome(), Outcome::ConnectFailed);
    assert_eq!(AttemptError::Unfinished(Cause::Broken).outcome(), Outcome::Moot);
    for (verdict, proof) in
        [(Verdict::Miss, true), (Verdict::Full, true), (Verdict::Over, true), (Verdict::Failed, false)]
    {
        assert_eq!(AttemptError::Answered(verdict).outcome().proves_not_run(), proof, "{verdict:?}");
    }
}
