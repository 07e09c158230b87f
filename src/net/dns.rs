//! The resolver's client: asks for the whole list of exchanges over and over and tells what is new.

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
/// Largest answer.
const LARGEST: usize = 8_192;
/// Time between two queries: an event counts as told with its first answer and after 1.5 s at the latest, so
/// each must be seen long before that, lost datagrams included.
const EVERY: Duration = Duration::from_millis(100);
/// Queries whose answers are still taken, newest last: an answer that took longer than one turn is as good as
/// a quick one, since serials say which of two is newer.
const AWAITED: usize = 20;

/// What is wrong with an answer.
#[derive(Debug, Error)]
pub enum AnswerError {
    /// It cannot be parsed.
    #[error("answer cannot be read: {0}")]
    Malformed(#[from] simple_dns::SimpleDnsError),
    /// It is not the answer to this query.
    #[error("answer to another query")]
    UnknownId,
    /// The resolver says that it failed, or cut the answer short.
    #[error("the resolver failed")]
    Failed,
    /// No SOA record says which event is the last.
    #[error("answer without a serial")]
    NoSerial,
    /// It lists nothing, or records of something that it lists are missing.
    #[error("answer is not whole")]
    Incomplete,
}

/// A query for the list.
///
/// # Errors
/// Never for the name it asks for; the error is the message writer's.
pub fn build_query(id: u16) -> Result<Vec<u8>, simple_dns::SimpleDnsError> {
    let mut packet = Packet::new_query(id);
    packet.set_flags(PacketFlag::RECURSION_DESIRED);
    let name = Name::new(SERVICE)?;
    packet.questions.push(Question::new(name, QTYPE::TYPE(TYPE::SRV), QCLASS::CLASS(CLASS::IN), false));
    packet.build_bytes_vec()
}

/// Whether one serial is later than another (RFC 1982): they count round, and a late or repeated answer may
/// hold an older list, which must not undo what a newer one has told.
pub fn is_newer_serial(serial: u32, than: u32) -> bool {
    (1..1 << 31).contains(&serial.wrapping_sub(than))
}

/// Reads an answer to one of these queries: the number of the last event and the list after it.
///
/// # Errors
/// If it cannot be read, answers another query, or holds no serial or no whole list: an exchange that is not
/// listed counts as gone, so a list with a hole in it would cut all calls there.
pub fn parse_answer(
    awaited: &[u16],
    bytes: &[u8],
    zones: &[String],
) -> Result<(u32, Vec<ListEntry>), AnswerError> {
    let packet = Packet::parse(bytes)?;
    if !awaited.contains(&packet.id()) || !packet.has_flags(PacketFlag::RESPONSE) {
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

/// Where the list is to be had, and the zones that its names lie in.
#[derive(Clone, Debug)]
pub struct ListSource {
    /// Address of the resolver.
    pub resolver: SocketAddr,
    /// Names of the zones.
    pub zones: Vec<String>,
}

impl ListSource {
    fn socket(&self) -> std::io::Result<UdpSocket> {
        let any: SocketAddr =
            if self.resolver.is_ipv4() { ([0, 0, 0, 0], 0).into() } else { ([0u16; 8], 0).into() };
        let socket = UdpSocket::bind(any)?;
        socket.connect(self.resolver)?;
        Ok(socket)
    }
}

/// Asks for ever, and hands on each list that is later than the last; `None` says once, with the first good
/// answer, that there is none. The serial is that of the list that counts now. `moves` says when the resolver has
/// another address; serials go on through that. Ends when `news` says so.
///
/// # Errors
/// If no socket can be had at the start.
pub fn follow_list(
    mut source: ListSource,
    mut serial: u32,
    seed: u64,
    moves: &Receiver<ListSource>,
    mut news: impl FnMut(u32, Option<Vec<ListEntry>>) -> bool,
) -> std::io::Result<()> {
    let mut socket = source.socket()?;
    let mut buffer = vec![0; LARGEST];
    let mut ids = Pcg64Mcg::seed_from_u64(seed);
    let mut confirmed = false;
    let mut awaited: VecDeque<u16> = VecDeque::with_capacity(AWAITED);
    loop {
        if let Some(moved) = moves.try_iter().last() {
            match moved.socket() {
                Ok(opened) => {
                    (socket, source) = (opened, moved);
                    awaited.clear();
                }
                Err(error) => tracing::warn!(address = %moved.resolver, %error, "the resolver has no socket"),
            }
        }
        let asked = SystemTime::now();
        let id = ids.random();
        if awaited.len() == AWAITED {
            awaited.pop_front();
        }
        awaited.push_back(id);
        if let Ok(query) = build_query(id) {
            // A query that is refused or lost is repeated at the next turn.
            let _ = socket.send(&query);
        }
        loop {
            let left = EVERY.saturating_sub(asked.elapsed().unwrap_or(EVERY));
            if left.is_zero() {
                break;
            }
            socket.set_read_timeout(Some(left))?;
            let length = match socket.recv(&mut buffer) {
                Ok(length) => length,
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => continue,
                Err(_) => {
                    // Nobody listens there just now: wait for the next turn rather than spin.
                    std::thread::sleep(left);
                    continue;
                }
            };
            if let Ok((last, entries)) =
                parse_answer(awaited.make_contiguous(), &buffer[..length], &source.zones)
            {
                let news_is = is_newer_serial(last, serial);
                let first = !std::mem::replace(&mut confirmed, true);
                if news_is {
                    serial = last;
                }
                if (news_is || (first && last == serial)) && !news(serial, news_is.then_some(entries)) {
                    return Ok(());
                }
            }
        }
    }
}
