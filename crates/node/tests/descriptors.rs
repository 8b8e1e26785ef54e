//! Clients that hold every place or read no answer leave the descriptors that the program needs for itself.
mod support;

use serde_json::json;
use socket2::{Domain, Socket, Type};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};
use support::platform::{check, dispatch, fields, nodes, Channel, Client, Fixture, Reply};
use support::workers::Behaviour;
use support::{free_address, until, Daemon};

/// Descriptors of a program whose clients hold every place, and the places of clients among them.
const DESCRIPTORS: u32 = 64;
const PLACES: usize = 12;
/// A channel that is back is called within its longest pause, and a call takes up to 0.3 s.
const HEARD_WITHIN: Duration = Duration::from_millis(1500);

/// Clients that hold every place of a program.
#[derive(Clone, Copy, Debug)]
enum Crowd {
    /// They connect and say nothing.
    Silent,
    /// They were answered and stay.
    Idle,
    /// They wait for their answers.
    Waiting,
}

impl Crowd {
    /// As many as hold all places, and as many again that wait for one.
    fn gather(self, address: SocketAddr) -> Vec<Client> {
        let join = |number: usize| {
            let mut client = Client::new(address);
            if !matches!(self, Crowd::Silent) {
                client.send(&check(1, 0x100 + number as u64));
            }
            if matches!(self, Crowd::Idle) {
                assert!(matches!(client.receive(), Some((1, Reply::Answer(_)))), "client {number}");
            }
            client
        };
        let mut crowd: Vec<Client> = (0..PLACES).map(join).collect();
        crowd.extend((0..PLACES).map(|_| Client::new(address)));
        crowd
    }
}

/// Guards the descriptors that the program needs for itself: whoever holds the places of clients, the command channel is
/// heard as soon as it is back, and a worker that it names is connected to and serves.
#[test]
fn clients_that_hold_every_place_keep_nobody_from_discovery_and_workers() {
    for crowd in [Crowd::Silent, Crowd::Idle, Crowd::Waiting] {
        let holds = matches!(crowd, Crowd::Waiting);
        let fixture = Fixture::with_descriptor_limit(
            &[if holds { Behaviour::Hold } else { Behaviour::Serve }],
            3,
            DESCRIPTORS,
        );
        let (discovery, mut config) = (free_address(), fixture.config.clone());
        config["channel"] = json!(discovery.to_string());
        config["admin"] = json!(free_address().to_string());
        let path = fixture.folder.write("deaf.json", &config.to_string());
        let daemon = Daemon::platform_with_descriptor_limit(&path, free_address(), DESCRIPTORS);
        let mut clients = crowd.gather(daemon.address);
        if holds {
            until("all are taken", || {
                daemon.signal("USR1");
                daemon.errors().contains(&format!("taken={PLACES} "))
            });
        }
        let channel = Channel::at(discovery);
        let back = Instant::now();
        assert_eq!(
            channel.calls.recv_timeout(HEARD_WITHIN).as_deref(),
            Ok("1"),
            "{crowd:?}: {}",
            daemon.errors()
        );
        println!("{crowd:?}: heard after {:?}, {} descriptors", back.elapsed(), descriptors(&daemon));
        let newcomer = support::workers::Fleet::new(&[Behaviour::Serve]);
        let data = nodes(2, true, &[("new", newcomer.frames("new"), "up")]);
        channel.events.send(format!("id: 2\ndata: {data}\n\n")).expect("channel");
        std::thread::sleep(Duration::from_millis(300));
        fixture.fleet.release();
        let mut asks = clients.swap_remove(0);
        if holds {
            assert!(matches!(asks.receive(), Some((1, Reply::Answer(_)))), "{crowd:?}");
        } else {
            asks = Client::new(daemon.address);
        }
        asks.send(&check(2, 0xa2));
        // What crosses the end of an idle connection, which gave way to a newcomer, is asked once more.
        let answer = asks.receive().or_else(|| {
            asks = Client::new(daemon.address);
            asks.send(&check(2, 0xa2));
            asks.receive()
        });
        assert!(matches!(answer, Some((2, Reply::Answer(_)))), "{crowd:?}: {}", daemon.errors());
        assert_eq!(newcomer.sent().len(), 1, "{crowd:?}");
        assert!(!daemon.errors().contains("Too many open files"), "{crowd:?}: {}", daemon.errors());
    }
}

/// Guards the same descriptors against clients that ask for long answers and read none: each held a second one, on which
/// the writer of its answer waited.
#[test]
fn clients_that_read_none_of_their_answers_keep_nobody_from_discovery() {
    const DESCRIPTORS: u32 = 104;
    const PLACES: u64 = 32;
    // Together more than the kernel holds for a connection.
    const ANSWERS: u64 = 24;
    let fixture = Fixture::with_descriptor_limit(&[Behaviour::LongAnswer], 36, DESCRIPTORS);
    let (discovery, mut config) = (free_address(), fixture.config.clone());
    config["channel"] = json!(discovery.to_string());
    config["admin"] = json!(free_address().to_string());
    let path = fixture.folder.write("deaf.json", &config.to_string());
    let daemon = Daemon::platform_with_descriptor_limit(&path, free_address(), DESCRIPTORS);
    let join = |_| {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        socket.set_recv_buffer_size(4096).expect("set");
        socket.connect(&daemon.address.into()).expect("connects");
        TcpStream::from(socket)
    };
    let mut clients: Vec<TcpStream> = (0..PLACES).map(join).collect();
    let mut most = 0;
    for answer in 1..=ANSWERS {
        for (number, client) in clients.iter_mut().enumerate() {
            let number = number as u64 * ANSWERS + answer;
            let (id, model) = (format!("{number:016x}"), format!("{:016x}", 0x1000 + number));
            let mut fields = fields("check", &id, "8000");
            fields.iter_mut().filter(|field| field.0 == "lookup").for_each(|field| field.1 = &model);
            // It may have been ended for not reading.
            let _ = client.write_all(&dispatch(answer as i32, &fields, b"x"));
            std::thread::sleep(Duration::from_millis(1));
        }
        most = most.max(descriptors(&daemon));
    }
    let channel = Channel::at(discovery);
    let heard = channel.calls.recv_timeout(HEARD_WITHIN);
    println!("{most} descriptors at most, {} requests came to workers", fixture.fleet.sent().len());
    assert_eq!(heard.as_deref(), Ok("1"), "{}", daemon.errors());
    assert!(!daemon.errors().contains("Too many open files"), "{}", daemon.errors());
}

/// Descriptors that the program holds.
fn descriptors(daemon: &Daemon) -> usize {
    std::fs::read_dir(format!("/proc/{}/fd", daemon.child.id())).expect("Linux").count()
}
