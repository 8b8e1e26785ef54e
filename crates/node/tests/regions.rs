//! Regions whose network to each other loses all packets for some seconds: control nodes and followers as real processes.
mod support;

use std::net::SocketAddr;
use std::time::{Duration, Instant};
use support::nodes::{classes_only, function_memory, put_function, replication, start_node, status, Relay};
use support::{free_address, until, Daemon, Folder};

/// A change is in force in its own region by then, also during a cut, and everywhere once regions hear each other.
const IN_FORCE: Duration = Duration::from_secs(6);
/// Longest random pause of a follower that reaches no control node, and the time for what comes after it.
const REACHED_AGAIN: Duration = Duration::from_secs(16);
/// Longer than the silence after which connections are given up on both sides.
const CUT: Duration = Duration::from_secs(5);
const INTERVAL_MS: u64 = 200;

/// Two regions with a control node and a follower each, and a third one with a follower alone.
struct Regions {
    /// All that passes between regions.
    links: Vec<Relay>,
    controls: Vec<Daemon>,
    followers: Vec<Daemon>,
    _folder: Folder,
}

impl Regions {
    fn start() -> Self {
        let folder = Folder::new();
        let (peers, feeds) = ([free_address(), free_address()], [free_address(), free_address()]);
        let mut links: Vec<Relay> = Vec::new();
        let mut far = |address: SocketAddr| {
            links.push(Relay::to(address));
            links[links.len() - 1].address
        };
        let control = |own: usize, other: SocketAddr| {
            let feed = format!("[feed]\nlisten = \"{}\"\n", feeds[own]);
            let sections =
                format!("{}{feed}{}", replication(peers[own], &[other], INTERVAL_MS), classes_only());
            start_node(&folder, &format!("c{own}"), &sections)
        };
        let controls = vec![control(0, far(peers[1])), control(1, far(peers[0]))];
        put_function(&controls[0], "known", 1);
        let follower = |number: usize, seen: [SocketAddr; 2]| {
            let zones = ["a", "b", "c"];
            let entry = |(address, zone): (&SocketAddr, &&str)| {
                format!("[[follow.control]]\naddress = \"{address}\"\nzone = \"{zone}\"\n")
            };
            let entries: String = seen.iter().zip(&zones).map(entry).collect();
            let zone = zones[number];
            let sections = format!("[follow]\nzone = \"{zone}\"\n{entries}{}", classes_only());
            start_node(&folder, &format!("f{number}"), &sections)
        };
        let followers = vec![
            follower(0, [feeds[0], far(feeds[1])]),
            follower(1, [far(feeds[0]), feeds[1]]),
            follower(2, [far(feeds[0]), far(feeds[1])]),
        ];
        let regions = Regions { links, controls, followers, _folder: folder };
        for follower in &regions.followers {
            until("it follows", || {
                status(follower)["follow"]["state"] == "following"
                    && function_memory(follower, "known") == Some(1.0)
            });
        }
        regions
    }

    fn silence(&self) {
        self.links.iter().for_each(Relay::silence);
    }

    fn mend(&self) {
        self.links.iter().for_each(Relay::mend);
    }
}

/// Waits until a node knows a function so; fails where that took too long.
fn in_force(node: &Daemon, name: &str, memory_mb: f64, since: Instant, within: Duration) {
    until("the change is known", || function_memory(node, name) == Some(memory_mb));
    let took = since.elapsed();
    assert!(took <= within, "{name} was in force after {took:?}");
}

/// Guards regions that lose each other: each goes on by itself, takes nothing of the other's for granted, and all hold the
/// same soon after.
#[test]
fn regions_that_were_cut_off_go_on_and_come_together() {
    let regions = Regions::start();
    let [left, right] = [&regions.controls[0], &regions.controls[1]];
    let [in_left, in_right, alone] = [0, 1, 2].map(|number| &regions.followers[number]);
    regions.silence();
    let cut = Instant::now();
    put_function(left, "left", 10);
    in_force(in_left, "left", 10.0, cut, IN_FORCE);
    let changed = Instant::now();
    put_function(right, "right", 20);
    in_force(in_right, "right", 20.0, changed, IN_FORCE);
    put_function(left, "both", 5);
    put_function(right, "both", 6);
    std::thread::sleep(CUT.saturating_sub(cut.elapsed()));
    for (node, name) in [(in_left, "right"), (in_right, "left"), (alone, "left"), (alone, "right")] {
        assert_eq!(function_memory(node, name), None, "the cut holds");
    }
    assert_eq!(function_memory(alone, "known"), Some(1.0), "it serves with what it has");
    regions.mend();
    let mended = Instant::now();
    for node in [right, in_right] {
        in_force(node, "left", 10.0, mended, IN_FORCE);
    }
    for node in [left, in_left] {
        in_force(node, "right", 20.0, mended, IN_FORCE);
    }
    for (name, memory_mb) in [("left", 10.0), ("right", 20.0)] {
        in_force(alone, name, memory_mb, mended, REACHED_AGAIN);
    }
    let nodes = [left, right, in_left, in_right, alone];
    until("one of the two changes stands everywhere", || {
        let known: Vec<_> = nodes.iter().map(|node| function_memory(node, "both")).collect();
        [5.0, 6.0].iter().any(|one| known.iter().all(|memory_mb| *memory_mb == Some(*one)))
    });
}
