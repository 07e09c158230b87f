//! The resolver's client against a stand-in on loopback: which lists count, and a resolver that moves.

use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;

use crossbeam_channel::{Receiver, bounded};
use simple_dns::rdata::{A, RData, SOA, SRV, TXT};
use simple_dns::{CLASS, Name, Packet, ResourceRecord};
use swiftlb::engine::ListEntry;
use swiftlb::net::dns::{self, ListSource};

/// Nothing that is waited for takes this long.
const PATIENCE: Duration = Duration::from_secs(8);

struct Resolver(UdpSocket);

impl Resolver {
    fn new() -> Self {
        let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
        socket.set_read_timeout(Some(PATIENCE)).expect("a time-out");
        Self(socket)
    }

    fn source(&self) -> ListSource {
        ListSource { resolver: self.0.local_addr().expect("an address"), zones: vec!["wien".to_owned()] }
    }

    /// Waits for a query: its id and who asks.
    fn query(&self) -> (u16, SocketAddr) {
        let mut bytes = [0; 512];
        let (_, from) = self.0.recv_from(&mut bytes).expect("a query");
        (u16::from_be_bytes([bytes[0], bytes[1]]), from)
    }

    fn answer(&self, (id, to): (u16, SocketAddr), serial: u32, exchanges: &[&str]) {
        self.0.send_to(&answer(id, serial, exchanges), to).expect("sent");
    }
}

/// A whole answer that lists these exchanges.
fn answer(id: u16, serial: u32, exchanges: &[&str]) -> Vec<u8> {
    let service = Name::new_unchecked("_api._tcp.svc.local");
    let mut packet = Packet::new_reply(id);
    for exchange in exchanges {
        let target = Name::new_unchecked(exchange).into_owned();
        let record = |name: &Name<'static>, data| ResourceRecord::new(name.clone(), CLASS::IN, 0, data);
        let srv = SRV { priority: 0, weight: 10, port: 5070, target: target.clone() };
        packet.answers.push(record(&service, RData::SRV(srv)));
        packet.additional_records.push(record(&target, RData::A(A { address: 0x7f00_0001 })));
        let text = ["kind=std", "cell=2", "started=0"];
        let text =
            text.iter().try_fold(TXT::new(), |text, part| text.with_string(part)).expect("short texts");
        packet.additional_records.push(record(&target, RData::TXT(text)));
    }
    let (mname, rname) = (service.clone(), service.clone());
    let soa = SOA { mname, rname, serial, refresh: 1, retry: 1, expire: 1, minimum: 1 };
    packet.name_servers.push(ResourceRecord::new(service, CLASS::IN, 0, RData::SOA(soa)));
    packet.build_bytes_vec().expect("an answer")
}

fn names(list: &Receiver<Vec<ListEntry>>) -> Vec<String> {
    let list = list.recv_timeout(PATIENCE).expect("a list");
    list.iter().map(|entry| entry.name.to_string()).collect()
}

#[test]
fn serials_count_round() {
    assert!(
        dns::is_newer_serial(2, 1)
            && dns::is_newer_serial(0, u32::MAX)
            && dns::is_newer_serial(5, u32::MAX - 5)
    );
    assert!(!dns::is_newer_serial(1, 1) && !dns::is_newer_serial(1, 2) && !dns::is_newer_serial(u32::MAX, 0));
}

#[test]
fn only_later_lists_count_also_late_answers_do_and_serials_go_on_when_the_resolver_moves() {
    let (first, second) = (Resolver::new(), Resolver::new());
    let (told, lists) = bounded(16);
    let (mover, moves) = bounded(1);
    let source = first.source();
    let follow = move || {
        dns::follow_list(source, 5, 1, &moves, |_, list| list.is_none_or(|list| told.send(list).is_ok()))
    };
    std::thread::spawn(follow);
    let late = first.query();
    let second_query = first.query();
    // An older list, one under an id that was never asked with, and one cut short tell nothing; the answer to
    // the query before the last one does.
    first.answer(second_query, 4, &["old.wien.hosts"]);
    first.answer((late.0 ^ second_query.0 ^ 0x5555, late.1), 9, &["stray.wien.hosts"]);
    let whole = answer(second_query.0, 9, &["cut.wien.hosts"]);
    first.0.send_to(&whole[..whole.len() - 9], second_query.1).expect("sent");
    first.answer(late, 6, &["a.wien.hosts", "b.wien.hosts"]);
    assert_eq!(names(&lists), ["a", "b"]);
    mover.send(second.source()).expect("it runs");
    let query = second.query();
    second.answer(query, 6, &["same.wien.hosts"]);
    second.answer(query, 7, &["c.wien.hosts"]);
    assert_eq!(names(&lists), ["c"]);
    assert!(lists.is_empty());
}
