//! A worker whose connections are established late: while the accept queue of its listener is full the kernel drops SYN
//! packets, and the caller sends the next one a second later.
use corkbay_node::wire::frames::{code, Frame, FROM_INVOKER};
use socket2::{Domain, Socket, Type};
use std::io::Read;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// A listener whose accept queue can be filled, so that new connections are delayed.
pub struct SlowAcceptListener {
    pub address: SocketAddr,
    listener: TcpListener,
}

impl SlowAcceptListener {
    pub fn new() -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        let any: SocketAddr = "127.0.0.1:0".parse().expect("address");
        socket.bind(&any.into()).expect("bound");
        // A backlog of 0 gives an accept queue for one connection.
        socket.listen(0).expect("listens");
        let listener = TcpListener::from(socket);
        SlowAcceptListener { address: listener.local_addr().expect("bound"), listener }
    }

    /// Fills the accept queue. Connections attempted from now on are established once the queue has been emptied, and not
    /// before a second has passed.
    pub fn fill(&self) -> TcpStream {
        TcpStream::connect(self.address).expect("the queue was empty")
    }

    /// Accepts the next connection; `None` if none arrives in time.
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

/// Ids of the complete requests received on a connection until it ends or stays idle for `within`.
pub fn requests(socket: &TcpStream, within: Duration) -> Vec<u64> {
    request_frames(socket, within).iter().map(|frame| frame.id).collect()
}

/// Like [`requests`], with the whole frames.
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
