use super::*;

/// Guards the rule on repeats: only what was never whole on a wire, or what the worker itself
/// disclaimed, may count as proof that nothing ran.
#[test]
fn only_what_cannot_have_run_proves_it() {
    for cause in [Cause::Broken, Cause::Silent, Cause::GivenUp, Cause::Barred] {
        assert!(AttemptError::Unfinished(cause).outcome().proves_not_run(), "{cause:?}");
        assert!(!AttemptError::Unanswered(cause).outcome().proves_not_run(), "{cause:?}");
    }
    assert!(AttemptError::Unconnected.outcome().proves_not_run());
    // A worker is out of reach only where no connection came up.
    assert_eq!(AttemptError::Unconnected.outcome(), Outcome::ConnectFailed);
    assert_eq!(AttemptError::Unfinished(Cause::Broken).outcome(), Outcome::Moot);
    for (verdict, proof) in
        [(Verdict::Miss, true), (Verdict::Full, true), (Verdict::Over, true), (Verdict::Failed, false)]
    {
        assert_eq!(AttemptError::Answered(verdict).outcome().proves_not_run(), proof, "{verdict:?}");
    }
}
