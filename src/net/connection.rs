//! One TCP connection: a thread that reads it and one that writes it, both on small stacks.
//!
//! The house asks for one thread a connection. With the standard library alone, one thread cannot wait for
//! bytes to read and for messages to write at once, and a reducer that writes by itself would stop for a slow
//! peer; so each connection has a second thread, and no second descriptor: both share the stream.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;
use std::thread::{Builder, JoinHandle};
use std::time::{Duration, SystemTime};

use crossbeam_channel::{Receiver, Sender, TrySendError, bounded};

use super::jsonl::{Cut, Lines};

/// Stack of a thread that serves a socket; the deepest thing it does is to parse one bounded message.
pub const STACK: usize = 128 * 1024;
/// Messages that may wait for a peer to read them. One that lets more pile up is cut off.
const WAITING: usize = 2_048;
/// A peer that takes nothing for this long is cut off.
const STALLED: Duration = Duration::from_secs(5);

/// How long the peer's reset may take to come back: a round trip on a poor link, and well within the second in
/// which a release has to be sent.
const ECHO: Duration = Duration::from_millis(300);

/// How a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// Closed in good order.
    Closed,
    /// Reset: the process at the other end died, or the way to it broke.
    Reset,
}

/// The writing end: owned by the driver, and given back by dropping it.
#[derive(Debug)]
pub struct Outlet {
    stream: Arc<TcpStream>,
    queue: Sender<Vec<u8>>,
}

impl Outlet {
    /// Sends a message in its turn; never waits.
    pub fn send(&self, message: Vec<u8>) {
        if let Err(TrySendError::Full(_)) = self.queue.try_send(message) {
            self.cut();
        }
    }

    /// Ends the connection now; its reader then reports it.
    pub fn cut(&self) {
        // Fails only on a connection that is already gone.
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

/// Starts the writer of a connection.
///
/// # Errors
/// If the system has no thread left.
pub fn outlet(stream: Arc<TcpStream>) -> std::io::Result<Outlet> {
    let (queue, waiting) = bounded(WAITING);
    // A connection on which these cannot be set is gone already; its reader reports it.
    let _ = stream.set_nodelay(true);
    let _ = stream.set_write_timeout(Some(STALLED));
    let writer = stream.clone();
    small_thread("writer", move || write(&writer, &waiting))?;
    Ok(Outlet { stream, queue })
}

/// Starts a thread on a small stack.
///
/// # Errors
/// If the system has none left.
pub fn small_thread(name: &str, run: impl FnOnce() + Send + 'static) -> std::io::Result<JoinHandle<()>> {
    Builder::new().name(name.to_owned()).stack_size(STACK).spawn(run)
}

fn write(mut stream: &TcpStream, waiting: &Receiver<Vec<u8>>) {
    while let Ok(mut message) = waiting.recv() {
        while message.len() < 32 * 1024
            && let Ok(next) = waiting.try_recv()
        {
            message.extend_from_slice(&next);
        }
        if stream.write_all(&message).is_err() {
            break;
        }
    }
    // All that was queued is written: the end of the outlet is the end of the connection.
    let _ = stream.shutdown(Shutdown::Both);
}

/// Whether something was sent on a connection after the peer had closed it. The peer's system answers such
/// bytes with a reset, which is the only sign of it.
pub fn unread(stream: &TcpStream) -> bool {
    std::thread::sleep(ECHO);
    matches!(stream.take_error(), Ok(Some(_)))
}

/// Reads a connection to its end and hands on each line with the time at which its last byte came.
pub fn read(mut stream: &TcpStream, mut each: impl FnMut(Cut, SystemTime)) -> Ending {
    let mut lines = Lines::default();
    let mut buffer = vec![0; 8 * 1024];
    loop {
        match stream.read(&mut buffer) {
            Ok(0) => return Ending::Closed,
            Ok(length) => {
                let now = SystemTime::now();
                lines.push(&buffer[..length], |cut| each(cut, now));
            }
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) if error.kind() == ErrorKind::ConnectionReset => return Ending::Reset,
            Err(_) => return Ending::Closed,
        }
    }
}
