use super::*;
use crate::Owner;
use std::time::Duration;

/// Guards the next holder against the others who want the name: what they ask in vain is no sign of the dead one.
#[test]
fn asking_in_vain_keeps_nobody_in_a_lease() {
    let span = Span { length: Duration::from_secs(2), drift: 100 };
    let (mut book, mut watch) = (Book::default(), Watch::new(span));
    let take = |node| Command::Take { name: "sweep".into(), owner: Owner { node, life: 1 } };
    for second in 0..10u64 {
        book.apply(&take(if second == 0 { 1 } else { 2 }));
        watch.note(Duration::from_secs(second), "sweep", &book);
        let due = watch.due(Duration::from_secs(second));
        assert_eq!(due.len(), usize::from(second > 2), "after {second} s");
    }
}
