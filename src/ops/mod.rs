//! Operators' HTTP requests: parsing and replies, without sockets.

use httparse::{EMPTY_HEADER, Request, Status};
use thiserror::Error;

mod fleet;
mod metrics;

pub use fleet::{ExchangeState, Fleet};
pub use metrics::{Gauges, Metrics};

/// Longest head of a request, in bytes.
pub const MAX_HEAD_BYTES: usize = 4 * 1024;
/// Maximum number of header fields of a request.
const MAX_HEADER_FIELDS: usize = 32;

/// A request of an operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperatorRequest {
    /// Whether this process can serve.
    Readiness,
    /// Metrics of this process.
    Metrics,
    /// Begin a drain: health checks fail, new IAX2 calls are refused, and JSON-lines connections are closed.
    BeginDrain,
    /// End the drain and accept calls again.
    EndDrain,
    /// State of the fleet as known to this softswitch, for consoles.
    Fleet,
}

/// Each endpoint: path, method and request.
const ENDPOINTS: [(&str, &str, OperatorRequest); 5] = [
    ("/ops/readiness", "GET", OperatorRequest::Readiness),
    ("/ops/stats", "GET", OperatorRequest::Metrics),
    ("/ops/drain/start", "PUT", OperatorRequest::BeginDrain),
    ("/ops/drain/stop", "PUT", OperatorRequest::EndDrain),
    ("/edge/fleet", "GET", OperatorRequest::Fleet),
];

/// Why a request is rejected before it is handled.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum RequestError {
    /// Not a valid HTTP request.
    #[error("not an HTTP request")]
    Malformed,
    /// The head is too long or has too many fields.
    #[error("the head of the request is too long")]
    TooLong,
    /// No endpoint has this path.
    #[error("no such path")]
    UnknownPath,
    /// The endpoint accepts only the given method.
    #[error("this path takes {0} only")]
    WrongMethod(&'static str),
}

/// Reply to an operator's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorReply {
    /// The request was carried out, or the process is ready to serve.
    Done,
    /// Not ready to serve.
    NotReady,
    /// Metrics as text.
    Metrics(String),
    /// State of the fleet, as JSON.
    Fleet(String),
    /// The request is rejected.
    Rejected(RequestError),
}

/// Parses the head of a request; `None` while it is incomplete. A body is ignored and not waited for. Paths below
/// `/edge/` exist only where the settings enable them.
///
/// # Errors
/// If the request matches no endpoint; the error says why.
pub fn parse_request(head: &[u8], edge_enabled: bool) -> Result<Option<OperatorRequest>, RequestError> {
    let mut fields = [EMPTY_HEADER; MAX_HEADER_FIELDS];
    let mut request = Request::new(&mut fields);
    match request.parse(head) {
        Ok(Status::Complete(_)) => {}
        Ok(Status::Partial) if head.len() < MAX_HEAD_BYTES => return Ok(None),
        Ok(Status::Partial) | Err(httparse::Error::TooManyHeaders) => return Err(RequestError::TooLong),
        Err(_) => return Err(RequestError::Malformed),
    }
    let (Some(target), Some(method)) = (request.path, request.method) else {
        return Err(RequestError::Malformed);
    };
    let path = target.split('?').next().unwrap_or_default();
    let matches = |known: &str| known == path && (edge_enabled || !known.starts_with("/edge/"));
    let endpoint = ENDPOINTS.iter().find(|(known, ..)| matches(known)).ok_or(RequestError::UnknownPath)?;
    if endpoint.1 == method { Ok(Some(endpoint.2)) } else { Err(RequestError::WrongMethod(endpoint.1)) }
}

/// Formats a reply as HTTP. A connection carries one request, so each reply closes it.
pub fn format_reply(reply: &OperatorReply) -> Vec<u8> {
    let (status, text) = match reply {
        OperatorReply::Done => ("200 OK", "yes\n".to_owned()),
        OperatorReply::NotReady => ("503 Service Unavailable", "no\n".to_owned()),
        OperatorReply::Metrics(text) | OperatorReply::Fleet(text) => ("200 OK", text.clone()),
        OperatorReply::Rejected(error) => {
            let status = match error {
                RequestError::Malformed => "400 Bad Request",
                RequestError::TooLong => "431 Request Header Fields Too Large",
                RequestError::UnknownPath => "404 Not Found",
                RequestError::WrongMethod(_) => "405 Method Not Allowed",
            };
            (status, format!("{error}\n"))
        }
    };
    let allow = match reply {
        OperatorReply::Rejected(RequestError::WrongMethod(method)) => format!("Allow: {method}\r\n"),
        _ => String::new(),
    };
    let content_type = match reply {
        OperatorReply::Fleet(_) => "application/json",
        OperatorReply::Metrics(_) => "text/plain; version=0.0.4; charset=utf-8",
        _ => "text/plain; charset=utf-8",
    };
    let length = text.len();
    format!(
        "HTTP/1.1 {status}\r\nContent-Type: {content_type}\r\nContent-Length: {length}\r\n{allow}Connection: close\r\n\r\n{text}"
    )
    .into_bytes()
}
