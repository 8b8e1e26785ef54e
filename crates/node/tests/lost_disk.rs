//! Nodes that lose their disk and learn of the calls of their earlier life from their peers.
mod support;

use std::net::SocketAddr;
use std::time::{Duration, Instant};
use support::nodes::{replication, start_node};
use support::workers::{Behaviour, Fleet};
use support::{ask, free_address, until, Daemon, Folder, Response};

/// Time after which clients of these classes give up.
const GIVE_UP: Duration = Duration::from_secs(5);

/// Nodes that are each other's peers and call the same worker.
struct Cluster {
    folder: Folder,
    fleet: Fleet,
    meshes: Vec<SocketAddr>,
}

impl Cluster {
    fn new(nodes: usize, script: &[Behaviour]) -> Self {
        let meshes = (0..nodes).map(|_| free_address()).collect();
        Cluster { folder: Folder::new(), fleet: Fleet::new(script), meshes }
    }

    fn start(&self, node: usize) -> Daemon {
        let own = self.meshes[node];
        let peers: Vec<SocketAddr> = self.meshes.iter().copied().filter(|mesh| *mesh != own).collect();
        let give_up_ms = GIVE_UP.as_millis();
        let sections = format!(
            "{}[transport]\nprotocol = \"frames\"\n\
             [[class]]\nname = \"check\"\naim_ms = 1500\ngive_up_ms = {give_up_ms}\neffect = \"pure\"\n\
             [[class]]\nname = \"post\"\naim_ms = 750\ngive_up_ms = {give_up_ms}\neffect = \"token\"\n\
             dedup_scope = \"cell\"\ndedup_window_ms = 20000\n\
             [[function]]\nname = \"check\"\nclass = \"check\"\n[[function]]\nname = \"post\"\nclass = \"post\"\n\
             [[worker]]\nname = \"w1\"\naddress = \"{}\"\n",
            replication(own, &peers, 100),
            self.fleet.frames("w1")
        );
        start_node(&self.folder, &format!("n{node}"), &sections)
    }

    fn lose_disk(&self, node: usize) {
        std::fs::remove_dir_all(self.folder.0.join(format!("data-n{node}"))).expect("a folder");
    }
}

fn kill(mut node: Daemon) {
    node.child.kill().expect("own child");
    node.child.wait().expect("own child");
}

fn defer(node: &Daemon, function: &str, key: &str, body: &[u8]) -> Response {
    let path = format!("/v1/functions/{function}/invocations");
    ask(node.address, "POST", &path, &[("Prefer", "respond-async"), ("Idempotency-Key", key)], body)
}

/// Hands a call over and returns its path.
fn accepted(node: &Daemon, function: &str, key: &str) -> String {
    let response = defer(node, function, key, key.as_bytes());
    assert_eq!(response.status, 202);
    response.header("location").expect("a path").to_string()
}

fn state(node: &Daemon, path: &str) -> u16 {
    ask(node.address, "GET", path, &[], b"").status
}

fn all_know(nodes: &[&Daemon], path: &str, status: u16) {
    until(&format!("all nodes answer {status} for {path}"), || {
        nodes.iter().all(|node| state(node, path) == status)
    });
}

/// Guards against accepted calls that never end when their node comes back without its disk: it looked for its open calls
/// only at its start, before its peers had sent them.
#[test]
fn calls_of_a_node_that_lost_its_disk_are_ended() {
    let cluster = Cluster::new(3, &[Behaviour::Hold]);
    let (first, others) = (cluster.start(0), [cluster.start(1), cluster.start(2)]);
    let paths: Vec<String> =
        (0..4).map(|number| accepted(&first, "post", &format!("key-{number}"))).collect();
    let repeatable = accepted(&first, "check", "any");
    for path in paths.iter().chain([&repeatable]) {
        all_know(&[&others[0], &others[1]], path, 202);
    }
    until("a call is sent", || !cluster.fleet.sent().is_empty());
    kill(first);
    cluster.lose_disk(0);
    let first = cluster.start(0);
    let all = [&first, &others[0], &others[1]];
    for path in &paths {
        all_know(&all, path, 502);
        let failed = ask(first.address, "GET", path, &[], b"");
        assert_eq!(failed.header("corkbay-may-have-run"), Some("true"));
    }
    cluster.fleet.release();
    // Its class may be repeated: it is run again within what is left of its time, or fails at its end.
    until("it has its final answer", || all.iter().all(|node| state(node, &repeatable) != 202));
    let mut keys: Vec<String> = cluster.fleet.sent().into_iter().filter_map(|sent| sent.key).collect();
    keys.sort();
    assert!(keys.windows(2).all(|pair| pair[0] != pair[1]), "a keyed call is sent again: {keys:?}");
}

/// Guards against a second run of a keyed call: a repeat of its key comes after its node has lost its disk.
#[test]
fn a_key_of_an_earlier_life_is_known_when_its_node_serves_again() {
    let cluster = Cluster::new(2, &[Behaviour::Hold]);
    let (first, other) = (cluster.start(0), cluster.start(1));
    let path = accepted(&first, "post", "once");
    all_know(&[&other], &path, 202);
    until("the call is sent", || cluster.fleet.sent().len() == 1);
    kill(first);
    cluster.lose_disk(0);
    let first = cluster.start(0);
    let repeat = defer(&first, "post", "once", b"once");
    assert_eq!((repeat.status, repeat.header("location")), (202, Some(path.as_str())));
    assert_eq!(defer(&first, "post", "once", b"other").status, 422);
    all_know(&[&first, &other], &path, 502);
    assert_eq!(cluster.fleet.sent().len(), 1);
}

/// A call that runs now is not taken for one of an earlier life.
#[test]
fn calls_accepted_after_the_loss_run_on() {
    let cluster = Cluster::new(2, &[Behaviour::Hold]);
    let (first, other) = (cluster.start(0), cluster.start(1));
    let old = accepted(&first, "post", "old");
    all_know(&[&other], &old, 202);
    kill(first);
    cluster.lose_disk(0);
    let first = cluster.start(0);
    let new = accepted(&first, "post", "new");
    all_know(&[&first, &other], &old, 502);
    assert_eq!((state(&first, &new), state(&other, &new)), (202, 202));
    cluster.fleet.release();
    all_know(&[&first, &other], &new, 200);
}

/// Guards against two final answers to one call: the peer that holds its answer is away when its node comes back, and
/// another one knows it as open. It is ended only when the call's time is up by any class, or with that answer.
#[test]
fn a_call_is_not_ended_while_a_peer_that_may_hold_its_answer_is_away() {
    let cluster = Cluster::new(3, &[Behaviour::Hold]);
    let (first, second, third) = (cluster.start(0), cluster.start(1), cluster.start(2));
    let path = accepted(&first, "post", "answered");
    all_know(&[&second, &third], &path, 202);
    kill(third);
    cluster.fleet.release();
    all_know(&[&first, &second], &path, 200);
    kill(first);
    kill(second);
    cluster.lose_disk(0);
    let third = cluster.start(2);
    let first = cluster.start(0);
    let returned = Instant::now();
    all_know(&[&first, &third], &path, 202);
    while returned.elapsed() < GIVE_UP / 5 {
        assert_eq!(state(&first, &path), 202);
        std::thread::sleep(Duration::from_millis(20));
    }
    let second = cluster.start(1);
    all_know(&[&first, &second, &third], &path, 200);
}

/// A peer that stays away doesn't keep a call from its final answer.
#[test]
fn a_call_is_ended_although_a_peer_stays_away() {
    let cluster = Cluster::new(3, &[Behaviour::Hold]);
    let (first, second, third) = (cluster.start(0), cluster.start(1), cluster.start(2));
    let path = accepted(&first, "post", "open");
    all_know(&[&second, &third], &path, 202);
    kill(first);
    kill(second);
    cluster.lose_disk(0);
    let first = cluster.start(0);
    let returned = Instant::now();
    all_know(&[&first, &third], &path, 502);
    assert!(returned.elapsed() < 3 * GIVE_UP, "{:?}", returned.elapsed());
    let second = cluster.start(1);
    all_know(&[&first, &second, &third], &path, 502);
}

/// A log that is damaged in its middle may lack final records that the peers have: its open calls are not ended before
/// these were asked.
#[test]
fn a_damaged_log_does_not_replace_an_answer_that_a_peer_has() {
    let cluster = Cluster::new(2, &[Behaviour::Serve]);
    let (first, other) = (cluster.start(0), cluster.start(1));
    let path = accepted(&first, "post", "answered");
    all_know(&[&first, &other], &path, 200);
    kill(first);
    let log = cluster.folder.0.join("data-n0").join("records.log");
    let bytes = std::fs::read(&log).expect("a log");
    // The last record is the final one.
    std::fs::write(&log, &bytes[..bytes.len() - 1]).expect("written");
    let first = cluster.start(0);
    until("it has its answer", || match state(&first, &path) {
        502 => panic!("its answer is replaced"),
        status => status == 200,
    });
    assert_eq!(state(&other, &path), 200);
}
