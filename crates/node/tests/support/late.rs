//! A worker whose connections come up late: the kernel drops a caller's first packet while the queue of those who wait
//! to be accepted is full, and the caller tries again a second later.
use corkbay_node::wire::frames::{code, Frame, FROM_INVOKER};
use socket2::{Domain, Socket, Type};
use std::io::Read;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// A listener that can be shut to newcomers for a while.
pub struct LateListener {
    pub address: SocketAddr,
    listener: TcpListener,
}

impl LateListener {
    pub fn new() -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        let any: SocketAddr = "127.0.0.1:0".parse().expect("address");
        socket.bind(&any.into()).expect("bound");
        // A queue of one.
        socket.listen(0).expect("listens");
        let listener = TcpListener::from(socket);
        LateListener { address: listener.local_addr().expect("bound"), listener }
    }

    /// Fills the queue: whoever calls now comes up after the queue was emptied, and not before a second has passed.
    pub fn fill(&self) -> TcpStream {
        TcpStream::connect(self.address).expect("the queue was empty")
    }

    /// The next connection in the queue, waited for that long.
    pub fn accept(&self, within: Duration) -> Option<TcpStream> {
        self.listener.set_nonblocking(true).expect("set");
        let start = Instant::now();
        while start.elapsed() < within {
            if let Ok((socket, _)) = self.listener.accept() {
                socket.set_nonblocking(false).expect("set");
                return Some(socket);
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        None
    }
}

/// The ids of the requests that come whole on a connection until it ends or nothing more comes for that long.
pub fn requests(socket: &TcpStream, within: Duration) -> Vec<u64> {
    request_frames(socket, within).iter().map(|frame| frame.id).collect()
}

/// The same with all that they say.
pub fn request_frames(mut socket: &TcpStream, within: Duration) -> Vec<Frame> {
    socket.set_read_timeout(Some(within)).expect("set");
    let (mut buffer, mut chunk, mut frames) = (Vec::new(), [0; 4096], Vec::new());
    loop {
        while let Some(frame) = Frame::decode(&mut buffer, FROM_INVOKER).expect("a good frame") {
            if frame.code == code::REQUEST {
                frames.push(frame);
            }
        }
        match socket.read(&mut chunk) {
            Ok(size @ 1..) => buffer.extend(&chunk[..size]),
            _ => return frames,
        }
    }
}
