use super::*;

#[test]
fn behaviours_follow_from_the_seed_and_faults_come_as_often_as_asked() {
    let behaviours = |seed, fault_rate| -> Vec<Behaviour> {
        let schedule = FaultSchedule { seed, fault_rate };
        (0..2000).map(|period| schedule.behaviour(period % 7, PERIOD * period as u32)).collect()
    };
    assert_eq!(behaviours(3, 0.3), behaviours(3, 0.3));
    assert_ne!(behaviours(3, 0.3), behaviours(4, 0.3));
    assert!(behaviours(3, 0.0).iter().all(|behaviour| *behaviour == Behaviour::Healthy));
    let faulty = behaviours(3, 0.3).iter().filter(|behaviour| **behaviour != Behaviour::Healthy).count();
    assert!((500..700).contains(&faulty), "{faulty}");
}
