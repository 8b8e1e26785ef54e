//! A replica is killed while deferred calls are open and returns with an empty disk. See claim.txt.
#[path = "../common.rs"]
mod common;
use common::*;
use std::path::Path;
use std::sync::Arc;

const CALLS: usize = 4;
/// How long the killed node stays away: the page has 1 to 7.9 s.
const AWAY_MS: u64 = 2000;
/// How long an answer is waited for after the node's return: five times the class's give-up time of 3 s.
const WAIT_MS: u64 = 15_000;

fn main() {
    main_of(|| {
        let folder_of_case = std::env::args().nth(1).expect("the folder of the case");
        let record = Record::create(&Path::new(&folder_of_case).join("record.txt"));
        play(&record)
    })
}

fn play(record: &Arc<Record>) -> i32 {
    let folder = Folder::new("2");
    let fleet = Fleet::new(record, 0.0, 700, true);
    let workers: Vec<_> = (0..3)
        .map(|number| (format!("worker-{number}"), fleet.host(&format!("worker-{number}")), "hall-a", number))
        .collect();
    let names = ["desk-1", "desk-2", "desk-3"];
    let listens: Vec<_> = names.iter().map(|_| free_address()).collect();
    let meshes: Vec<_> = names.iter().map(|_| free_address()).collect();
    let start = |number: usize, disk: &str| {
        let peers = (0..3).filter(|other| *other != number).map(|other| meshes[other]).collect();
        let data = folder.0.join(disk);
        let node = Node {
            name: names[number],
            listen: listens[number],
            data_dir: &data,
            replication: Some((meshes[number], peers)),
            workers: &workers,
        };
        let file = folder.write(&format!("{disk}.toml"), &deploy_file(&node));
        let command = format!("exec target/release/corkbay serve {}", file.display());
        let process = Process::start(record, &folder, disk, &command, &[]);
        let serves = || matches!(http(listens[number], "GET", "/v1/status", &[], b"", 1000), Some((200, ..)));
        if !wait_for(10_000, serves) {
            stop(&format!("{disk} doesn't serve within 10 s"));
        }
        process
    };
    let mut first = start(0, "desk-1-disk-1");
    let others = [start(1, "desk-2-disk-1"), start(2, "desk-3-disk-1")];
    pause(1500);
    let mut accepted = Vec::new();
    for number in 0..CALLS {
        let body = format!("loan {number}");
        let path = hand_over(listens[0], &format!("key-{number}"), &body);
        record.line(format!("call {number} ({body}) at desk-1: {path:?}"));
        accepted.extend(path.map(|path| (number, body, path)));
    }
    if accepted.len() < CALLS {
        stop("a call was not accepted");
    }
    let ask = |node: usize, path: &str| match http(listens[node], "GET", path, &[], b"", 2000) {
        Some((status, _, text)) => (status, String::from_utf8_lossy(&text).to_string()),
        None => (0, String::new()),
    };
    // The records are pushed to the other nodes at once; the disk is lost after that.
    if !wait_for(600, || accepted.iter().all(|(_, _, path)| ask(1, path).0 != 404 && ask(2, path).0 != 404)) {
        stop("the other nodes don't know the calls within 0.6 s");
    }
    record.line("desk-2 and desk-3 know all calls");
    if trouble() {
        first.kill_and_wait();
        pause(AWAY_MS);
        first = start(0, "desk-1-disk-2");
        record.line("desk-1 serves again, with an empty disk");
    }
    let end = record.now() + WAIT_MS as f64;
    let mut missing = Vec::new();
    for (number, body, path) in &accepted {
        loop {
            let answers: Vec<_> = (0..3).map(|node| ask(node, path)).collect();
            let is_final = |status: u16| status == 200 || (502..=504).contains(&status) || status == 410;
            let at_last = record.now() > end;
            if at_last || answers.iter().any(|(status, _)| is_final(*status)) {
                record.line(format!("call {number} ({body}): {answers:?}"));
                if !answers.iter().any(|(status, _)| is_final(*status)) {
                    missing.push(*number);
                }
                break;
            }
            pause(200);
        }
    }
    record.line(format!("{CALLS} calls accepted, {} without a final answer at any node", missing.len()));
    drop((first, others));
    if missing.is_empty() {
        HELD
    } else {
        BROKEN
    }
}
