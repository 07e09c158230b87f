//! A link to an exchange: it passes bytes on after a delay. When told to, it resets its connections, and what is on its way
//! is lost then, as when a network path breaks; or its far end vanishes: connections stay open and say nothing, and new ones
//! never come up.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, mpsc};
use std::time::{Duration, Instant};

unsafe extern "C" {
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn listen(fd: i32, backlog: i32) -> i32;
}

/// Makes the close of a connection a reset (SO_LINGER with a time of 0).
fn close_by_reset(stream: &TcpStream) {
    const SOL_SOCKET: i32 = 1;
    const SO_LINGER: i32 = 13;
    let linger = [1_i32, 0];
    // SAFETY: the descriptor is open, and the value is a `struct linger` of two ints that lives for the call.
    let result = unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, linger.as_ptr(), 8) };
    assert!(result == 0, "SO_LINGER");
}

#[derive(Default)]
struct State {
    /// The connections of an earlier generation were reset.
    generation: AtomicU64,
    /// Connections of this generation and earlier ones say nothing any more; 0 for none.
    silent_up_to: AtomicU64,
    /// No connection is accepted.
    vanished: AtomicBool,
    /// Connections of the link itself, which fill the backlog while the far end has vanished.
    fillers: Mutex<Vec<TcpStream>>,
}

/// A link; its connections are those of the present generation.
pub struct Link {
    state: Arc<State>,
    listener: Arc<TcpListener>,
    address: SocketAddr,
}

impl Link {
    pub fn open(address: SocketAddr, to: SocketAddr, delay: Duration) -> Self {
        let listener = Arc::new(TcpListener::bind(address).expect("bind the link"));
        listener.set_nonblocking(true).expect("non-blocking listener");
        let state = Arc::new(State::default());
        state.generation.store(1, Ordering::SeqCst);
        let (shared, accepting) = (state.clone(), listener.clone());
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(1));
                if shared.vanished.load(Ordering::SeqCst) {
                    continue;
                }
                let Ok((near, from)) = accepting.accept() else { continue };
                let fillers = shared.fillers.lock().expect("fillers");
                if fillers.iter().any(|filler| filler.local_addr().is_ok_and(|own| own == from)) {
                    continue;
                }
                drop(fillers);
                // Nobody listens at the exchange: the connection ends at once.
                let Ok(far) = TcpStream::connect(to) else { continue };
                for stream in [&near, &far] {
                    let _ = stream.set_nonblocking(false);
                    let _ = stream.set_nodelay(true);
                    stream.set_read_timeout(Some(Duration::from_millis(1))).expect("time-out");
                    close_by_reset(stream);
                }
                let born = shared.generation.load(Ordering::SeqCst);
                let (near, far) = (Arc::new(near), Arc::new(far));
                carry(near.clone(), far.clone(), delay, shared.clone(), born);
                carry(far, near, delay, shared.clone(), born);
            }
        });
        Self { state, listener, address }
    }

    pub fn reset(&self) {
        self.state.generation.fetch_add(1, Ordering::SeqCst);
    }

    /// The far end vanishes.
    pub fn vanish(&self) {
        let generation = self.state.generation.load(Ordering::SeqCst);
        self.state.silent_up_to.store(generation, Ordering::SeqCst);
        self.state.vanished.store(true, Ordering::SeqCst);
        // A full backlog: the system drops what asks for another connection, as if nobody was there.
        // SAFETY: the descriptor is that of an open listening socket.
        assert!(unsafe { listen(self.listener.as_raw_fd(), 0) } == 0, "listen");
        let mut fillers = self.state.fillers.lock().expect("fillers");
        while let Ok(filler) = TcpStream::connect_timeout(&self.address, Duration::from_millis(100)) {
            fillers.push(filler);
            assert!(fillers.len() < 20, "the backlog does not fill");
        }
    }

    /// The far end is back; connections from before stay silent.
    pub fn come_back(&self) {
        // Connections that are accepted from now on are of another generation; those before it are not reset.
        self.state.generation.fetch_add(1, Ordering::SeqCst);
        // SAFETY: as above.
        assert!(unsafe { listen(self.listener.as_raw_fd(), 128) } == 0, "listen");
        self.state.vanished.store(false, Ordering::SeqCst);
    }
}

/// Carries bytes in one direction. Both ends are dropped, and so reset, when the generation is over, unless they are silent:
/// then they stay open, and nothing is passed on. An orderly end is passed on after the delay, too.
fn carry(from: Arc<TcpStream>, to: Arc<TcpStream>, delay: Duration, state: Arc<State>, born: u64) {
    let (sender, receiver) = mpsc::channel::<(Instant, Option<Vec<u8>>)>();
    let is_silent = {
        let state = state.clone();
        move || born <= state.silent_up_to.load(Ordering::SeqCst)
    };
    let is_over = {
        let is_silent = is_silent.clone();
        move || state.generation.load(Ordering::SeqCst) != born && !is_silent()
    };
    let (writer_is_over, writer_is_silent) = (is_over.clone(), is_silent.clone());
    std::thread::spawn(move || {
        while !writer_is_over() {
            let Ok((at, bytes)) = receiver.recv_timeout(Duration::from_millis(1)) else { continue };
            while Instant::now() < at {
                if writer_is_over() {
                    return;
                }
                std::thread::sleep(Duration::from_micros(300));
            }
            match bytes {
                _ if writer_is_silent() => {}
                Some(bytes) => drop((&*to).write_all(&bytes)),
                None => {
                    let _ = to.shutdown(std::net::Shutdown::Write);
                    return;
                }
            }
        }
    });
    std::thread::spawn(move || {
        let mut bytes = [0; 4096];
        while !is_over() {
            match (&*from).read(&mut bytes) {
                Ok(length) => {
                    let data = (length > 0).then(|| bytes[..length].to_vec());
                    if sender.send((Instant::now() + delay, data)).is_err() {
                        break;
                    }
                    if length == 0 && !is_silent() {
                        break;
                    }
                    if length == 0 {
                        std::thread::sleep(Duration::from_millis(20));
                    }
                }
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(_) if is_silent() => std::thread::sleep(Duration::from_millis(20)),
                Err(_) => {
                    let _ = sender.send((Instant::now() + delay, None));
                    break;
                }
            }
        }
    });
}
