//! Client of the resolver: fetches the list of exchanges at short intervals and reports changes.

use std::collections::VecDeque;
use std::io::ErrorKind;
use std::net::{SocketAddr, UdpSocket};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crossbeam_channel::Receiver;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use simple_dns::rdata::RData;
use simple_dns::{CLASS, Name, Packet, PacketFlag, QCLASS, QTYPE, Question, TYPE};
use thiserror::Error;

use crate::config::zone_index;
use crate::engine::{ListEntry, duration_from_ms};
use crate::interface::Readiness;

/// The name whose SRV records list the exchanges.
const SERVICE: &str = "_api._tcp.svc.local";
/// Maximum length of an answer, in bytes.
const MAX_ANSWER_BYTES: usize = 8_192;
/// Time between two queries. A change of the list counts as delivered with the first answer that contains it, and
/// after 1.5 s at the latest; the interval is much shorter, so that lost datagrams do not matter.
const QUERY_INTERVAL: Duration = Duration::from_millis(100);
/// Number of queries that are remembered, so that their answers are accepted. It bounds the memory and the share of the
/// ids that a forged answer could use; no answer is too late, because the serials tell which of two lists is newer.
const MAX_REMEMBERED_QUERIES: usize = 4_096;

/// Why an answer is rejected.
#[derive(Debug, Error)]
pub enum AnswerError {
    /// It is not a valid DNS message.
    #[error("the answer is not a valid DNS message: {0}")]
    Malformed(#[from] simple_dns::SimpleDnsError),
    /// It is not the answer to an open query.
    #[error("the answer does not belong to an open query")]
    UnknownId,
    /// The resolver reports an error, or the answer is truncated.
    #[error("the resolver reports an error or a truncated answer")]
    Failed,
    /// It has no SOA record, which carries the serial of the list.
    #[error("the answer has no serial (SOA record)")]
    NoSerial,
    /// It lists no exchange, or the address or text record of a listed exchange is missing or invalid.
    #[error("the list of exchanges in the answer is empty or incomplete")]
    Incomplete,
}

/// Builds a query for the list.
///
/// # Errors
/// If the DNS message cannot be built, which does not happen for the fixed service name.
pub fn build_query(id: u16) -> Result<Vec<u8>, simple_dns::SimpleDnsError> {
    let mut packet = Packet::new_query(id);
    packet.set_flags(PacketFlag::RECURSION_DESIRED);
    let name = Name::new(SERVICE)?;
    packet.questions.push(Question::new(name, QTYPE::TYPE(TYPE::SRV), QCLASS::CLASS(CLASS::IN), false));
    packet.build_bytes_vec()
}

/// Whether one serial is newer than another. Serials wrap around (RFC 1982). A late or repeated answer may contain an
/// older list, which must not replace a newer one.
pub fn is_newer_serial(serial: u32, other: u32) -> bool {
    (1..1 << 31).contains(&serial.wrapping_sub(other))
}

/// Parses the answer to one of the open queries and returns the serial and the list of exchanges.
///
/// # Errors
/// If the answer is invalid, belongs to no open query, has no serial or is incomplete. An exchange that is not listed
/// counts as removed, so an incomplete list would cut all calls at the missing exchanges.
pub fn parse_answer(
    open_queries: &[u16],
    bytes: &[u8],
    zones: &[String],
) -> Result<(u32, Vec<ListEntry>), AnswerError> {
    let packet = Packet::parse(bytes)?;
    if !open_queries.contains(&packet.id()) || !packet.has_flags(PacketFlag::RESPONSE) {
        return Err(AnswerError::UnknownId);
    }
    if packet.rcode() != simple_dns::RCODE::NoError || packet.has_flags(PacketFlag::TRUNCATION) {
        return Err(AnswerError::Failed);
    }
    let serial = packet.name_servers.iter().find_map(|record| match &record.rdata {
        RData::SOA(soa) => Some(soa.serial),
        _ => None,
    });
    let serial = serial.ok_or(AnswerError::NoSerial)?;
    let records = || packet.additional_records.iter().chain(&packet.answers);
    // The target of an SRV record is the name and the zone of an exchange, as in `NAME.ZONE.hosts`. Its text record
    // contains the number (`cell`) and the start time in Unix ms (`started`; 0 for long ago).
    let entry = |target: &Name<'_>, port: u16, priority: u16| {
        let address = records().find_map(|record| match &record.rdata {
            RData::A(a) if record.name == *target => Some(std::net::Ipv4Addr::from(a.address)),
            _ => None,
        })?;
        let texts = records().find_map(|record| match &record.rdata {
            RData::TXT(text) if record.name == *target => Some(text.attributes()),
            _ => None,
        })?;
        let value = |key: &str| texts.get(key)?.as_deref()?.parse::<f64>().ok().filter(|n| *n >= 0.0);
        let labels = target.get_labels();
        let label = |i: usize| labels.get(i).map(|l| l.to_string());
        let started = value("started")?;
        Some(ListEntry {
            name: label(0)?.into(),
            address: SocketAddr::new(address.into(), port),
            number: value("cell")? as u32,
            zone: zone_index(zones, &label(1)?),
            started_at: (started > 0.0).then(|| UNIX_EPOCH + duration_from_ms(started)),
            readiness: if priority == 0 { Readiness::Ready } else { Readiness::Draining },
        })
    };
    let entries = packet.answers.iter().filter_map(|record| match &record.rdata {
        RData::SRV(srv) => Some(entry(&srv.target, srv.port, srv.priority)),
        _ => None,
    });
    let entries: Vec<ListEntry> = entries.collect::<Option<_>>().ok_or(AnswerError::Incomplete)?;
    if entries.is_empty() { Err(AnswerError::Incomplete) } else { Ok((serial, entries)) }
}

/// The resolver to query and the zones of the exchanges.
#[derive(Clone, Debug)]
pub struct ListSource {
    /// Address of the resolver.
    pub resolver: SocketAddr,
    /// Names of the zones.
    pub zones: Vec<String>,
}

/// The queries whose answers are accepted: their ids and the resolvers that they were sent to, oldest first.
#[derive(Debug, Default)]
struct SentQueries(VecDeque<(u16, SocketAddr)>);

impl SentQueries {
    fn remember(&mut self, id: u16, resolver: SocketAddr) {
        if self.0.len() == MAX_REMEMBERED_QUERIES {
            self.0.pop_front();
        }
        self.0.push_back((id, resolver));
    }

    /// The id of a datagram, if it belongs to a query to its sender.
    fn matching_id(&self, datagram: &[u8], from: SocketAddr) -> Option<u16> {
        let id = u16::from_be_bytes([*datagram.first()?, *datagram.get(1)?]);
        self.0.iter().rev().any(|query| *query == (id, from)).then_some(id)
    }
}

/// Opens a socket for queries to this address and others of its family. It is not connected: answers of a resolver whose
/// address was replaced by a reload may still arrive.
fn open_socket(resolver: SocketAddr) -> std::io::Result<UdpSocket> {
    let any: SocketAddr = if resolver.is_ipv4() { ([0, 0, 0, 0], 0).into() } else { ([0u16; 8], 0).into() };
    UdpSocket::bind(any)
}

/// Fetches the list repeatedly and calls `on_list` with the serial and the list whenever it is newer than the last
/// one. If the first valid answer shows that the initial list is current, `on_list` is called once without a list.
/// `source_changes` delivers new addresses of the resolver; serials continue across such a change, and answers to earlier
/// queries count as before: they may take longer than the time between two changes. Returns when `on_list` returns
/// false.
///
/// # Errors
/// If the initial socket cannot be opened, or a socket option cannot be set.
pub fn follow_list(
    mut source: ListSource,
    mut serial: u32,
    seed: u64,
    source_changes: &Receiver<ListSource>,
    mut on_list: impl FnMut(u32, Option<Vec<ListEntry>>) -> bool,
) -> std::io::Result<()> {
    let mut socket = open_socket(source.resolver)?;
    let mut buffer = vec![0; MAX_ANSWER_BYTES];
    let mut ids = Pcg64Mcg::seed_from_u64(seed);
    let mut confirmed = false;
    let mut queries = SentQueries::default();
    loop {
        if let Some(new_source) = source_changes.try_iter().last() {
            if new_source.resolver.is_ipv4() == source.resolver.is_ipv4() {
                source = new_source;
            } else {
                match open_socket(new_source.resolver) {
                    Ok(opened) => (socket, source) = (opened, new_source),
                    Err(error) => {
                        tracing::warn!(
                            address = %new_source.resolver, %error,
                            "cannot open a socket for the new address of the resolver; still querying the old one"
                        )
                    }
                }
            }
        }
        let query_time = SystemTime::now();
        let id = ids.random();
        queries.remember(id, source.resolver);
        if let Ok(query) = build_query(id) {
            // A query that fails or is lost is followed by another one after the interval.
            let _ = socket.send_to(&query, source.resolver);
        }
        loop {
            let remaining = QUERY_INTERVAL.saturating_sub(query_time.elapsed().unwrap_or(QUERY_INTERVAL));
            if remaining.is_zero() {
                break;
            }
            socket.set_read_timeout(Some(remaining))?;
            let (length, from) = match socket.recv_from(&mut buffer) {
                Ok(received) => received,
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => continue,
                Err(_) => {
                    // Wait for the next query instead of spinning.
                    std::thread::sleep(remaining);
                    continue;
                }
            };
            let answer = &buffer[..length];
            let Some(id) = queries.matching_id(answer, from) else { continue };
            if let Ok((answer_serial, entries)) = parse_answer(&[id], answer, &source.zones) {
                let is_newer = is_newer_serial(answer_serial, serial);
                let first = !std::mem::replace(&mut confirmed, true);
                if is_newer {
                    serial = answer_serial;
                }
                if (is_newer || (first && answer_serial == serial))
                    && !on_list(serial, is_newer.then_some(entries))
                {
                    return Ok(());
                }
            }
        }
    }
}
