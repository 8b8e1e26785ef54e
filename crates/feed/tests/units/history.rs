use corkbay_feed::{ChangeHistory, Compacted};
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::sync::Arc;

/// The keys with their latest revisions after `revision`, from a complete log.
fn naive_since(log: &[Arc<str>], revision: u64) -> Vec<(u64, Arc<str>)> {
    let mut latest = BTreeMap::new();
    for (index, key) in log.iter().enumerate() {
        latest.insert(key.clone(), index as u64 + 1);
    }
    let mut changes: Vec<_> = latest.into_iter().map(|(key, at)| (at, key)).collect();
    changes.retain(|change| change.0 > revision);
    changes.sort();
    changes
}

proptest! {
    #[test]
    fn since_equals_a_naive_log_or_tells_that_it_cannot(
        keys in prop::collection::vec(0..12u8, 0..60),
        capacity in 1..16usize,
    ) {
        let log: Vec<Arc<str>> = keys.iter().map(|key| key.to_string().into()).collect();
        let mut history = ChangeHistory::new(capacity);
        for (index, key) in log.iter().enumerate() {
            prop_assert_eq!(history.record_change(key), index as u64 + 1);
        }
        let all = naive_since(&log, 0);
        for revision in 0..=log.len() as u64 {
            let expected = naive_since(&log, revision);
            let actual = history.since(revision).map(|changes| {
                changes.map(|(at, key)| (at, key.clone())).collect::<Vec<_>>()
            });
            prop_assert_eq!(history.covers(revision), actual.is_ok());
            match actual {
                Ok(changes) => prop_assert_eq!(changes, expected),
                // No more keys are dropped than the capacity requires.
                Err(Compacted) => prop_assert!(expected.len() > capacity, "{} of {}", expected.len(), all.len()),
            }
        }
    }
}
