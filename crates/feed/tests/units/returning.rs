use crate::support::{TestRecord, TestStore};
use corkbay_feed::{
    BatchNumber, ConnectionNumber, ControlChoice, ControlMessage, ControlNode, ControlNumber, Follower,
    FollowerAction, FollowerLimits, GreaterRecord, LeftOutRecords, Ms, Position,
};
use rand::rngs::SmallRng;
use rand::SeedableRng;

const POSITION: Position = Position { incarnation: 3, revision: 5 };
const HEARTBEAT_MS: Ms = 1_000.0;
const HOUR_MS: Ms = 3_600_000.0;

/// A follower with two control nodes, both at the same position, and the current time.
struct Fixture {
    follower: Follower<TestRecord, GreaterRecord>,
    store: TestStore,
    rng: SmallRng,
    now: Ms,
    connection: ConnectionNumber,
    control: ControlNumber,
}

impl Fixture {
    /// A follower that follows its first choice.
    fn new() -> Self {
        let control = |port: u16| ControlNode { address: format!("127.0.0.1:{port}"), zone: None };
        let choice = ControlChoice::new("n", None, &[control(1), control(2)]).expect("has control nodes");
        let follower =
            Follower::new("n", FollowerLimits::default(), choice, GreaterRecord, Some(POSITION.into()));
        let mut fixture = Fixture {
            follower,
            store: TestStore::default(),
            rng: SmallRng::seed_from_u64(1),
            now: 0.0,
            connection: ConnectionNumber(0),
            control: ControlNumber(0),
        };
        fixture.follower.tick(0.0, &mut fixture.rng);
        fixture.accept_connection();
        fixture.receive(ControlMessage::Heartbeat { position: POSITION });
        fixture
    }

    /// Establishes the newest connection attempt, if there is one, and returns whether there was.
    fn accept_connection(&mut self) -> bool {
        let newest = self.follower.actions().into_iter().rev().find_map(|action| match action {
            FollowerAction::Connect { connection, control } => Some((connection, control)),
            _ => None,
        });
        let Some((connection, control)) = newest else { return false };
        (self.connection, self.control) = (connection, control);
        self.follower.connected(connection, &self.store, self.now);
        true
    }

    fn receive(&mut self, message: ControlMessage<TestRecord>) {
        self.follower.message(self.connection, message, &self.store, self.now, &mut self.rng);
    }

    /// Closes the connection from the control node's side; the follower then follows the next control node.
    fn lose_connection(&mut self) {
        self.follower.disconnected(self.connection, self.now, &mut self.rng);
        assert!(self.accept_connection(), "another control node is tried at once");
        self.receive(ControlMessage::Heartbeat { position: POSITION });
    }

    /// Delivers heartbeats until the follower reconnects; returns how long that took, or `None` if `span` ended first.
    fn time_until_reconnect(&mut self, span: Ms) -> Option<Ms> {
        let began = self.now;
        while self.now < began + span {
            self.now += HEARTBEAT_MS;
            self.receive(ControlMessage::Heartbeat { position: POSITION });
            self.follower.tick(self.now, &mut self.rng);
            if self.accept_connection() {
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
    let took = fixture.time_until_reconnect(HOUR_MS).expect("the follower returns");
    assert_eq!(fixture.control, first);
    assert!((span..=3.0 * span + HEARTBEAT_MS).contains(&took), "{took}");
    fixture.receive(ControlMessage::Heartbeat { position: POSITION });
    assert_eq!(fixture.time_until_reconnect(HOUR_MS), None, "it stays at its first choice");
}

#[test]
fn a_follower_of_its_first_choice_stays() {
    assert_eq!(Fixture::new().time_until_reconnect(HOUR_MS), None);
}

#[test]
fn each_unsuccessful_return_doubles_the_delay_up_to_a_limit() {
    let mut fixture = Fixture::new();
    let first = fixture.control;
    fixture.lose_connection();
    for doublings in [0, 1, 2, 3, 4, 4, 4] {
        let span = FollowerLimits::default().return_ms * 2f64.powi(doublings);
        let took = fixture.time_until_reconnect(HOUR_MS).expect("the follower returns");
        assert!((span..=3.0 * span + HEARTBEAT_MS).contains(&took), "{took} after {doublings} doublings");
        assert_eq!(fixture.control, first);
        fixture.lose_connection();
        assert_ne!(fixture.control, first);
    }
}

/// Guards against a new copy that starts while batches of the previous one are still being written to disk.
#[test]
fn a_follower_returns_only_once_all_batches_are_on_disk() {
    let mut fixture = Fixture::new();
    fixture.lose_connection();
    let record = TestRecord::new("a", 1, 1, None);
    fixture.receive(ControlMessage::Changes { after: POSITION, upto: 6, records: vec![record] });
    let began = fixture.now;
    while fixture.now < began + HOUR_MS {
        fixture.now += HEARTBEAT_MS;
        fixture.receive(ControlMessage::Heartbeat { position: POSITION.at(6) });
        fixture.follower.tick(fixture.now, &mut fixture.rng);
        assert!(!fixture.accept_connection(), "a batch is in flight");
    }
    fixture.follower.persisted(BatchNumber(1), LeftOutRecords::default(), &fixture.store, fixture.now);
    fixture.now += 2.0 * HEARTBEAT_MS;
    fixture.receive(ControlMessage::Heartbeat { position: POSITION.at(6) });
    fixture.follower.tick(fixture.now, &mut fixture.rng);
    assert!(fixture.accept_connection());
}
