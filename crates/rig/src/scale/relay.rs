//! A TCP relay on loopback that counts the bytes that pass, for what two daemons say to one another.
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::Arc;

const CHUNK: usize = 16 << 10;
const STACK: usize = 128 << 10;

/// What has passed through a relay.
#[derive(Debug, Default)]
pub struct Passed {
    connections: AtomicU64,
    bytes: AtomicU64,
}

/// A relay; it lives as long as this process.
#[derive(Clone, Debug)]
pub struct Relay {
    /// Where it listens.
    pub address: SocketAddr,
    passed: Arc<Passed>,
}

impl Relay {
    /// A relay to a port of loopback, on which nobody needs to listen yet.
    pub fn start(target: u16) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let address = listener.local_addr()?;
        let passed = Arc::new(Passed::default());
        let counts = passed.clone();
        std::thread::Builder::new().stack_size(STACK).spawn(move || {
            for caller in listener.incoming().map_while(Result::ok) {
                // A target that can't be reached looks like one that hangs up.
                let _ = relay(caller, target, &counts);
            }
        })?;
        Ok(Relay { address, passed })
    }

    /// Connections that were made through it.
    pub fn connections(&self) -> u64 {
        self.passed.connections.load(Relaxed)
    }

    /// Bytes that passed, both ways, without the headers of the network.
    pub fn bytes(&self) -> u64 {
        self.passed.bytes.load(Relaxed)
    }
}

fn relay(caller: TcpStream, target: u16, passed: &Arc<Passed>) -> io::Result<()> {
    let callee = TcpStream::connect((Ipv4Addr::LOCALHOST, target))?;
    passed.connections.fetch_add(1, Relaxed);
    for (from, to) in [(caller.try_clone()?, callee.try_clone()?), (callee, caller)] {
        let passed = passed.clone();
        std::thread::Builder::new().stack_size(STACK).spawn(move || copy(from, to, &passed))?;
    }
    Ok(())
}

/// Passes on what comes until its end or an error on either side.
fn copy(mut from: TcpStream, mut to: TcpStream, passed: &Passed) -> io::Result<()> {
    let mut chunk = vec![0; CHUNK];
    let end = loop {
        match from.read(&mut chunk) {
            Ok(0) => break Ok(()),
            Ok(size) => {
                passed.bytes.fetch_add(size as u64, Relaxed);
                if let Err(error) = to.write_all(&chunk[..size]) {
                    break Err(error);
                }
            }
            Err(error) => break Err(error),
        }
    };
    // The other side may have ended the connection already.
    let _ = to.shutdown(Shutdown::Write);
    end
}
