//! Clients that ask once and hold their connections, at the smallest limits. See claim.txt.
#[path = "../common.rs"]
mod common;
use common::*;
use std::path::Path;
use std::sync::{Arc, Mutex};

/// The smallest limits of the pages: 32 MB and 256 descriptors.
const MEMORY_MB: u32 = 32;
const SOCKETS: u32 = 256;
/// Together a third of the descriptors, the most that clients hold.
const HOLDERS: usize = 70;
const USUAL: usize = 15;
/// Holders ask at 83 requests a second; the page has up to 170 for each invoker.
const HOLDER_INTERVAL_MS: u64 = 12;
/// The longest body of the protocol.
const BODY_BYTES: usize = 16 << 10;
/// How long a client waits: the class's give-up time.
const ALLOW_MS: u32 = 4000;
/// A final answer counts until half a second after the request's time.
const SLACK_MS: u64 = 500;
/// The command of `run` in the deploy file.
const RUN: &str = "exec target/release/corkbay";

fn main() {
    main_of(|| {
        let folder_of_case = std::env::args().nth(1).expect("the folder of the case");
        let record = Record::create(&Path::new(&folder_of_case).join("record.txt"));
        play(&record)
    })
}

/// What became of a request.
#[derive(Clone, Debug, PartialEq)]
enum End {
    Answered(Reply),
    /// The connection ended, or nothing came in time, after so many milliseconds.
    Nothing(u64),
}

/// Sends a request and waits for its answer.
fn ask(record: &Record, client: &mut Client, who: &str, seqid: i32, id: u64, body: &[u8]) -> End {
    let started = record.line(format!("{who}: request {id:016x}, {} bytes", body.len()));
    client.send(&dispatch(seqid, "check", id, 0xaa + id % 3, ALLOW_MS, body));
    let reply = client.receive(u64::from(ALLOW_MS) + SLACK_MS);
    let took = (record.now() - started) as u64;
    match reply {
        Some((answered, reply)) if answered == seqid => {
            let word = match &reply {
                Reply::Served(body) => format!("served, {} bytes", body.len()),
                other => format!("{other:?}"),
            };
            record.line(format!("{who}: {id:016x} {word} after {took} ms"));
            End::Answered(reply)
        }
        _ => {
            record.line(format!("{who}: {id:016x} has no answer, the connection ended after {took} ms"));
            End::Nothing(took)
        }
    }
}

fn play(record: &Arc<Record>) -> i32 {
    let folder = Folder::new("1");
    let shared = folder.0.join("tmp");
    std::fs::create_dir(&shared).expect("a folder");
    let fleet = Fleet::new(record, 0.0, 20, true);
    let endpoints: Vec<String> = (0..4)
        .map(|number| endpoint(&format!("s-{number}"), fleet.host(&format!("s-{number}")), "hall-a", number, "up"))
        .collect();
    let (listen, admin, channel) = (free_address(), free_address(), quiet_channel());
    let text = platform_config(listen, admin, channel, &endpoints, MEMORY_MB, SOCKETS);
    let config = folder.write("config.json", &text);
    let environment = [
        ("PROXY_NAME", "n0".to_string()),
        ("PROXY_CONFIG", config.display().to_string()),
        ("PROXY_LISTEN", listen.to_string()),
        ("PROXY_ADMIN", admin.to_string()),
        ("TMPDIR", shared.display().to_string()),
    ];
    let mut invoker = Process::start(record, &folder, "invoker", RUN, &environment);
    if !wait_for(10_000, || is_alive(listen)) {
        stop("the invoker isn't ready within 10 s");
    }
    // The usual clients: a connection each, on which a small request is answered.
    let mut usual = Vec::new();
    for number in 0..USUAL {
        let Some(mut client) = Client::connect(listen) else { stop("a client can't connect") };
        let end = ask(record, &mut client, &format!("usual {number}"), 1, 0x1000 + number as u64, b"small");
        if !matches!(end, End::Answered(_)) {
            stop("a small request has no answer at the start");
        }
        usual.push(client);
    }
    // Those that ask once, with a long body.
    let body = Arc::new(vec![b'x'; BODY_BYTES]);
    let held: Arc<Mutex<Vec<Client>>> = Arc::default();
    let holders: Vec<_> = (0..HOLDERS)
        .map(|number| {
            let (record, body, held) = (record.clone(), body.clone(), held.clone());
            std::thread::spawn(move || {
                pause(number as u64 * HOLDER_INTERVAL_MS);
                let Some(mut client) = Client::connect(listen) else { return End::Nothing(0) };
                let end = ask(&record, &mut client, &format!("once {number}"), 1, 0x2000 + number as u64, &body);
                if trouble() {
                    held.lock().unwrap().push(client);
                } else {
                    client.close();
                }
                end
            })
        })
        .collect();
    let ends: Vec<End> = holders.into_iter().map(|holder| holder.join().expect("a client")).collect();
    let answered = ends.iter().filter(|end| matches!(end, End::Answered(_))).count();
    record.line(format!("{answered} of {HOLDERS} clients that ask once were answered"));
    pause(300);
    // The usual clients' next requests, with a long body each.
    let requests: Vec<_> = usual
        .into_iter()
        .enumerate()
        .map(|(number, mut client)| {
            let (record, body) = (record.clone(), body.clone());
            std::thread::spawn(move || {
                pause(number as u64 * HOLDER_INTERVAL_MS);
                let end = ask(&record, &mut client, &format!("usual {number}"), 2, 0x3000 + number as u64, &body);
                // The connection stays open: a client closes it after 4 s without a request.
                (end, client)
            })
        })
        .collect();
    let (ends, usual): (Vec<End>, Vec<Client>) =
        requests.into_iter().map(|request| request.join().expect("a client")).unzip();
    let lost = ends.iter().filter(|end| matches!(end, End::Nothing(_))).count();
    let ended = invoker.ended();
    record.line(format!("{lost} of {USUAL} requests of usual clients have no answer; the invoker's end: {ended:?}"));
    held.lock().unwrap().clear();
    drop(usual);
    drop(invoker);
    if lost > 0 || ended.is_some() {
        BROKEN
    } else {
        HELD
    }
}
