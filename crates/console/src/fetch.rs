//! HTTP client for the operators' interface of a softswitch.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::model::Snapshot;

/// Maximum number of bytes read of a reply, head included.
const MAX_REPLY_BYTES: u64 = 4 << 20;

/// Fetches `/edge/fleet` from a softswitch. The timeout applies to the connect and to each read and write.
///
/// # Errors
/// If the softswitch cannot be reached or its reply is not a valid snapshot: a reason short enough for the screen.
pub fn fetch_snapshot(address: SocketAddr, timeout: Duration) -> Result<Snapshot, String> {
    let mut stream =
        TcpStream::connect_timeout(&address, timeout).map_err(|error| error.kind().to_string())?;
    let io = |error: std::io::Error| error.kind().to_string();
    stream.set_read_timeout(Some(timeout)).map_err(io)?;
    stream.set_write_timeout(Some(timeout)).map_err(io)?;
    // The request is sent with one write: a part of it that arrived after the server had replied and closed would make
    // the server reset the connection, and the reply could be lost.
    let request = format!("GET /edge/fleet HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).map_err(io)?;
    let mut reply = Vec::new();
    stream.take(MAX_REPLY_BYTES).read_to_end(&mut reply).map_err(io)?;
    let reply = String::from_utf8_lossy(&reply);
    let (head, body) = reply.split_once("\r\n\r\n").ok_or("no HTTP")?;
    match head.split(' ').nth(1) {
        Some("200") => Snapshot::parse(body).map_err(|error| error.to_string()),
        // Names the usual reason: the fleet endpoint is not turned on in the settings of that softswitch.
        Some("404") => Err("fleet is off there".to_owned()),
        Some(status) => Err(format!("status {status}")),
        None => Err("no HTTP".to_owned()),
    }
}
