//! Accepting connections within a budget of descriptors.
use crate::life::spawn;
use may::net::{TcpListener, TcpStream};
use may::sync::Semphore;
use std::sync::Arc;
use std::time::Duration;

/// Pause after an accept that failed, for want of descriptors above all.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Accepts clients for as long as the process lives, at most `most` at a time.
pub fn accept(listener: &TcpListener, most: usize, serve: impl Fn(TcpStream) + Send + Sync + 'static) {
    let serve = Arc::new(serve);
    let places = Arc::new(Semphore::new(most));
    loop {
        places.wait();
        match listener.accept() {
            Ok((stream, _)) => {
                let (serve, places) = (serve.clone(), places.clone());
                spawn(move || {
                    let _place = Place(places);
                    serve(stream);
                });
            }
            Err(error) => {
                places.post();
                eprintln!("accept: {error}");
                may::coroutine::sleep(ACCEPT_PAUSE);
            }
        }
    }
}

/// A client's place, given back however its task ends.
struct Place(Arc<Semphore>);

impl Drop for Place {
    fn drop(&mut self) {
        self.0.post();
    }
}
