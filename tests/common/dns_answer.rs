//! Answers of a simulated resolver.
#![allow(dead_code)]

use std::net::SocketAddrV4;

use simple_dns::rdata::{A, RData, SOA, SRV, TXT};
use simple_dns::{CLASS, Name, Packet, ResourceRecord};

/// An exchange as the resolver lists it.
#[derive(Clone, Debug)]
pub struct ListedTarget {
    /// Name and zone, as in `a.wien.hosts`.
    pub target: String,
    pub address: SocketAddrV4,
    pub draining: bool,
    pub cell: usize,
    /// Unix time of a late start in ms; 0 for long ago.
    pub started_ms: u64,
}

impl ListedTarget {
    /// An exchange with number 2 that is ready, at an address that no test connects to.
    pub fn ready(target: &str) -> Self {
        let address = SocketAddrV4::new([127, 0, 0, 1].into(), 5070);
        Self { target: target.to_owned(), address, draining: false, cell: 2, started_ms: 0 }
    }
}

/// A complete answer that lists these exchanges.
pub fn list_answer(id: u16, serial: u32, exchanges: &[ListedTarget]) -> Vec<u8> {
    let service = Name::new_unchecked("_api._tcp.svc.local");
    let mut packet = Packet::new_reply(id);
    for exchange in exchanges {
        let target = Name::new_unchecked(&exchange.target).into_owned();
        let record = |name: &Name<'static>, data| ResourceRecord::new(name.clone(), CLASS::IN, 0, data);
        let (priority, port) = (u16::from(exchange.draining), exchange.address.port());
        let srv = SRV { priority, weight: 10, port, target: target.clone() };
        packet.answers.push(record(&service, RData::SRV(srv)));
        let address = u32::from(*exchange.address.ip());
        packet.additional_records.push(record(&target, RData::A(A { address })));
        let (cell, started) = (format!("cell={}", exchange.cell), format!("started={}", exchange.started_ms));
        let text = ["kind=std", &cell, &started]
            .into_iter()
            .try_fold(TXT::new(), |text, part| text.with_string(part))
            .expect("valid text record")
            .into_owned();
        packet.additional_records.push(record(&target, RData::TXT(text)));
    }
    let (mname, rname) = (service.clone(), service.clone());
    let soa = SOA { mname, rname, serial, refresh: 1, retry: 1, expire: 1, minimum: 1 };
    packet.name_servers.push(ResourceRecord::new(service, CLASS::IN, 0, RData::SOA(soa)));
    packet.build_bytes_vec().expect("build the answer")
}
