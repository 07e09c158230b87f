//! A stand-in for the resolver, on a thread of its own.

use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use super::process::own_address;
use super::run::PORT;
use super::{Journal, Observation};
use crate::dns_answer::{ListedTarget, list_answer};

/// How often the thread looks whether it is to end.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(20);

#[derive(Debug)]
struct State {
    serial: u32,
    /// The list as each softswitch gets it: every exchange has an address of its own for each.
    lists: Vec<Vec<ListedTarget>>,
    silent: bool,
    stopped: bool,
}

/// A running resolver; it ends when it is dropped.
#[derive(Debug)]
pub struct Resolver {
    /// Where each softswitch sends its queries.
    pub addresses: Vec<SocketAddr>,
    state: Arc<Mutex<State>>,
    journal: Journal,
}

impl Resolver {
    /// Starts a resolver with a list for each softswitch, which has serial 1.
    pub fn start(lists: Vec<Vec<ListedTarget>>, journal: &Journal) -> Self {
        let softswitches = lists.len();
        let state = Arc::new(Mutex::new(State { serial: 1, lists, silent: false, stopped: false }));
        let addresses: Vec<SocketAddr> = (0..softswitches).map(|_| own_address(PORT)).collect();
        for (softswitch, address) in addresses.iter().enumerate() {
            let socket = UdpSocket::bind(address).expect("bind the resolver");
            socket.set_read_timeout(Some(STOP_CHECK_INTERVAL)).expect("set the read time-out");
            let state = state.clone();
            std::thread::spawn(move || answer_queries(softswitch, &socket, &state));
        }
        Self { addresses, state, journal: journal.clone() }
    }

    /// Answers no query, or answers again.
    pub fn set_silent(&self, silent: bool) {
        self.state.lock().expect("state").silent = silent;
        self.journal.note(Observation::ResolverSilent { on: silent });
    }

    /// Lists an exchange as draining, or no longer.
    pub fn withdraw(&self, exchange: usize, gone: bool) {
        let mut state = self.state.lock().expect("state");
        state.serial += 1;
        for list in &mut state.lists {
            list.iter_mut().filter(|entry| entry.cell == exchange).for_each(|entry| entry.draining = true);
            list.retain(|entry| !gone || entry.cell != exchange);
        }
        self.journal.note(Observation::ListedUnavailable { exchange });
    }
}

impl Drop for Resolver {
    fn drop(&mut self) {
        self.state.lock().expect("state").stopped = true;
    }
}

fn answer_queries(softswitch: usize, socket: &UdpSocket, state: &Mutex<State>) {
    /// Length of a DNS header.
    const HEADER_BYTES: usize = 12;
    let mut query = [0; 512];
    while !state.lock().expect("state").stopped {
        let Ok((length, from)) = socket.recv_from(&mut query) else { continue };
        let state = state.lock().expect("state");
        if length >= HEADER_BYTES && !state.silent {
            let id = u16::from_be_bytes([query[0], query[1]]);
            let _ = socket.send_to(&list_answer(id, state.serial, &state.lists[softswitch]), from);
        }
    }
}
