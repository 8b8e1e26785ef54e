//! Control nodes and their followers as real processes: changes, failures, restarts.
mod support;

use serde_json::{json, Value};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::process::Command;
use std::time::{Duration, Instant};
use support::nodes::{
    classes_only, delete_function, frame, function_memory, put_function, replication, start_node, status,
    until_ended,
};
use support::workers::{Behaviour, Fleet};
use support::{ask, free_address, until, Daemon, Folder, CLASSES, TEST_TIMEOUT};

/// A change is in force at every follower by then, also while one control node fails.
const IN_FORCE: Duration = Duration::from_secs(6);
/// What an idle follower may exchange with its control node, in bytes a second.
const IDLE_BYTES_PER_S: f64 = 0.2 * 1024.0;

/// Some control nodes and their followers.
struct Site {
    /// More of the control nodes' `[feed]` section.
    bounds: &'static str,
    /// More of the followers' `[follow]` section.
    following: &'static str,
    folder: Folder,
    replication: Vec<SocketAddr>,
    feeds: Vec<SocketAddr>,
    controls: Vec<Daemon>,
    followers: Vec<Daemon>,
}

impl Site {
    fn new(controls: usize, followers: usize) -> Self {
        Site::with(controls, followers, "", "")
    }

    fn with(controls: usize, followers: usize, bounds: &'static str, following: &'static str) -> Self {
        let addresses = || (0..controls).map(|_| free_address()).collect::<Vec<_>>();
        let mut site = Site {
            bounds,
            following,
            folder: Folder::new(),
            replication: addresses(),
            feeds: addresses(),
            controls: Vec::new(),
            followers: Vec::new(),
        };
        site.controls = (0..controls).map(|number| site.start_control(number)).collect();
        site.followers = (0..followers).map(|number| site.start_follower(number)).collect();
        site.until_all_follow();
        site
    }

    fn start_control(&self, number: usize) -> Daemon {
        let own = self.replication[number];
        let peers: Vec<SocketAddr> = self.replication.iter().copied().filter(|peer| *peer != own).collect();
        let feed = format!("[feed]\nlisten = \"{}\"\n{}", self.feeds[number], self.bounds);
        let sections = format!("{}{feed}{CLASSES}", replication(own, &peers, 200));
        start_node(&self.folder, &format!("c{number}"), &sections)
    }

    fn start_follower(&self, number: usize) -> Daemon {
        let control = |address: &SocketAddr| format!("[[follow.control]]\naddress = \"{address}\"\n");
        let controls: String = self.feeds.iter().map(control).collect();
        let sections = format!("[follow]\n{}{controls}{}", self.following, classes_only());
        start_node(&self.folder, &format!("f{number}"), &sections)
    }

    fn until_all_follow(&self) {
        for follower in &self.followers {
            until("it follows and has the functions of the files", || {
                is_following(follower) && function_memory(follower, "once").is_some()
            });
        }
    }

    /// Waits until all followers know a function so, no longer than a change may take.
    fn in_force(&self, changed: Instant, name: &str, memory_mb: Option<f64>) {
        for (number, follower) in self.followers.iter().enumerate() {
            until("the change is known", || function_memory(follower, name) == memory_mb);
            let took = changed.elapsed();
            assert!(took <= IN_FORCE, "f{number} knew of {name} after {took:?}");
        }
    }

    /// The number of the control node that a follower has to do with.
    fn control_of(&self, follower: &Daemon) -> Option<usize> {
        let address = follow_status(follower)["control"].as_str()?.parse().ok()?;
        self.feeds.iter().position(|feed| *feed == address)
    }

    /// The control node with the most followers, whose failure is felt most.
    fn busiest(&self) -> usize {
        let followed: Vec<usize> =
            self.followers.iter().filter_map(|follower| self.control_of(follower)).collect();
        let count = |control: &usize| followed.iter().filter(|followed| *followed == control).count();
        (0..self.controls.len()).max_by_key(count).expect("some")
    }
}

fn follow_status(follower: &Daemon) -> Value {
    status(follower)["follow"].clone()
}

fn is_following(follower: &Daemon) -> bool {
    let status = status(follower);
    status["ready"] == json!(true) && status["follow"]["state"] == json!("following")
}

fn counter(follower: &Daemon, name: &str) -> u64 {
    follow_status(follower)[name].as_u64().unwrap_or_else(|| panic!("{name} is no counter"))
}

#[test]
fn a_change_at_any_control_node_is_in_force_at_all_followers() {
    let site = Site::new(3, 6);
    for (number, control) in site.controls.iter().enumerate() {
        let name = format!("fresh-{number}");
        let changed = Instant::now();
        put_function(control, &name, 7);
        site.in_force(changed, &name, Some(7.0));
        let changed = Instant::now();
        delete_function(&site.controls[(number + 1) % 3], &name);
        site.in_force(changed, &name, None);
    }
    for control in &site.controls {
        until("no follower lags", || {
            let feed = status(control)["feed"].clone();
            feed["laggards"] == json!(0) && feed["oldest"]["behind"].as_u64().is_none_or(|behind| behind == 0)
        });
    }
    let metrics = ask(site.controls[0].address, "GET", "/metrics", &[], b"").body;
    assert!(String::from_utf8_lossy(&metrics).contains("corkbay_feed_followers"));
    let metrics = ask(site.followers[0].address, "GET", "/metrics", &[], b"").body;
    assert!(String::from_utf8_lossy(&metrics).contains("corkbay_follow_ready 1"));
}

#[test]
fn a_worker_that_a_control_node_is_told_of_serves_the_followers_calls() {
    let (site, fleet) = (Site::new(1, 2), Fleet::new(&[Behaviour::Serve]));
    let worker = json!({"address": fleet.http("w1").to_string()}).to_string();
    let told = ask(site.controls[0].address, "PUT", "/v1/workers/w1", &[], worker.as_bytes());
    assert_eq!(told.status, 204);
    for follower in &site.followers {
        until("the worker serves its calls", || {
            ask(follower.address, "POST", "/v1/functions/check/invocations", &[], b"x").body == b"done: x"
        });
    }
}

/// Guards the promise on changes against the death of a control node in that instant.
#[test]
fn a_change_is_in_force_while_a_control_node_is_killed() {
    let mut site = Site::new(3, 6);
    let killed = site.busiest();
    let changed = Instant::now();
    site.controls[killed].child.kill().expect("own child");
    put_function(&site.controls[(killed + 1) % 3], "fresh", 7);
    site.in_force(changed, "fresh", Some(7.0));
}

/// Guards the same against one that stops without a word, and what was changed meanwhile against its return.
#[test]
fn a_control_node_that_stops_delays_nothing_and_takes_nothing_back() {
    let site = Site::new(3, 6);
    let changed = Instant::now();
    put_function(&site.controls[0], "told", 1);
    site.in_force(changed, "told", Some(1.0));
    let stopped = site.busiest();
    let other = (stopped + 1) % 3;
    let changed = Instant::now();
    site.controls[stopped].signal("STOP");
    put_function(&site.controls[other], "told", 2);
    site.in_force(changed, "told", Some(2.0));
    let changed = Instant::now();
    delete_function(&site.controls[other], "once");
    site.in_force(changed, "once", None);
    site.controls[stopped].signal("CONT");
    let awake = Instant::now();
    let mut is_told = false;
    while !is_told || awake.elapsed() < Duration::from_secs(3) {
        for follower in &site.followers {
            assert_eq!(function_memory(follower, "told"), Some(2.0));
            assert_eq!(function_memory(follower, "once"), None);
        }
        let woken = &site.controls[stopped];
        is_told = function_memory(woken, "told") == Some(2.0) && function_memory(woken, "once").is_none();
        assert!(awake.elapsed() < TEST_TIMEOUT, "the control node that woke up was never told");
    }
}

/// Guards restarts of followers: the position on the disk is good, and only what was missed is sent.
#[test]
fn a_follower_that_was_killed_goes_on_from_its_position() {
    let mut site = Site::new(1, 1);
    put_function(&site.controls[0], "before", 1);
    until("it is known", || function_memory(&site.followers[0], "before") == Some(1.0));
    site.followers.clear();
    put_function(&site.controls[0], "meanwhile", 2);
    let follower = site.start_follower(0);
    until("what was missed is there", || function_memory(&follower, "meanwhile") == Some(2.0));
    assert_eq!(function_memory(&follower, "before"), Some(1.0));
    assert_eq!((counter(&follower, "comparisons"), counter(&follower, "copied_records")), (0, 0));
    assert_eq!(counter(&follower, "changed_records"), 1);
    assert_eq!(status(&site.controls[0])["feed"]["resumes"], json!(1));
}

/// Guards what is on the disk against a death in the midst of writes: the position never runs ahead of the records.
#[test]
fn a_follower_that_is_killed_in_the_midst_of_changes_misses_none() {
    const CHANGES: usize = 200;
    let mut site = Site::new(1, 1);
    for number in 0..CHANGES {
        put_function(&site.controls[0], &format!("x{number}"), 1);
        if number == CHANGES / 2 {
            site.followers.clear();
        }
    }
    let follower = site.start_follower(0);
    let last = format!("x{}", CHANGES - 1);
    until("the last change is there", || function_memory(&follower, &last) == Some(1.0));
    let functions = ask(follower.address, "GET", "/v1/functions", &[], b"").json();
    let missing: Vec<usize> =
        (0..CHANGES).filter(|number| functions[format!("x{number}")].is_null()).collect();
    assert!(missing.is_empty(), "{missing:?}");
    assert_eq!(counter(&follower, "comparisons"), 0);
}

/// Guards deletions: a control node still knows of one after its restart, when nobody can go on from a position.
#[test]
fn a_deletion_gets_through_where_both_sides_restart() {
    let mut site = Site::new(1, 1);
    site.followers.clear();
    delete_function(&site.controls[0], "once");
    site.controls.clear();
    let follower = site.start_follower(0);
    assert!(function_memory(&follower, "once").is_some(), "it starts with what it holds");
    let _control = site.start_control(0);
    until("it is gone", || function_memory(&follower, "once").is_none());
    assert!(function_memory(&follower, "check").is_some());
}

/// Guards all others against one that does not read, and that one against what it misses.
#[test]
fn a_follower_that_stops_delays_nobody_and_catches_up() {
    let mut site = Site::new(1, 3);
    let stopped = site.followers.remove(0);
    stopped.signal("STOP");
    for number in 0..50 {
        put_function(&site.controls[0], &format!("x{number}"), 1);
    }
    site.in_force(Instant::now(), "x49", Some(1.0));
    until("it is given up", || status(&site.controls[0])["feed"]["followers"] == json!(2));
    stopped.signal("CONT");
    let awake = Instant::now();
    until("it has caught up", || function_memory(&stopped, "x49") == Some(1.0));
    assert!(awake.elapsed() <= IN_FORCE, "{:?}", awake.elapsed());
    assert_eq!(counter(&stopped, "comparisons"), 1, "of its first copy");
}

/// Guards the spread of followers over control nodes: those of one that was away come back to it, and miss nothing.
#[test]
fn followers_go_back_to_a_control_node_that_is_there_again() {
    let mut site = Site::with(2, 6, "", "return_s = 0.3\n");
    let preferred: Vec<_> = site.followers.iter().map(|follower| site.control_of(follower)).collect();
    let away = site.busiest();
    let other = 1 - away;
    site.controls[away].child.kill().expect("own child");
    for follower in &site.followers {
        until("it follows the other one", || {
            is_following(follower) && site.control_of(follower) == Some(other)
        });
    }
    put_function(&site.controls[other], "meanwhile", 1);
    site.controls[away] = site.start_control(away);
    for (follower, preferred) in site.followers.iter().zip(preferred) {
        until("it is back", || is_following(follower) && site.control_of(follower) == preferred);
        assert_eq!(function_memory(follower, "meanwhile"), Some(1.0));
    }
    let changed = Instant::now();
    put_function(&site.controls[away], "fresh", 7);
    site.in_force(changed, "fresh", Some(7.0));
}

/// Guards control nodes against more followers than they can bear: the others find a place elsewhere.
#[test]
fn a_full_control_node_sends_followers_elsewhere() {
    let site = Site::with(2, 2, "followers = 1\n", "");
    for control in &site.controls {
        until("each has one", || status(control)["feed"]["followers"] == json!(1));
    }
}

/// Guards followers against the cost of a control node's restart: hashes are compared, and nothing is copied.
#[test]
fn a_control_node_that_restarts_causes_no_copies() {
    let mut site = Site::new(1, 2);
    let copied: Vec<u64> = site.followers.iter().map(|each| counter(each, "copied_records")).collect();
    assert!(copied.iter().all(|records| *records > 0), "the first copies: {copied:?}");
    site.controls.clear();
    let restarted = site.start_control(0);
    for (follower, copied) in site.followers.iter().zip(copied) {
        until("it has compared", || counter(follower, "comparisons") == 2 && is_following(follower));
        assert_eq!(counter(follower, "copied_records"), copied);
    }
    put_function(&restarted, "fresh", 7);
    site.in_force(Instant::now(), "fresh", Some(7.0));
    assert_eq!(status(&restarted)["feed"]["difference_bytes"], json!(0));
}

/// Guards followers that start without any control node: what they hold is served, and one that holds nothing says so.
#[test]
fn a_follower_starts_from_its_disk_and_is_not_ready_without_a_copy() {
    let mut site = Site::new(1, 1);
    site.controls.clear();
    site.followers.clear();
    let known = site.start_follower(0);
    assert_eq!(status(&known)["ready"], json!(true));
    assert!(function_memory(&known, "once").is_some());
    let empty = site.start_follower(1);
    assert_eq!(status(&empty)["ready"], json!(false));
    let call =
        |name: &str| ask(empty.address, "POST", &format!("/v1/functions/{name}/invocations"), &[], b"x");
    let early = call("once");
    assert_eq!((early.status, early.header("retry-after")), (503, Some("1")), "it may be known soon");
    assert_eq!(early.header("corkbay-may-have-run"), Some("false"));
    let _control = site.start_control(0);
    until("its first copy is there", || is_following(&empty) && function_memory(&empty, "once").is_some());
    assert_eq!(call("nowhere").status, 404);
}

#[test]
fn a_follower_refuses_changes_and_names_the_problem() {
    let site = Site::new(1, 1);
    let follower = site.followers[0].address;
    let function = json!({"class": "check"}).to_string();
    let worker = json!({"address": "127.0.0.1:9"}).to_string();
    for (method, path, body) in [
        ("PUT", "/v1/functions/f", function.as_str()),
        ("DELETE", "/v1/functions/once", ""),
        ("PUT", "/v1/workers/w", worker.as_str()),
        ("DELETE", "/v1/workers/w", ""),
    ] {
        let response = ask(follower, method, path, &[], body.as_bytes());
        assert_eq!(response.status, 409, "{method} {path}");
        assert_eq!(response.header("content-type"), Some("application/problem+json"));
        let kind = response.json()["type"].as_str().expect("a type").to_string();
        assert!(kind.ends_with("follower"), "{kind}");
    }
    assert!(function_memory(&site.followers[0], "once").is_some());
}

#[test]
fn a_refusal_names_the_control_nodes_api() {
    let folder = Folder::new();
    let sections = format!(
        "[follow]\n[[follow.control]]\naddress = \"{}\"\napi = \"127.0.0.1:8080\"\n{}",
        free_address(),
        classes_only()
    );
    let follower = start_node(&folder, "f", &sections);
    let response = ask(follower.address, "DELETE", "/v1/functions/once", &[], b"");
    let detail = response.json()["detail"].as_str().expect("a detail").to_string();
    assert!(response.status == 409 && detail.contains("http://127.0.0.1:8080"), "{detail}");
}

/// Guards control nodes against a follower that asks again and again for what it has no room for, and operators against
/// not being told.
#[test]
fn a_follower_without_room_says_so_and_asks_seldom() {
    let site = Site::new(1, 0);
    let sections = format!(
        "[memory]\nshares = {{ catalog = 0.2 }}\n[follow]\n[[follow.control]]\naddress = \"{}\"\n{}",
        site.feeds[0],
        classes_only()
    );
    let follower = start_node(&site.folder, "f", &sections);
    until("it follows", || is_following(&follower));
    for number in 0..600 {
        put_function(&site.controls[0], &format!("x{number}"), 1);
    }
    until("it has no more room", || counter(&follower, "failed_writes") > 0);
    let (before, connections) = (counter(&follower, "failed_writes"), counter(&follower, "connections"));
    std::thread::sleep(Duration::from_secs(4));
    // Pauses of 0.5, 1 and 2 s leave room for four tries in 4 s.
    assert!(counter(&follower, "failed_writes") - before <= 4);
    assert!(counter(&follower, "connections") - connections <= 4);
    assert!(function_memory(&follower, "once").is_some(), "it keeps what it has");
}

#[test]
fn a_follower_with_functions_of_its_own_does_not_start() {
    let folder = Folder::new();
    let follow = format!("[follow]\n[[follow.control]]\naddress = \"{}\"\n", free_address());
    let file = folder.write("f.toml", &support::nodes::deploy("f", &format!("{follow}{CLASSES}")));
    let end = Command::new(env!("CARGO_BIN_EXE_corkbay")).arg("serve").arg(file).output().expect("runs");
    let errors = String::from_utf8_lossy(&end.stderr).into_owned();
    assert_eq!(end.status.code(), Some(2));
    assert!(errors.contains("function: ") && errors.trim_end().lines().count() == 1, "{errors}");
}

/// Guards a node that becomes a follower: what it had by itself would stay beside what its control nodes say, or hide it.
#[test]
fn a_follower_does_not_start_on_the_data_of_another_role() {
    let folder = Folder::new();
    drop(start_node(&folder, "f", CLASSES));
    let follow =
        format!("[follow]\n[[follow.control]]\naddress = \"{}\"\n{}", free_address(), classes_only());
    let file = folder.write("f.toml", &support::nodes::deploy("f", &follow));
    let end = Command::new(env!("CARGO_BIN_EXE_corkbay")).arg("serve").arg(file).output().expect("runs");
    let errors = String::from_utf8_lossy(&end.stderr).into_owned();
    assert_eq!(end.status.code(), Some(2));
    assert!(errors.contains("data_dir: ") && errors.trim_end().lines().count() == 1, "{errors}");
    let again = start_node(&folder, "f", CLASSES);
    assert!(function_memory(&again, "once").is_some(), "nothing was written");
}

/// Guards the feed against frames that are damaged, too long or out of turn: each ends its own connection only.
#[test]
fn bad_frames_end_their_connection_only() {
    let site = Site::new(1, 1);
    let connections = counter(&site.followers[0], "connections");
    let mut damaged = frame(r#"{"hello":{"node":"x","position":null}}"#);
    damaged[9] ^= 1;
    let long = frame(&format!("\"{}\"", "x".repeat(1 << 20)));
    for bytes in [damaged, long, vec![0xff; 64], frame("[1,2]"), frame("\"next_page\""), frame("{")] {
        let mut caller = TcpStream::connect(site.feeds[0]).expect("listens");
        // It may be closed before all of it is written.
        let _ = caller.write_all(&bytes);
        until_ended(caller);
    }
    put_function(&site.controls[0], "fresh", 7);
    site.in_force(Instant::now(), "fresh", Some(7.0));
    assert_eq!(counter(&site.followers[0], "connections"), connections);
}

/// Guards the wire of many followers that have nothing to be told.
#[test]
fn an_idle_follower_hardly_speaks() {
    let site = Site::new(1, 1);
    let follower = &site.followers[0];
    let bytes = || counter(follower, "received_bytes") + counter(follower, "sent_bytes");
    let window = Duration::from_secs(6);
    let (before, start) = (bytes(), Instant::now());
    std::thread::sleep(window);
    let exchanged = (bytes() - before) as f64;
    assert!(exchanged > 0.0, "no heartbeat in {window:?}");
    assert!(exchanged / start.elapsed().as_secs_f64() <= IDLE_BYTES_PER_S, "{exchanged} bytes in {window:?}");
    assert!(is_following(follower));
}
