//! A new version is started beside the old one on the same deploy file. See claim.txt.
#[path = "../common.rs"]
mod common;
use common::*;
use std::path::Path;
use std::sync::Arc;

/// Deferred calls, one each CALL_INTERVAL_MS.
const CALLS: usize = 100;
const CALL_INTERVAL_MS: u64 = 50;
/// When the second process is started, and what passes between its yes and SIGTERM to the old one.
const UPGRADE_AFTER_MS: u64 = 1000;
const SIGTERM_AFTER_YES_MS: u64 = 300;
/// SIGKILL comes no sooner than the longest deadline, taken as 3 s if longer, and 0.7 s after SIGTERM.
const SIGKILL_AFTER_MS: u64 = 3700;
/// Clients come back for their answers this long after the last call: beyond the give-up time of 3 s.
const COME_BACK_AFTER_MS: u64 = 5000;

fn main() {
    main_of(|| {
        let folder_of_case = std::env::args().nth(1).expect("the folder of the case");
        let record = Record::create(&Path::new(&folder_of_case).join("record.txt"));
        play(&record)
    })
}

/// The text that the process has written so far.
fn log_of(folder: &Folder, name: &str) -> String {
    std::fs::read_to_string(folder.0.join(format!("{name}.log"))).unwrap_or_default()
}

fn play(record: &Arc<Record>) -> i32 {
    let folder = Folder::new("1");
    let fleet = Fleet::new(record, 0.0, 120, true);
    let workers: Vec<_> = (0..3)
        .map(|number| (format!("worker-{number}"), fleet.host(&format!("worker-{number}")), "hall-a", number))
        .collect();
    let (listen, data) = (free_address(), folder.0.join("data"));
    let node = Node { name: "desk-1", listen, data_dir: &data, replication: None, workers: &workers };
    let file = folder.write("invoke.toml", &deploy_file(&node));
    let command = format!("exec target/release/corkbay serve {}", file.display());
    let start = |name: &str| {
        let process = Process::start(record, &folder, name, &command, &[]);
        if !wait_for(6000, || log_of(&folder, name).contains("invoke API on")) {
            stop(&format!("{name} isn't ready within 6 s: {}", log_of(&folder, name)));
        }
        record.line(format!("{name} says that it serves"));
        process
    };
    let mut old = start("old");
    let mut new = None;
    let (mut sigterm_at, mut ended) = (f64::INFINITY, false);
    let mut accepted = Vec::new();
    let started = record.now();
    for number in 0..CALLS {
        let next = started + (number as u64 * CALL_INTERVAL_MS) as f64;
        pause((next - record.now()).max(0.0) as u64);
        if trouble() && new.is_none() && record.now() - started > UPGRADE_AFTER_MS as f64 {
            new = Some(start("new"));
            sigterm_at = record.now() + SIGTERM_AFTER_YES_MS as f64;
        }
        if record.now() > sigterm_at {
            old.signal(SIGTERM);
            sigterm_at = f64::INFINITY;
            ended = true;
        }
        let (key, body) = (format!("key-{number}"), format!("loan {number}"));
        let path = hand_over(listen, &key, &body);
        match &path {
            Some(path) => record.line(format!("call {number} ({body}): 202 {path}")),
            None => record.line(format!("call {number} ({body}): not accepted")),
        };
        accepted.extend(path.map(|path| (number, body, path)));
    }
    if ended {
        if !wait_for(SIGKILL_AFTER_MS, || old.ended().is_some()) {
            old.kill_and_wait();
        }
        record.line(format!("the old process has ended: {:?}", old.ended()));
    }
    pause(COME_BACK_AFTER_MS);
    let ran = fleet.arrivals().len();
    let (mut lost, mut wrong) = (0, 0);
    for (number, body, path) in &accepted {
        let answer = http(listen, "GET", path, &[("Prefer", "wait=3")], b"", 6000);
        let (status, text) = match &answer {
            Some((status, _, text)) => (*status, String::from_utf8_lossy(text).to_string()),
            None => (0, String::new()),
        };
        record.line(format!("call {number}: {path}: {status} {text}"));
        match status {
            200 if text == format!("done: {body}") => {}
            200 => wrong += 1,
            // Failed, refused or too late: a final answer, and one that tells the truth or promises nothing.
            502..=504 => {}
            _ => lost += 1,
        }
    }
    record.line(format!(
        "{} calls accepted, {ran} attempts came to workers, {lost} calls have no answer, {wrong} have another's",
        accepted.len()
    ));
    drop((old, new));
    if accepted.len() < CALLS / 2 {
        stop("fewer than half of the calls were accepted");
    }
    if lost + wrong > 0 {
        BROKEN
    } else {
        HELD
    }
}
