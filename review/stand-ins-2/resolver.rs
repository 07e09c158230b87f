//! A stand-in for the resolver: it answers each query with the whole list (RFC 1035) and the serial of its last event.

use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex};
use std::thread;

/// An exchange as the resolver lists it.
#[derive(Clone, Debug)]
pub struct Member {
    pub id: String,
    pub address: SocketAddr,
    pub zone: &'static str,
    pub number: u32,
    pub draining: bool,
    /// Unix ms of a late start, or 0.
    pub started: u64,
}

impl Member {
    pub fn new(id: &str, address: SocketAddr, zone: &'static str, number: u32) -> Self {
        Self { id: id.to_owned(), address, zone, number, draining: false, started: 0 }
    }

    /// The entry of the configuration's list.
    pub fn json(&self) -> String {
        format!(
            r#"{{"id":"{}","host_port":"{}","locality":"{}","flavor":"standard","cell":{},"phase":"{}","size":1,"up_since_ms":{}}}"#,
            self.id,
            self.address,
            self.zone,
            self.number,
            if self.draining { "terminating" } else { "in_service" },
            self.started
        )
    }
}

#[derive(Clone)]
pub struct Resolver {
    pub address: SocketAddr,
    list: Arc<Mutex<(u32, Vec<Member>)>>,
}

impl Resolver {
    pub fn start(list: Vec<Member>) -> std::io::Result<Self> {
        let socket = UdpSocket::bind("127.0.0.1:0")?;
        let this = Self { address: socket.local_addr()?, list: Arc::new(Mutex::new((1, list))) };
        let list = this.list.clone();
        thread::spawn(move || {
            let mut query = [0; 2048];
            while let Ok((length, from)) = socket.recv_from(&mut query) {
                let (serial, members) = list.lock().unwrap().clone();
                if let Some(answer) = answer(&query[..length], serial, &members) {
                    let _ = socket.send_to(&answer, from);
                }
            }
        });
        Ok(this)
    }

    /// Changes the list; the change is the next event.
    pub fn set(&self, members: Vec<Member>) {
        let mut list = self.list.lock().unwrap();
        *list = (list.0 + 1, members);
    }

    /// The number of the last event and the list.
    pub fn list(&self) -> (u32, Vec<Member>) {
        self.list.lock().unwrap().clone()
    }
}

fn name(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    for label in text.split('.') {
        bytes.push(label.len() as u8);
        bytes.extend(label.as_bytes());
    }
    bytes.push(0);
    bytes
}

fn resource(owner: &[u8], kind: u16, data: &[u8]) -> Vec<u8> {
    let mut bytes = owner.to_vec();
    for field in [kind, 1, 0, 5, data.len() as u16] {
        bytes.extend(field.to_be_bytes());
    }
    bytes.extend(data);
    bytes
}

fn answer(query: &[u8], serial: u32, members: &[Member]) -> Option<Vec<u8>> {
    let mut end = 12;
    while *query.get(end)? != 0 {
        end += usize::from(query[end]) + 1;
    }
    let question = query.get(12..end + 5)?;
    let mut bytes = query.get(..2)?.to_vec();
    for field in [0x8400, 1, members.len() as u16, 1, 2 * members.len() as u16] {
        bytes.extend(u16::to_be_bytes(field));
    }
    bytes.extend(question);
    let mut additional = Vec::new();
    for member in members {
        let SocketAddr::V4(address) = member.address else { return None };
        let target = name(&format!("{}.{}.hosts", member.id, member.zone));
        let mut service = Vec::new();
        for field in [u16::from(member.draining), 40, address.port()] {
            service.extend(field.to_be_bytes());
        }
        service.extend(&target);
        bytes.extend(resource(&name("_api._tcp.svc.local"), 33, &service));
        additional.extend(resource(&target, 1, &address.ip().octets()));
        let mut texts = Vec::new();
        for text in
            ["kind=standard", &format!("cell={}", member.number), &format!("started={}", member.started)]
        {
            texts.push(text.len() as u8);
            texts.extend(text.as_bytes());
        }
        additional.extend(resource(&target, 16, &texts));
    }
    let mut authority = [name("ns.svc.local"), name("host.svc.local")].concat();
    for field in [serial, 1, 1, 1, 1] {
        authority.extend(field.to_be_bytes());
    }
    bytes.extend(resource(&name("svc.local"), 6, &authority));
    bytes.extend(additional);
    Some(bytes)
}
