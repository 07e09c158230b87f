//! The resolver's client against a simulated resolver on loopback: which lists are accepted, and a change of the
//! resolver's address.

#[path = "common/dns_answer.rs"]
mod dns_answer;
#[path = "common/retry.rs"]
mod retry;

use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;

use crossbeam_channel::{Receiver, Sender, bounded};
use dns_answer::{ListedTarget, list_answer};
use retry::retry_interrupted;
use swiftlb::engine::ListEntry;
use swiftlb::net::dns::{self, ListSource};

/// Time-out of every wait; a test that reaches it fails.
const TIMEOUT: Duration = Duration::from_secs(8);

struct Resolver(UdpSocket);

impl Resolver {
    fn new() -> Self {
        let socket = UdpSocket::bind("127.0.0.1:0").expect("bind a loopback port");
        socket.set_read_timeout(Some(TIMEOUT)).expect("set the read time-out");
        Self(socket)
    }

    fn source(&self) -> ListSource {
        ListSource { resolver: self.0.local_addr().expect("local address"), zones: vec!["wien".to_owned()] }
    }

    /// Waits for a query; returns its id and the address that it came from.
    fn query(&self) -> (u16, SocketAddr) {
        let mut bytes = [0; 512];
        let (_, from) = retry_interrupted(TIMEOUT, || self.0.recv_from(&mut bytes)).expect("receive a query");
        (u16::from_be_bytes([bytes[0], bytes[1]]), from)
    }

    fn answer(&self, (id, to): (u16, SocketAddr), serial: u32, exchanges: &[&str]) {
        self.0.send_to(&answer(id, serial, exchanges), to).expect("send a message");
    }
}

/// A complete answer that lists these exchanges.
fn answer(id: u16, serial: u32, exchanges: &[&str]) -> Vec<u8> {
    let exchanges: Vec<ListedTarget> = exchanges.iter().map(|target| ListedTarget::ready(target)).collect();
    list_answer(id, serial, &exchanges)
}

fn names(list: &Receiver<Vec<ListEntry>>) -> Vec<String> {
    let list = list.recv_timeout(TIMEOUT).expect("list before the time-out");
    list.iter().map(|entry| entry.name.to_string()).collect()
}

#[test]
fn serials_are_compared_across_the_wrap_around() {
    assert!(
        dns::is_newer_serial(2, 1)
            && dns::is_newer_serial(0, u32::MAX)
            && dns::is_newer_serial(5, u32::MAX - 5)
    );
    assert!(!dns::is_newer_serial(1, 1) && !dns::is_newer_serial(1, 2) && !dns::is_newer_serial(u32::MAX, 0));
}

/// Starts the client with serial 5; returns the lists that it reports, and the sender of new sources.
fn follow(source: ListSource) -> (Receiver<Vec<ListEntry>>, Sender<ListSource>) {
    let (list_sender, lists) = bounded(16);
    let (source_sender, source_changes) = bounded(1);
    let on_list = move |_, list: Option<_>| list.is_none_or(|list| list_sender.send(list).is_ok());
    std::thread::spawn(move || dns::follow_list(source, 5, 1, &source_changes, on_list));
    (lists, source_sender)
}

/// Guards against a resolver that is slow, so that no answer counts and the list never changes, though answers arrive all
/// the time.
#[test]
fn an_answer_counts_however_late_it_is() {
    let resolver = Resolver::new();
    let (lists, _sources) = follow(resolver.source());
    let queries: Vec<_> = (0..40).map(|_| resolver.query()).collect();
    resolver.answer(queries[0], 6, &["a.wien.hosts"]);
    assert_eq!(names(&lists), ["a"], "3.9 s after its query");
    resolver.answer(queries[20], 7, &["b.wien.hosts"]);
    assert_eq!(names(&lists), ["b"]);
}

/// Guards against the same where the configuration is reloaded in quick succession, more often than answers arrive.
#[test]
fn an_answer_counts_after_reloads_that_keep_or_change_the_address_of_the_resolver() {
    let (first, second) = (Resolver::new(), Resolver::new());
    let (lists, sources) = follow(first.source());
    let query = first.query();
    sources.send(first.source()).expect("a running client");
    let (_, kept) = (first.query(), first.query());
    first.answer(query, 6, &["a.wien.hosts"]);
    assert_eq!(names(&lists), ["a"]);
    sources.send(second.source()).expect("a running client");
    second.query();
    first.answer(kept, 7, &["b.wien.hosts"]);
    assert_eq!(names(&lists), ["b"]);
    // An answer to that query counts only if the resolver that got it sends it.
    second.answer(kept, 8, &["stray.wien.hosts"]);
    second.answer(second.query(), 9, &["c.wien.hosts"]);
    assert_eq!(names(&lists), ["c"]);
}

#[test]
fn only_newer_lists_are_accepted_also_from_late_answers_and_after_a_change_of_the_resolver() {
    let (first, second) = (Resolver::new(), Resolver::new());
    let (lists, source_sender) = follow(first.source());
    let earlier_query = first.query();
    let later_query = first.query();
    // Ignored: an older list, an answer with an unknown id and a truncated answer. Accepted: the answer to the query
    // before the last one.
    first.answer(later_query, 4, &["old.wien.hosts"]);
    first.answer((earlier_query.0 ^ later_query.0 ^ 0x5555, earlier_query.1), 9, &["stray.wien.hosts"]);
    let complete = answer(later_query.0, 9, &["cut.wien.hosts"]);
    first.0.send_to(&complete[..complete.len() - 9], later_query.1).expect("send a message");
    first.answer(earlier_query, 6, &["a.wien.hosts", "b.wien.hosts"]);
    assert_eq!(names(&lists), ["a", "b"]);
    source_sender.send(second.source()).expect("running event loop");
    let query = second.query();
    second.answer(query, 6, &["same.wien.hosts"]);
    second.answer(query, 7, &["c.wien.hosts"]);
    assert_eq!(names(&lists), ["c"]);
    assert!(lists.is_empty());
}
