use super::*;
use crate::Owner;
use std::time::Duration;

/// Guards against a dead holder whose lease never expires because other owners keep requesting it.
#[test]
fn rejected_requests_do_not_extend_a_lease() {
    let timing = LeaseTiming { duration: Duration::from_secs(2), max_drift_permille: 100 };
    let (mut table, mut monitor) = (LeaseTable::default(), LeaseMonitor::new(timing));
    let take = |node| Command::Take { name: "sweep".into(), owner: Owner { node, life: 1 } };
    for second in 0..10u64 {
        table.apply(&take(if second == 0 { 1 } else { 2 }));
        monitor.observe(Duration::from_secs(second), "sweep", &table);
        let due = monitor.expired(Duration::from_secs(second));
        assert_eq!(due.len(), usize::from(second > 2), "after {second} s");
    }
}
