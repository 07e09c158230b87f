//! The operators' HTTP server. It has its own listener and connections, so that load from callers can neither occupy
//! nor delay it.

use std::collections::BTreeMap;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::time::{Duration, SystemTime};

use mio::net::{TcpListener, TcpStream};
use mio::{Interest, Registry, Token};

use crate::ops::{self, OperatorReply, OperatorRequest};

/// Maximum number of open connections; a further one replaces one that has its reply, else the oldest without a
/// complete request, else the oldest.
pub(super) const MAX_CONNECTIONS: usize = 8;
/// First poll token of the server; tokens of other connections never become as large.
const FIRST_TOKEN: usize = 1 << 62;
const LISTENER: Token = Token(FIRST_TOKEN);
/// Time for receiving a complete request and sending its reply.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for which a connection is kept after the reply, until the operator closes it.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of reads from one connection per event; the longest head of a request fits well within it.
const MAX_READS: usize = 16;

/// Id of a request; it is also the id of the connection, which carries one request.
pub type RequestId = usize;

struct OperatorConn {
    stream: TcpStream,
    head: Vec<u8>,
    deadline: SystemTime,
    /// A request was received or rejected; what follows it is ignored.
    request_received: bool,
    unsent: Vec<u8>,
    replied: bool,
}

/// The listener for operators and its open connections.
pub(super) struct OperatorServer {
    listener: TcpListener,
    connections: BTreeMap<RequestId, OperatorConn>,
    last_id: RequestId,
    /// Whether the paths below `/edge/` exist.
    edge_enabled: bool,
}

impl OperatorServer {
    pub(super) fn new(
        listener: std::net::TcpListener,
        registry: &Registry,
        edge_enabled: bool,
    ) -> io::Result<Self> {
        let mut listener = TcpListener::from_std(listener);
        registry.register(&mut listener, LISTENER, Interest::READABLE)?;
        Ok(Self { listener, connections: BTreeMap::new(), last_id: 0, edge_enabled })
    }

    /// Binds a non-blocking listener to this address.
    pub(super) fn bind(address: SocketAddr) -> io::Result<std::net::TcpListener> {
        let listener = std::net::TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        Ok(listener)
    }

    /// Whether this poll token belongs to the server.
    pub(super) fn owns(token: Token) -> bool {
        token.0 >= FIRST_TOKEN
    }

    /// Handles an event of the poll; complete requests are added to `requests`.
    pub(super) fn handle_event(
        &mut self,
        token: Token,
        registry: &Registry,
        requests: &mut Vec<(RequestId, OperatorRequest)>,
    ) {
        if token == LISTENER {
            self.accept(registry, requests);
        } else {
            self.read(token.0 - FIRST_TOKEN, requests);
        }
    }

    fn accept(&mut self, registry: &Registry, requests: &mut Vec<(RequestId, OperatorRequest)>) {
        loop {
            match self.listener.accept() {
                Ok((mut stream, _)) => {
                    if self.connections.len() >= MAX_CONNECTIONS {
                        self.evict_connection();
                    }
                    self.last_id += 1;
                    let (request_id, token) = (self.last_id, Token(FIRST_TOKEN + self.last_id));
                    if registry.register(&mut stream, token, Interest::READABLE | Interest::WRITABLE).is_ok()
                    {
                        let deadline = SystemTime::now() + REQUEST_TIMEOUT;
                        let (head, unsent) = (Vec::new(), Vec::new());
                        let connection = OperatorConn {
                            stream,
                            head,
                            deadline,
                            request_received: false,
                            unsent,
                            replied: false,
                        };
                        self.connections.insert(request_id, connection);
                        self.read(request_id, requests);
                    }
                }
                Err(error)
                    if matches!(error.kind(), ErrorKind::ConnectionAborted | ErrorKind::Interrupted) => {}
                // The backlog is empty, or file descriptors have run out: then the next connection triggers the
                // poll again.
                Err(_) => return,
            }
        }
    }

    /// Closes one connection: one that has its reply, else the oldest without a complete request, else the oldest.
    fn evict_connection(&mut self) {
        let key =
            |(request_id, c): (&RequestId, &OperatorConn)| (!c.replied, c.request_received, *request_id);
        if let Some((.., request_id)) = self.connections.iter().map(key).min() {
            self.connections.remove(&request_id);
        }
    }

    fn read(&mut self, request_id: RequestId, requests: &mut Vec<(RequestId, OperatorRequest)>) {
        let Some(connection) = self.connections.get_mut(&request_id) else { return };
        let mut buffer = [0; 1024];
        let mut ended = false;
        // The limit stops a client that sends without end; data after a complete request is ignored.
        for _ in 0..MAX_READS {
            match connection.stream.read(&mut buffer) {
                Ok(0) => ended = true,
                Ok(_) if connection.request_received => {}
                Ok(length) => {
                    connection.head.extend_from_slice(&buffer[..length]);
                    match ops::parse_request(&connection.head, self.edge_enabled) {
                        Ok(None) => {}
                        Ok(Some(request)) => {
                            connection.request_received = true;
                            requests.push((request_id, request));
                        }
                        Err(error) => {
                            connection.request_received = true;
                            connection.unsent = ops::format_reply(&OperatorReply::Rejected(error));
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
        // A client that shut down its sending side after a request still reads the reply.
        let finished = ended && (connection.replied || !connection.request_received);
        if finished {
            self.connections.remove(&request_id);
        } else {
            self.write(request_id);
        }
    }

    /// Sends the reply to a request.
    pub(super) fn reply(&mut self, request_id: RequestId, reply: &OperatorReply) {
        if let Some(connection) = self.connections.get_mut(&request_id) {
            connection.unsent = ops::format_reply(reply);
            self.write(request_id);
        }
    }

    fn write(&mut self, request_id: RequestId) {
        let Some(connection) = self.connections.get_mut(&request_id) else { return };
        while !connection.unsent.is_empty() {
            match connection.stream.write(&connection.unsent) {
                Ok(length) => {
                    connection.unsent.drain(..length);
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(_) => {
                    self.connections.remove(&request_id);
                    return;
                }
            }
            connection.replied = connection.unsent.is_empty();
            if connection.replied {
                // The connection is closed after the client has closed it, or after a time-out: unread data, such
                // as a body, would make the system reset the connection before the client has read the reply.
                let _ = connection.stream.shutdown(Shutdown::Write);
                connection.deadline = SystemTime::now() + LINGER_TIMEOUT;
            }
        }
    }

    /// Earliest deadline of all connections.
    pub(super) fn next_timeout(&self) -> Option<SystemTime> {
        self.connections.values().map(|connection| connection.deadline).min()
    }

    /// Closes the connections whose deadline has passed.
    pub(super) fn close_expired(&mut self, now: SystemTime) {
        self.connections.retain(|_, connection| connection.deadline > now);
    }
}
