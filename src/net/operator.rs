//! The door for operators: a listener and a few connections of its own, which callers can neither take nor
//! hold up.

use std::collections::BTreeMap;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::time::{Duration, SystemTime};

use mio::net::{TcpListener, TcpStream};
use mio::{Interest, Registry, Token};

use crate::ops::{self, OperatorReply, OperatorRequest};

/// Connections that it holds at once; a further one takes the place of the oldest that has said nothing whole.
pub(super) const MOST: usize = 8;
/// Its tokens count from here; those of connections of calls never get there.
const BASE: usize = 1 << 62;
const LISTENER: Token = Token(BASE);
/// A connection may be held for this long without a whole call, and after its answer until the peer closes it.
const SILENT: Duration = Duration::from_secs(5);
const LINGER: Duration = Duration::from_secs(1);
/// Reads from one connection in a turn; a head is at its longest well before.
const READS: usize = 16;

/// A call that waits for its answer.
pub type RequestId = usize;

struct Visitor {
    stream: TcpStream,
    head: Vec<u8>,
    until: SystemTime,
    /// It has asked, or been turned away.
    heard: bool,
    unsent: Vec<u8>,
    answered: bool,
}

/// The listener for operators and who is there.
pub(super) struct OperatorServer {
    listener: TcpListener,
    visitors: BTreeMap<RequestId, Visitor>,
    last: RequestId,
    /// What lies under `/edge/` is there too.
    edge: bool,
}

impl OperatorServer {
    pub(super) fn open(listener: std::net::TcpListener, registry: &Registry, edge: bool) -> io::Result<Self> {
        let mut listener = TcpListener::from_std(listener);
        registry.register(&mut listener, LISTENER, Interest::READABLE)?;
        Ok(Self { listener, visitors: BTreeMap::new(), last: 0, edge })
    }

    /// Takes the address; the listener does not block.
    pub(super) fn bind(address: SocketAddr) -> io::Result<std::net::TcpListener> {
        let listener = std::net::TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        Ok(listener)
    }

    /// Whether the poll means the door by this token.
    pub(super) fn owns(token: Token) -> bool {
        token.0 >= BASE
    }

    /// The poll has something to say; what was asked is added to `orders`.
    pub(super) fn on_event(
        &mut self,
        token: Token,
        registry: &Registry,
        orders: &mut Vec<(RequestId, OperatorRequest)>,
    ) {
        if token == LISTENER {
            self.accept(registry, orders);
        } else {
            self.serve(token.0 - BASE, orders);
        }
    }

    fn accept(&mut self, registry: &Registry, orders: &mut Vec<(RequestId, OperatorRequest)>) {
        loop {
            match self.listener.accept() {
                Ok((mut stream, _)) => {
                    if self.visitors.len() >= MOST {
                        self.make_room();
                    }
                    self.last += 1;
                    let (ticket, token) = (self.last, Token(BASE + self.last));
                    if registry.register(&mut stream, token, Interest::READABLE | Interest::WRITABLE).is_ok()
                    {
                        let until = SystemTime::now() + SILENT;
                        let (head, unsent) = (Vec::new(), Vec::new());
                        let visitor = Visitor { stream, head, until, heard: false, unsent, answered: false };
                        self.visitors.insert(ticket, visitor);
                        self.serve(ticket, orders);
                    }
                }
                Err(error)
                    if matches!(error.kind(), ErrorKind::ConnectionAborted | ErrorKind::Interrupted) => {}
                // Nobody else waits; where descriptors are short, the poll says so again with the next caller.
                Err(_) => return,
            }
        }
    }

    /// Ends one connection: one that is answered, else the oldest that has asked nothing yet.
    fn make_room(&mut self) {
        let key = |(ticket, v): (&RequestId, &Visitor)| (!v.answered, v.heard, *ticket);
        if let Some((.., ticket)) = self.visitors.iter().map(key).min() {
            self.visitors.remove(&ticket);
        }
    }

    fn serve(&mut self, ticket: RequestId, orders: &mut Vec<(RequestId, OperatorRequest)>) {
        let Some(visitor) = self.visitors.get_mut(&ticket) else { return };
        let mut buffer = [0; 1024];
        let mut ended = false;
        // A bound for those who send on and on: what comes after a whole call means nothing.
        for _ in 0..READS {
            match visitor.stream.read(&mut buffer) {
                Ok(0) => ended = true,
                Ok(_) if visitor.heard => {}
                Ok(length) => {
                    visitor.head.extend_from_slice(&buffer[..length]);
                    match ops::parse_request(&visitor.head, self.edge) {
                        Ok(None) => {}
                        Ok(Some(order)) => {
                            visitor.heard = true;
                            orders.push((ticket, order));
                        }
                        Err(error) => {
                            visitor.heard = true;
                            visitor.unsent = ops::format_reply(&OperatorReply::Rejected(error));
                        }
                    }
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(_) => ended = true,
            }
            if ended {
                break;
            }
        }
        // Whoever has said all and shut its side still reads its answer.
        let gone = ended && (visitor.answered || !visitor.heard);
        if gone {
            self.visitors.remove(&ticket);
        } else {
            self.write(ticket);
        }
    }

    /// Answers a call.
    pub(super) fn answer(&mut self, ticket: RequestId, reply: &OperatorReply) {
        if let Some(visitor) = self.visitors.get_mut(&ticket) {
            visitor.unsent = ops::format_reply(reply);
            self.write(ticket);
        }
    }

    fn write(&mut self, ticket: RequestId) {
        let Some(visitor) = self.visitors.get_mut(&ticket) else { return };
        while !visitor.unsent.is_empty() {
            match visitor.stream.write(&visitor.unsent) {
                Ok(length) => {
                    visitor.unsent.drain(..length);
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(_) => {
                    self.visitors.remove(&ticket);
                    return;
                }
            }
            visitor.answered = visitor.unsent.is_empty();
            if visitor.answered {
                // Closed only once the peer has closed, or after a while: bytes left unread, such as a body,
                // would reset the connection under the answer.
                let _ = visitor.stream.shutdown(Shutdown::Write);
                visitor.until = SystemTime::now() + LINGER;
            }
        }
    }

    /// When the next connection has been held for too long.
    pub(super) fn next_wake(&self) -> Option<SystemTime> {
        self.visitors.values().map(|visitor| visitor.until).min()
    }

    /// Ends those that have been held for too long.
    pub(super) fn sweep(&mut self, now: SystemTime) {
        self.visitors.retain(|_, visitor| visitor.until > now);
    }
}
