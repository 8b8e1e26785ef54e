//! Steps the wall clock of a running daemon, while its monotonic clock is unaffected.
//!
//! Guards against durations measured on the wall clock (incident of 2 December 2026). The deduplication window was the
//! difference of two Unix times, so that setting the clock back by an hour extended it by an hour: a worker executes a
//! keyed call, the answer is lost, the clock is set back, the connection fails after the window, and the call is sent
//! again although its class no longer allows it. With a window of 0.7 s and the clock set back by 2 s the worker got the
//! call twice, 1.2 s apart; with a steady clock once. For the same reason invokers in a staging replay refused all calls
//! 1 ms after arrival for seconds (`refused +0.001`): the dispatcher held a time from before the step.
mod support;

use serde_json::json;
use std::io::BufReader;
use std::time::Duration;
use support::faults::Faults;
use support::leaving::{FailureMode, HoldingWorker};
use support::platform::{dispatch, fields, Client, Fixture, Reply};
use support::workers::{Behaviour, Fleet};
use support::{ask, receive, start, until, Daemon, Folder, CLASSES};

/// Steps of the wall clock, in seconds.
const STEPS: [f64; 6] = [2.0, -2.0, 30.0, -30.0, 3600.0, -3600.0];
/// Deadline of the calls in milliseconds; no call of these tests takes that long.
const ALLOW: &str = "8000";
const LIMITS: (u32, u32) = (1024, 192);

/// A daemon with a Thrift front and a deduplication window of `window` milliseconds for the keyed class.
fn platform(faults: &Faults, script: &[Behaviour], hosts: usize, window: f64) -> Fixture {
    Fixture::with_environment(script, hosts, LIMITS, &faults.environment(), |settings| {
        settings["classes"][1]["dedupWindowMs"] = json!(window);
        settings["classes"][0]["giveUpMs"] = json!(8000.0);
        settings["classes"][1]["giveUpMs"] = json!(8000.0);
    })
}

/// Puts a call of the keyed class in flight at a worker that does not answer.
fn keyed_call_in_flight(fixture: &Fixture) -> (HoldingWorker, Client) {
    let worker = HoldingWorker::new();
    fixture.channel.tell(2, "h0", worker.address, "up");
    let mut client = fixture.client();
    client.send(&dispatch(1, &fields("post", "00000000000000a1", ALLOW), b"x"));
    until("the first attempt is in flight", || worker.bodies().len() == 1);
    (worker, client)
}

#[test]
fn a_keyed_call_is_not_repeated_after_its_window() {
    for step in STEPS {
        let faults = Faults::new();
        let fixture = platform(&faults, &[Behaviour::Serve], 0, 700.0);
        let (worker, mut client) = keyed_call_in_flight(&fixture);
        faults.step_clock(step);
        std::thread::sleep(Duration::from_millis(1200));
        worker.fail(FailureMode::Disconnect);
        assert_eq!(client.receive(), Some((1, Reply::Crashed)), "step {step}: it may have run");
        assert_eq!(worker.bodies().len(), 1, "step {step}: the window is over");
        until("the reason is logged", || {
            let log = fixture.daemon.errors();
            log.lines().any(|line| line.contains("00000000000000a1") && line.contains("may_not_repeat"))
        });
    }
}

#[test]
fn a_keyed_call_is_repeated_within_its_window() {
    for step in STEPS {
        let faults = Faults::new();
        let fixture = platform(&faults, &[Behaviour::Serve], 0, 4000.0);
        let (worker, mut client) = keyed_call_in_flight(&fixture);
        fixture.channel.tell(3, "h1", fixture.fleet.frames("h1"), "up");
        faults.step_clock(step);
        std::thread::sleep(Duration::from_millis(200));
        worker.fail(FailureMode::Disconnect);
        let reply = client.receive();
        assert!(matches!(reply, Some((1, Reply::Answer(_)))), "step {step}: {reply:?}");
    }
}

/// Calls in flight, calls that wait for a worker and calls that arrive after the step end neither early nor late.
#[test]
fn calls_outlast_a_step_of_the_clock() {
    for step in STEPS {
        let (faults, folder) = (Faults::new(), Folder::new());
        let fleet = Fleet::new(&[Behaviour::Hold]);
        let worker = format!("[[worker]]\nname = \"w1\"\naddress = \"{}\"\n", fleet.http("w1"));
        let deploy =
            format!("node = \"n\"\nlisten = \"127.0.0.1:0\"\ndata_dir = \"data\"\n{CLASSES}{worker}");
        let daemon = Daemon::serve_with(&folder.write("d.toml", &deploy), &faults.environment());
        let call = |number: usize, mode: &str| {
            let class = if number.is_multiple_of(2) { "check" } else { "post" };
            let key = format!("k{number}");
            let headers = [("Idempotency-Key", key.as_str()), ("Prefer", mode)];
            let headers = &headers[..if mode.is_empty() { 1 } else { 2 }];
            start(daemon.address, "POST", &format!("/v1/functions/{class}/invocations"), headers, b"x")
        };
        let held: Vec<_> = (0..12).map(|number| call(number, "")).collect();
        let deferred: Vec<_> = (12..24)
            .map(|number| receive(&mut BufReader::new(call(number, "respond-async"))))
            .map(|accepted| accepted.header("location").expect("a place").to_string())
            .collect();
        until("some calls are in flight", || !fleet.sent().is_empty());
        std::thread::sleep(Duration::from_millis(150));
        faults.step_clock(step);
        std::thread::sleep(Duration::from_millis(250));
        fleet.release();
        for socket in held {
            let response = receive(&mut BufReader::new(socket));
            assert_eq!(response.status, 200, "step {step}: {}", String::from_utf8_lossy(&response.body));
        }
        for place in deferred {
            let headers = [("Prefer", "wait=10")];
            assert_eq!(ask(daemon.address, "GET", &place, &headers, b"").status, 200, "step {step}: {place}");
        }
        let next = receive(&mut BufReader::new(call(24, "")));
        assert_eq!(next.status, 200, "step {step}: the next call");
    }
}

/// The deploy file of a node with one worker, whose data folder is used by several processes.
fn persistent_deploy(worker: std::net::SocketAddr) -> String {
    let worker = format!("[[worker]]\nname = \"w1\"\naddress = \"{worker}\"\n");
    format!("node = \"n\"\nlisten = \"127.0.0.1:0\"\ndata_dir = \"data\"\n{CLASSES}{worker}")
}

/// Starts a deferred call of a class and returns its location.
fn start_deferred(daemon: &Daemon, class: &str, key: &str) -> String {
    let headers = [("Idempotency-Key", key), ("Prefer", "respond-async")];
    let path = format!("/v1/functions/{class}/invocations");
    let response = ask(daemon.address, "POST", &path, &headers, b"x");
    assert_eq!(response.status, 202, "{}", String::from_utf8_lossy(&response.body));
    response.header("location").expect("a place").to_string()
}

/// The wall clock is stepped while no process runs: accepted calls get a final answer, calls that may not be repeated are not
/// executed again, and a key is kept for its window.
#[test]
fn stored_calls_and_keys_survive_a_clock_step_during_a_restart() {
    for step in STEPS {
        let (faults, folder) = (Faults::new(), Folder::new());
        let fleet = Fleet::new(&[Behaviour::Serve, Behaviour::Hold]);
        let path = folder.write("d.toml", &persistent_deploy(fleet.http("w1")));
        let mut daemon = Daemon::serve_with(&path, &faults.environment());
        let done = start_deferred(&daemon, "post", "done");
        let wait = [("Prefer", "wait=10")];
        assert_eq!(ask(daemon.address, "GET", &done, &wait, b"").status, 200, "step {step}");
        let open = start_deferred(&daemon, "post", "open");
        let once = start_deferred(&daemon, "once", "once");
        let check = start_deferred(&daemon, "check", "check");
        until("all requests are in flight", || fleet.sent().len() == 4);
        daemon.signal("KILL");
        daemon.exit_code();
        drop(daemon);
        faults.step_clock(step);
        fleet.release();
        let daemon = Daemon::serve_with(&path, &faults.environment());
        assert_eq!(ask(daemon.address, "GET", &done, &[], b"").status, 200, "step {step}: an end is kept");
        for place in [&open, &once] {
            let response = ask(daemon.address, "GET", place, &wait, b"");
            assert_eq!(response.status, 502, "step {step}: it may have run, and is not run again");
        }
        let response = ask(daemon.address, "GET", &check, &wait, b"");
        assert_eq!(response.status, 200, "step {step}: its class may be repeated");
        for key in ["done", "open"] {
            start_deferred(&daemon, "post", key);
        }
        std::thread::sleep(Duration::from_millis(100));
        let count = |body: &[u8]| fleet.sent().iter().filter(|sent| sent.body == body).count();
        assert_eq!(count(b"x"), 5, "step {step}: four calls, and the one that may be repeated");
    }
}

/// Durations are measured on the monotonic clock, so the wall clock may only be read in one file.
#[test]
fn the_wall_clock_is_read_in_one_file() {
    let crates = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).parent().expect("the packages");
    let mut folders: Vec<_> = std::fs::read_dir(crates)
        .expect("the packages")
        .map(|entry| entry.expect("an entry").path().join("src"))
        // The rig simulates the clocks of other machines, the shim that of this one.
        .filter(|path| !["rig/src", "shim/src"].iter().any(|other| path.ends_with(other)))
        .collect();
    folders.push(crates.parent().expect("the root").join("src"));
    let (mut reading, mut files) = (Vec::new(), 0);
    while let Some(folder) = folders.pop() {
        for entry in std::fs::read_dir(&folder).into_iter().flatten() {
            let path = entry.expect("an entry").path();
            if path.is_dir() {
                folders.push(path);
            } else if path.extension().is_some_and(|extension| extension == "rs") {
                files += 1;
                let text = std::fs::read_to_string(&path).expect("text");
                if ["SystemTime", "ClockId::Realtime", "UNIX_EPOCH"].iter().any(|clock| text.contains(clock))
                {
                    reading.push(path);
                }
            }
        }
    }
    assert!(files > 100, "{files} files");
    assert_eq!(reading, [crates.join("node/src/clock.rs")]);
}
