//! The writing half of a client's connection, shared by the tasks whose answers go out on it.
use crate::core::lock;
use may::io::SplitWriter;
use may::net::TcpStream;
use may::sync::Mutex;
use std::io::{self, Write};
use std::net::Shutdown;
use std::sync::Arc;

/// Writes whole messages, one after the other.
#[derive(Clone)]
pub struct Outgoing(Arc<Mutex<SplitWriter<TcpStream>>>);

impl Outgoing {
    /// The writing half of a connection.
    pub fn new(writer: SplitWriter<TcpStream>) -> Self {
        Outgoing(Arc::new(Mutex::new(writer)))
    }

    /// Writes a message. One that can't be written whole ends the connection, in both directions: what
    /// came after it could not be told from its rest.
    pub fn write(&self, bytes: &[u8]) -> io::Result<()> {
        let mut writer = lock(&self.0);
        writer.write_all(bytes).inspect_err(|_| _ = writer.inner().shutdown(Shutdown::Both))
    }

    /// Ends the connection in one direction or both.
    pub fn shut(&self, how: Shutdown) {
        // The other side may have ended it before.
        let _ = lock(&self.0).inner().shutdown(how);
    }
}
