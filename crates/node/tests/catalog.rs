//! Large catalogs: the started program with as many functions as a large deployment names.
mod support;

use serde_json::{json, Value};
use std::fmt::Write;
use std::io::Write as _;
use std::path::Path;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};
use support::{ask, free_address, Daemon, Folder};

const FUNCTIONS: usize = 25_000;
const WORKERS: usize = 1_000;
const MEMORY_MB: usize = 256;
/// Resident memory that changes of the same entries may add, MB.
const GROWTH_MB: usize = 16;
/// Longest wait on a loaded machine for a catalog to be taken up.
const TEST_TIMEOUT: Duration = Duration::from_secs(120);
const DATA: &str = "data_dir = \"data\"\n";

/// A deploy file with that many functions, the first of them with so many lanes.
fn deploy(settings: &str, functions: usize, workers: usize, first_lanes: u32) -> String {
    let mut text = format!("node = \"n\"\nlisten = \"127.0.0.1:0\"\nmemory_mb = {MEMORY_MB}\n{settings}");
    text.push_str("[[class]]\nname = \"check\"\naim_ms = 1500\ngive_up_ms = 8000\neffect = \"pure\"\n");
    for number in 0..functions {
        let lanes = if number == 0 { first_lanes } else { 1 };
        write!(text, "[[function]]\nname = \"{}\"\nclass = \"check\"\nlanes = {lanes}\n", name(number))
            .expect("text");
    }
    for number in 0..workers {
        let address = format!("127.0.{}.{}:9000", 1 + number / 250, 1 + number % 250);
        write!(text, "[[worker]]\nname = \"w{number}\"\naddress = \"{address}\"\n").expect("text");
    }
    text
}

fn name(number: usize) -> String {
    format!("function-{number:05}")
}

fn list(daemon: &Daemon, kind: &str) -> serde_json::Map<String, Value> {
    let response = ask(daemon.address, "GET", &format!("/v1/{kind}"), &[], b"");
    assert_eq!(response.status, 200, "{}", String::from_utf8_lossy(&response.body));
    serde_json::from_slice(&response.body).expect("an object")
}

fn lanes(daemon: &Daemon, number: usize) -> Value {
    list(daemon, "functions")[&name(number)]["lanes"].clone()
}

fn put(daemon: &Daemon, name: &str, lanes: u32) -> u16 {
    let body = json!({"class": "check", "lanes": lanes}).to_string();
    ask(daemon.address, "PUT", &format!("/v1/functions/{name}"), &[], body.as_bytes()).status
}

fn resident_mb(daemon: &Daemon) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{}/status", daemon.child.id())).expect("its status");
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).expect("resident memory");
    line.trim().trim_end_matches(" kB").parse::<usize>().expect("a number") / 1024
}

/// What the catalog's account holds.
fn catalog_bytes(daemon: &Daemon) -> u64 {
    let status: Value = ask(daemon.address, "GET", "/v1/status", &[], b"").json();
    let accounts = status["memory"]["accounts"].as_array().expect("accounts");
    let catalog = accounts.iter().find(|account| account["purpose"] == "catalog").expect("there");
    catalog["used_bytes"].as_u64().expect("bytes")
}

fn until(what: &str, holds: impl Fn() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < TEST_TIMEOUT, "waited in vain until {what}");
        std::thread::sleep(Duration::from_millis(100));
    }
}

fn assert_whole(daemon: &Daemon) {
    let functions = list(daemon, "functions");
    assert!(
        (0..FUNCTIONS).all(|number| functions.contains_key(&name(number))),
        "{} are there",
        functions.len()
    );
    assert_eq!(list(daemon, "workers").len(), WORKERS);
}

/// What is on the disk when a start ends, and a restart adds to it.
fn log_size(folder: &Folder) -> u64 {
    std::fs::metadata(folder.0.join("data/records.log")).map_or(0, |log| log.len())
}

#[test]
fn a_large_catalog_starts_takes_changes_in_flat_memory_and_restarts() {
    let folder = Folder::new();
    let path = folder.write("deploy.toml", &deploy(DATA, FUNCTIONS, WORKERS, 1));
    let daemon = Daemon::serve(&path);
    assert_whole(&daemon);
    assert_eq!(put(&daemon, "one-more", 1), 204);
    folder.write("deploy.toml", &deploy(DATA, FUNCTIONS, WORKERS, 2));
    daemon.signal("HUP");
    until("the file's change is taken up", || lanes(&daemon, 0) == 2);

    let change = |round: u32| assert_eq!(put(&daemon, &name(round as usize % 5), 3 + round), 204);
    (0..10).for_each(change);
    let before = resident_mb(&daemon);
    (10..60).for_each(change);
    let after = resident_mb(&daemon);
    assert!(after < MEMORY_MB && after <= before + GROWTH_MB, "{before} MB, then {after}");

    let written = log_size(&folder);
    drop(daemon);
    let daemon = Daemon::serve(&path);
    assert_whole(&daemon);
    assert!(list(&daemon, "functions").contains_key("one-more"));
    assert_eq!(lanes(&daemon, 4), 62, "changes by API outlast the restart");
    assert!(log_size(&folder) <= written, "a restart writes nothing that stands already");
}

/// Starts the program and kills it as soon as its log has that size; whether that was before it listened.
fn is_killed_during_start(folder: &Folder, path: &Path, least: u64) -> bool {
    let mut command = Command::new(env!("CARGO_BIN_EXE_corkbay"));
    command.arg("serve").arg(path).stdout(Stdio::piped()).stderr(Stdio::null());
    let mut child = command.spawn().expect("starts");
    let start = Instant::now();
    while log_size(folder) < least {
        assert!(start.elapsed() < TEST_TIMEOUT, "nothing is written");
        std::thread::sleep(Duration::from_millis(1));
    }
    child.kill().expect("killed");
    child.wait_with_output().expect("ended").stdout.is_empty()
}

/// The start is cut short at several lengths of the log; what was written by then is no hindrance.
#[test]
fn a_start_that_is_killed_is_taken_up_by_the_next() {
    let folder = Folder::new();
    let path = folder.write("deploy.toml", &deploy(DATA, FUNCTIONS, WORKERS, 1));
    let start = Instant::now();
    for least in [1, 500_000, 1_500_000] {
        // On a loaded machine the kill may come too late, and is tried again.
        while !is_killed_during_start(&folder, &path, least) {
            assert!(start.elapsed() < TEST_TIMEOUT, "every start was done before it was killed");
            std::fs::remove_dir_all(folder.0.join("data")).expect("removed");
        }
    }
    assert_whole(&Daemon::serve(&path));
}

/// A record as earlier versions wrote it.
fn old_record(key: &str, version: u64, node: &str, value: &Value) -> Vec<u8> {
    let record =
        json!({"key": key, "final": false, "version": version, "node": node, "expires": 0.0, "value": value});
    let text = record.to_string();
    let length = (text.len() as u32).to_be_bytes();
    [&length, &crc32fast::hash(text.as_bytes()).to_be_bytes(), text.as_bytes()].concat()
}

fn function(lanes: u32) -> Value {
    json!({"class": "check", "cost_ms": null, "lanes": lanes, "memory_mb": 0.0, "tenant": ""})
}

/// The log of an earlier version: function 0 was changed by API after the file had named it, and the records of
/// another node's file are there.
fn write_old_log(folder: &Folder, functions: usize) {
    let data = folder.0.join("data");
    std::fs::create_dir_all(&data).expect("folder");
    let file = std::fs::File::create(data.join("records.log")).expect("created");
    let mut log = std::io::BufWriter::new(file);
    for number in 0..functions {
        let key = format!("function/{}", name(number));
        log.write_all(&old_record(&key, 1, "n", &function(1))).expect("written");
        for node in ["n", "other"] {
            let seed = format!("seed/{node}/{key}");
            log.write_all(&old_record(&seed, 1, node, &function(1))).expect("written");
        }
    }
    let key = format!("function/{}", name(0));
    log.write_all(&old_record(&key, 2, "n", &function(9))).expect("written");
}

#[test]
fn the_data_of_an_earlier_version_is_read_and_changes_by_api_stand() {
    let functions = 1000;
    let folder = Folder::new();
    write_old_log(&folder, functions);
    let path = folder.write("deploy.toml", &deploy(DATA, functions, 0, 1));
    for start in 1..=3 {
        let daemon = Daemon::serve(&path);
        assert_eq!(list(&daemon, "functions").len(), functions);
        assert_eq!(lanes(&daemon, 0), 9, "start {start}: what was changed by API is not overwritten");
    }
    let daemon = Daemon::serve(&path);
    folder.write("deploy.toml", &deploy(DATA, functions, 0, 2));
    daemon.signal("HUP");
    until("the file's change is taken up", || lanes(&daemon, 0) == 2);
    let fresh_folder = Folder::new();
    let fresh = Daemon::serve(&fresh_folder.write("deploy.toml", &deploy(DATA, functions, 0, 2)));
    let expected = catalog_bytes(&fresh);
    until("the earlier version's records are gone", || catalog_bytes(&daemon) <= expected);
}

#[test]
fn a_catalog_without_room_is_named_by_its_key() {
    let error = |settings: &str| {
        let folder = Folder::new();
        let path = folder.write("deploy.toml", &deploy(settings, FUNCTIONS, 0, 1));
        let text = std::fs::read_to_string(&path).expect("there");
        let small = text.replace(&format!("memory_mb = {MEMORY_MB}"), "memory_mb = 24");
        std::fs::write(&path, small).expect("written");
        let mut command = Command::new(env!("CARGO_BIN_EXE_corkbay"));
        let end = command.arg("serve").arg(&path).output().expect("runs");
        assert_eq!(end.status.code(), Some(2));
        String::from_utf8(end.stderr).expect("text")
    };
    for (settings, key) in [("", "memory_mb"), ("memory.shares.catalog = 5.0\n", "memory.shares.catalog")] {
        let line = error(settings);
        assert!(line.contains(&format!("{key}:")) && line.contains("catalog needs"), "{line}");
        assert_eq!(line.trim_end().lines().count(), 1, "{line}");
    }
}

/// Guards followers of a large catalog, whose own files name no functions: with the memory that its control node has, a
/// follower has room for all that it is sent.
#[test]
fn a_follower_with_the_usual_shares_has_room_for_a_large_catalog() {
    let (folder, feed) = (Folder::new(), free_address());
    let control = format!("{DATA}[feed]\nlisten = \"{feed}\"\n");
    let _control = Daemon::serve(&folder.write("control.toml", &deploy(&control, FUNCTIONS, WORKERS, 1)));
    let follow = format!("data_dir = \"followed\"\n[follow]\n[[follow.control]]\naddress = \"{feed}\"\n");
    let follower = Daemon::serve(&folder.write("follower.toml", &deploy(&follow, 0, 0, 1)));
    until("the follower has all functions", || list(&follower, "functions").len() == FUNCTIONS);
    until("the follower has all workers", || list(&follower, "workers").len() == WORKERS);
}
