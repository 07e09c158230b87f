//! A stand-in for the resolver, on a thread of its own.

use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use super::{Journal, Observation};
use crate::dns_answer::{ListedTarget, list_answer};

/// How often the thread looks whether it is to end.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(20);

#[derive(Debug)]
struct State {
    serial: u32,
    list: Vec<ListedTarget>,
    silent: bool,
    stopped: bool,
}

/// A running resolver; it ends when it is dropped.
#[derive(Debug)]
pub struct Resolver {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    journal: Journal,
}

impl Resolver {
    /// Starts a resolver with this list, which has serial 1.
    pub fn start(address: SocketAddr, list: Vec<ListedTarget>, journal: &Journal) -> Self {
        let socket = UdpSocket::bind(address).expect("bind the resolver");
        socket.set_read_timeout(Some(STOP_CHECK_INTERVAL)).expect("set the read time-out");
        let state = Arc::new(Mutex::new(State { serial: 1, list, silent: false, stopped: false }));
        let shared = state.clone();
        std::thread::spawn(move || {
            let mut query = [0; 512];
            while !shared.lock().expect("state").stopped {
                let Ok((length, from)) = socket.recv_from(&mut query) else { continue };
                let state = shared.lock().expect("state");
                if length >= 12 && !state.silent {
                    let id = u16::from_be_bytes([query[0], query[1]]);
                    let _ = socket.send_to(&list_answer(id, state.serial, &state.list), from);
                }
            }
        });
        Self { address, state, journal: journal.clone() }
    }

    /// Answers no query, or answers again.
    pub fn set_silent(&self, silent: bool) {
        self.state.lock().expect("state").silent = silent;
    }

    /// Lists an exchange as draining, or no longer.
    pub fn withdraw(&self, exchange: usize, gone: bool) {
        let mut state = self.state.lock().expect("state");
        state.serial += 1;
        state.list.iter_mut().filter(|entry| entry.cell == exchange).for_each(|entry| entry.draining = true);
        if gone {
            state.list.retain(|entry| entry.cell != exchange);
        }
        self.journal.note(Observation::ListedUnavailable { exchange });
    }
}

impl Drop for Resolver {
    fn drop(&mut self) {
        self.state.lock().expect("state").stopped = true;
    }
}
