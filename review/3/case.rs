//! An upgrade under load; clients leave while their requests wait for a load. See claim.txt.
#[path = "../common.rs"]
mod common;
use common::*;
use std::path::Path;

/// Clients with one open request each: half of them cancel it, half of them close their connection.
const CLIENTS: usize = 8;
/// What a load takes: the upper end of the site's mean of 0.5 to 0.95 s.
const LOAD_MS: f64 = 950.0;
/// When the clients leave, counted from their requests.
const LEAVE_AFTER_MS: u64 = 400;
/// An attempt that begins more than 0.1 s after its client has gone breaks the rule; limits grow by 50 ms on sockets.
const RULE_MS: f64 = 100.0 + 50.0;
/// The command of `run` in the deploy file.
const RUN: &str = "exec target/release/corkbay";

fn main() {
    main_of(|| {
        let folder_of_case = std::env::args().nth(1).expect("the folder of the case");
        let record = Record::create(&Path::new(&folder_of_case).join("record.txt"));
        play(&record)
    })
}

fn play(record: &std::sync::Arc<Record>) -> i32 {
    let folder = Folder::new("3");
    let shared = folder.0.join("tmp");
    std::fs::create_dir(&shared).expect("a folder");
    let fleet = Fleet::new(record, LOAD_MS, 100, false);
    let endpoints: Vec<String> = (0..3)
        .map(|number| endpoint(&format!("s-{number}"), fleet.host(&format!("s-{number}")), "hall-a", number, "up"))
        .collect();
    let (listen, channel) = (free_address(), quiet_channel());
    let start = |name: &str| {
        let admin = free_address();
        let text = platform_config(listen, admin, channel, &endpoints, 192, 1024);
        let config = folder.write(&format!("{name}.json"), &text);
        let environment = [
            ("PROXY_NAME", "n0".to_string()),
            ("PROXY_CONFIG", config.display().to_string()),
            ("PROXY_LISTEN", listen.to_string()),
            ("PROXY_ADMIN", admin.to_string()),
            ("TMPDIR", shared.display().to_string()),
        ];
        (Process::start(record, &folder, name, RUN, &environment), admin)
    };
    let (old, _) = start("old");
    if !wait_for(10_000, || is_alive(listen)) {
        stop("the invoker isn't ready within 10 s");
    }
    // Each client's connection carries one request that is served before the upgrade begins.
    let mut clients = Vec::new();
    for number in 0..CLIENTS {
        let Some(mut client) = Client::connect(listen) else { stop("a client can't connect") };
        let id = 0x1000 + number as u64;
        record.line(format!("client {number}: request {id:016x}"));
        client.send(&dispatch(1, "check", id, 0xaa, 4000, b"warm"));
        let reply = client.receive(6000);
        record.line(format!("client {number}: {reply:?}"));
        clients.push(client);
    }
    let new = trouble().then(|| {
        let (new, admin) = start("new");
        let ready = || matches!(http(admin, "GET", "/v1/readyz", &[], b"", 1000), Some((200, ..)));
        if !wait_for(6000, ready) {
            stop("the new process isn't ready within 6 s");
        }
        record.line("the new process says yes");
        new
    });
    // Each client asks for a model of its own that no host holds yet.
    let mut asked = Vec::new();
    for (number, client) in clients.iter_mut().enumerate() {
        let id = 0x2000 + number as u64;
        let (class, allow_ms) = if number % 4 < 2 { ("check", 4000) } else { ("post", 3000) };
        if !client.send(&dispatch(2, class, id, 0xb000 + number as u64, allow_ms, b"cold")) {
            stop("a request can't be written");
        }
        asked.push((id, record.line(format!("client {number}: request {id:016x} of class {class}"))));
    }
    pause(50);
    if new.is_some() {
        old.signal(SIGTERM);
    }
    // Under load requests keep coming: each client asks for the loaded model on the same connection.
    pause(100);
    for (number, client) in clients.iter_mut().enumerate() {
        let id = 0x3000 + number as u64;
        record.line(format!("client {number}: request {id:016x}"));
        client.send(&dispatch(3, "check", id, 0xaa, 4000, b"warm"));
    }
    pause(LEAVE_AFTER_MS - 150);
    let mut left = Vec::new();
    for (number, client) in clients.iter_mut().enumerate() {
        let at = if number % 2 == 0 {
            client.send(&cancel(2));
            record.line(format!("client {number}: cancelRequest for {:016x}", asked[number].0))
        } else {
            client.close();
            record.line(format!("client {number}: closes its connection, {:016x} open", asked[number].0))
        };
        left.push((asked[number].0, at));
    }
    pause(4000);
    let mut broken = 0;
    let arrivals = fleet.arrivals();
    for (id, left_at) in &left {
        let attempts: Vec<_> = arrivals.iter().filter(|arrival| arrival.id == *id).collect();
        let late = attempts.iter().filter(|arrival| arrival.at > left_at + RULE_MS).count();
        record.line(format!("{id:016x}: {} attempts, {late} begun after its client had gone", attempts.len()));
        broken += usize::from(late > 0);
    }
    let forwarded = left.iter().filter(|(id, _)| arrivals.iter().any(|arrival| arrival.id == *id)).count();
    record.line(format!("rule broken for {broken} of {CLIENTS} requests, {forwarded} of them had an attempt at all"));
    drop((old, new));
    if broken > 0 {
        BROKEN
    } else {
        HELD
    }
}
