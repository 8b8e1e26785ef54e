use crate::support::{TestRecord, TestStore};
use corkbay_feed::{
    BatchNumber, ConnectionNumber, ControlChoice, ControlMessage, ControlNode, ControlNumber, Follower,
    FollowerAction, FollowerLimits, GreaterRecord, Ms, Position,
};
use rand::rngs::SmallRng;
use rand::SeedableRng;

const HERE: Position = Position { incarnation: 3, revision: 5 };
const HEARTBEAT_MS: Ms = 1_000.0;
const HOUR_MS: Ms = 3_600_000.0;

/// A follower of two control nodes, both at the same position, and the time.
struct Fixture {
    follower: Follower<TestRecord, GreaterRecord>,
    store: TestStore,
    rng: SmallRng,
    now: Ms,
    connection: ConnectionNumber,
    control: ControlNumber,
}

impl Fixture {
    /// One that follows its first choice.
    fn new() -> Self {
        let control = |port: u16| ControlNode { address: format!("127.0.0.1:{port}"), zone: None };
        let choice = ControlChoice::new("n", None, &[control(1), control(2)]).expect("has control nodes");
        let follower = Follower::new("n", FollowerLimits::default(), choice, GreaterRecord, Some(HERE));
        let mut fixture = Fixture {
            follower,
            store: TestStore::default(),
            rng: SmallRng::seed_from_u64(1),
            now: 0.0,
            connection: ConnectionNumber(0),
            control: ControlNumber(0),
        };
        fixture.follower.tick(0.0, &mut fixture.rng);
        fixture.take_connection();
        fixture.hear(ControlMessage::Heartbeat { position: HERE });
        fixture
    }

    /// Takes up the newest attempt to connect, if there is one.
    fn take_connection(&mut self) -> bool {
        let newest = self.follower.actions().into_iter().rev().find_map(|action| match action {
            FollowerAction::Connect { connection, control } => Some((connection, control)),
            _ => None,
        });
        let Some((connection, control)) = newest else { return false };
        (self.connection, self.control) = (connection, control);
        self.follower.connected(connection, &self.store, self.now);
        true
    }

    fn hear(&mut self, message: ControlMessage<TestRecord>) {
        self.follower.message(self.connection, message, &self.store, self.now, &mut self.rng);
    }

    /// The control node closes the connection, and the next one is followed.
    fn lose_connection(&mut self) {
        self.follower.disconnected(self.connection, self.now, &mut self.rng);
        assert!(self.take_connection(), "another one is tried at once");
        self.hear(ControlMessage::Heartbeat { position: HERE });
    }

    /// Hears heartbeats until the follower connects again or the span is over; how long that took.
    fn until_it_moves(&mut self, span: Ms) -> Option<Ms> {
        let began = self.now;
        while self.now < began + span {
            self.now += HEARTBEAT_MS;
            self.hear(ControlMessage::Heartbeat { position: HERE });
            self.follower.tick(self.now, &mut self.rng);
            if self.take_connection() {
                return Some(self.now - began);
            }
        }
        None
    }
}

#[test]
fn a_follower_goes_back_to_its_first_choice() {
    let mut fixture = Fixture::new();
    let first = fixture.control;
    fixture.lose_connection();
    assert_ne!(fixture.control, first);
    let span = FollowerLimits::default().return_ms;
    let took = fixture.until_it_moves(HOUR_MS).expect("goes back");
    assert_eq!(fixture.control, first);
    assert!((span..=3.0 * span + HEARTBEAT_MS).contains(&took), "{took}");
    fixture.hear(ControlMessage::Heartbeat { position: HERE });
    assert_eq!(fixture.until_it_moves(HOUR_MS), None, "it stays there");
}

#[test]
fn a_follower_of_its_first_choice_stays() {
    assert_eq!(Fixture::new().until_it_moves(HOUR_MS), None);
}

#[test]
fn each_return_in_vain_doubles_the_span_up_to_a_bound() {
    let mut fixture = Fixture::new();
    let first = fixture.control;
    fixture.lose_connection();
    for doublings in [0, 1, 2, 3, 4, 4, 4] {
        let span = FollowerLimits::default().return_ms * 2f64.powi(doublings);
        let took = fixture.until_it_moves(HOUR_MS).expect("goes back");
        assert!((span..=3.0 * span + HEARTBEAT_MS).contains(&took), "{took} after {doublings} doublings");
        assert_eq!(fixture.control, first);
        fixture.lose_connection();
        assert_ne!(fixture.control, first);
    }
}

/// Guards the disk against a copy that is begun while the one before is still written.
#[test]
fn a_follower_goes_back_only_once_what_came_is_on_disk() {
    let mut fixture = Fixture::new();
    fixture.lose_connection();
    let record = TestRecord::new("a", 1, 1, None);
    fixture.hear(ControlMessage::Changes { after: HERE, upto: 6, records: vec![record] });
    let began = fixture.now;
    while fixture.now < began + HOUR_MS {
        fixture.now += HEARTBEAT_MS;
        fixture.hear(ControlMessage::Heartbeat { position: HERE.at(6) });
        fixture.follower.tick(fixture.now, &mut fixture.rng);
        assert!(!fixture.take_connection(), "something is on its way to disk");
    }
    fixture.follower.persisted(BatchNumber(1), &fixture.store, fixture.now);
    fixture.now += 2.0 * HEARTBEAT_MS;
    fixture.hear(ControlMessage::Heartbeat { position: HERE.at(6) });
    fixture.follower.tick(fixture.now, &mut fixture.rng);
    assert!(fixture.take_connection());
}
