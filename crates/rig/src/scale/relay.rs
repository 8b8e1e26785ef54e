//! A TCP relay on loopback that counts the bytes that two daemons exchange.
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::Arc;

const BUFFER_BYTES: usize = 16 << 10;
const STACK_BYTES: usize = 128 << 10;

/// Traffic counters of a relay.
#[derive(Debug, Default)]
pub struct TrafficCounters {
    connections: AtomicU64,
    bytes: AtomicU64,
}

/// Handle of a relay; the relay runs until this process ends.
#[derive(Clone, Debug)]
pub struct Relay {
    /// Listening address.
    pub address: SocketAddr,
    counters: Arc<TrafficCounters>,
}

impl Relay {
    /// Starts a relay to a loopback port; nothing needs to listen on that port yet.
    pub fn start(target: u16) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let address = listener.local_addr()?;
        let counters = Arc::new(TrafficCounters::default());
        let counts = counters.clone();
        std::thread::Builder::new().stack_size(STACK_BYTES).spawn(move || {
            for caller in listener.incoming().map_while(Result::ok) {
                // If the target can't be reached, the caller's connection is closed.
                let _ = relay(caller, target, &counts);
            }
        })?;
        Ok(Relay { address, counters })
    }

    /// Number of connections relayed so far.
    pub fn connections(&self) -> u64 {
        self.counters.connections.load(Relaxed)
    }

    /// Payload bytes relayed so far, in both directions, without network headers.
    pub fn bytes(&self) -> u64 {
        self.counters.bytes.load(Relaxed)
    }
}

fn relay(caller: TcpStream, target: u16, counters: &Arc<TrafficCounters>) -> io::Result<()> {
    let callee = TcpStream::connect((Ipv4Addr::LOCALHOST, target))?;
    counters.connections.fetch_add(1, Relaxed);
    for (from, to) in [(caller.try_clone()?, callee.try_clone()?), (callee, caller)] {
        let counters = counters.clone();
        std::thread::Builder::new().stack_size(STACK_BYTES).spawn(move || copy(from, to, &counters))?;
    }
    Ok(())
}

/// Copies bytes until the source ends or either side fails.
fn copy(mut from: TcpStream, mut to: TcpStream, counters: &TrafficCounters) -> io::Result<()> {
    let mut chunk = vec![0; BUFFER_BYTES];
    let end = loop {
        match from.read(&mut chunk) {
            Ok(0) => break Ok(()),
            Ok(size) => {
                counters.bytes.fetch_add(size as u64, Relaxed);
                if let Err(error) = to.write_all(&chunk[..size]) {
                    break Err(error);
                }
            }
            Err(error) => break Err(error),
        }
    };
    // The other side may have closed the connection already.
    let _ = to.shutdown(Shutdown::Write);
    end
}
