use corkbay_feed::{ConnectDecision, ControlChoice, ControlNode, ControlNumber, Ms, NoControlNodes};
use rand::rngs::SmallRng;
use rand::SeedableRng;

const FOLLOWERS: usize = 880;

fn controls(zones: &[&str]) -> Vec<ControlNode> {
    let control = |(number, zone): (usize, &&str)| ControlNode {
        address: format!("127.0.0.1:{}", 7000 + number),
        zone: Some(zone.to_string()),
    };
    zones.iter().enumerate().map(control).collect()
}

fn choice(follower: usize, zone: &str, zones: &[&str]) -> ControlChoice {
    ControlChoice::new(&format!("invoker-{follower}"), Some(zone), &controls(zones))
        .expect("has control nodes")
}

fn rng() -> SmallRng {
    SmallRng::seed_from_u64(1)
}

fn connect(choice: &ControlChoice, now: Ms) -> ControlNumber {
    match choice.next(now) {
        ConnectDecision::Connect(control) => control,
        ConnectDecision::WaitUntil(until) => panic!("waits until {until}"),
    }
}

#[test]
fn an_empty_list_of_control_nodes_is_an_error() {
    assert_eq!(ControlChoice::new("n", None, &[]).err(), Some(NoControlNodes));
}

#[test]
fn followers_prefer_their_zone_and_spread_evenly_also_when_one_fails() {
    let zones = ["a", "a", "a", "b"];
    let (mut first, mut second) = ([0; 4], [0; 4]);
    for follower in 0..FOLLOWERS {
        let mut choice = choice(follower, "a", &zones);
        let preferred = connect(&choice, 0.0);
        first[preferred.0] += 1;
        if preferred.0 == 0 {
            choice.failed(preferred, 0.0, &mut rng());
            second[connect(&choice, 0.0).0] += 1;
        }
    }
    assert_eq!((first[3], second[0], second[3]), (0, 0, 0));
    assert!(first[..3].iter().all(|count| (220..=370).contains(count)), "{first:?}");
    assert!(second[1..3].iter().all(|count| *count >= first[0] / 3), "{second:?}");
}

#[test]
fn the_back_off_grows_to_its_limit_and_is_reset_by_a_success() {
    let mut choice = choice(1, "a", &["a", "a"]);
    let (control, mut rng) = (connect(&choice, 0.0), rng());
    let mut longest = [0.0; 20];
    for _ in 0..200 {
        for wait in &mut longest {
            choice.failed(control, 0.0, &mut rng);
            let ready = |now: &i32| connect(&choice, Ms::from(*now)) == control;
            let now = (0..=10_001).step_by(50).find(ready).expect("is tried again within 10 s");
            *wait = f64::max(*wait, Ms::from(now));
        }
        choice.succeeded(control);
    }
    for (failures, wait) in longest.into_iter().enumerate() {
        let span = f64::min(200.0 * 2f64.powi(failures as i32), 10_000.0);
        assert!(wait > span / 2.0 && wait <= span + 50.0, "{wait} of {span} ms");
    }
}

#[test]
fn while_all_control_nodes_fail_one_is_retried_soon() {
    let mut choice = choice(1, "a", &["a", "b", "c"]);
    let (mut rng, mut now) = (rng(), 0.0);
    for _ in 0..300 {
        match choice.next(now) {
            ConnectDecision::Connect(control) => choice.failed(control, now, &mut rng),
            ConnectDecision::WaitUntil(until) => {
                assert!(until > now && until <= now + 2_000.0, "from {now} to {until}");
                now = until;
            }
        }
    }
}

#[test]
fn a_busy_control_node_is_not_retried_before_the_requested_delay() {
    let mut choice = choice(1, "a", &["a"]);
    choice.busy(ControlNumber(0), 1_000.0, 0.0, &mut rng());
    let ConnectDecision::WaitUntil(until) = choice.next(0.0) else { panic!("connects at once") };
    assert!((1_000.0..=2_000.0).contains(&until), "{until}");
    assert_eq!(choice.next(until), ConnectDecision::Connect(ControlNumber(0)));
}
