use corkbay_feed::{BucketNumber, BucketSet, LeftOutRecords, Position, Progress, ProgressUpdate};

const POSITION: Position = Position { incarnation: 255, revision: 7 };

fn left_out(keys: &[&str]) -> LeftOutRecords {
    keys.iter().copied().collect()
}

fn buckets(keys: &[&str]) -> BucketSet {
    keys.iter().map(|key| BucketNumber::of(key)).collect()
}

/// Guards against a follower that loses its position, or what it left out, with a change of versions. Earlier versions store
/// the position alone.
#[test]
fn the_stored_text_does_not_change() {
    let mut partial = Progress::from(POSITION);
    partial.left_out.insert(BucketNumber(0));
    let zeros = "A".repeat(31);
    for (progress, text) in [
        (Progress::from(POSITION), r#""00000000000000ff:7""#.to_string()),
        (partial, format!(r#"{{"position":"00000000000000ff:7","left_out":"AAAAAAAAAAE{zeros}A="}}"#)),
    ] {
        assert_eq!(serde_json::to_string(&progress).expect("serializes"), text);
        assert_eq!(serde_json::from_str::<Progress>(&text).expect("deserializes"), progress);
    }
    assert!(
        serde_json::from_str::<Progress>(r#"{"position":"00000000000000ff:7","left_out":"AA=="}"#).is_err()
    );
}

/// Guards against a progress that covers a record that was left out.
#[test]
fn what_was_left_out_stays_until_its_bucket_is_complete() {
    let start = Some(Progress::from(POSITION));
    let changes = ProgressUpdate::Changes { position: POSITION.at(8) };
    let progress = changes.apply(start, left_out(&["a"])).expect("has a position");
    assert_eq!((progress.position, progress.left_out), (POSITION.at(8), buckets(&["a"])));
    let progress = changes.apply(Some(progress), left_out(&["b"])).expect("has a position");
    assert_eq!(progress.left_out, buckets(&["a", "b"]));

    let repaired = |is_complete| ProgressUpdate::Repaired { bucket: BucketNumber::of("a"), is_complete };
    for (update, left_out) in [(repaired(false), left_out(&[])), (repaired(true), left_out(&["a"]))] {
        assert_eq!(update.apply(Some(progress), left_out), Some(progress));
    }
    let progress = repaired(true).apply(Some(progress), left_out(&[])).expect("has a position");
    assert_eq!((progress.position, progress.left_out), (POSITION.at(8), buckets(&["b"])));

    // A difference replaces what was left out before, but not what was left out of its own pages.
    assert_eq!(ProgressUpdate::Page.apply(Some(progress), left_out(&["c"])), Some(progress));
    let copied = ProgressUpdate::Copied { position: POSITION.at(9), left_out: buckets(&["c"]) };
    let progress = copied.apply(Some(progress), left_out(&["d"])).expect("has a position");
    assert_eq!(progress.left_out, buckets(&["c", "d"]));
}
