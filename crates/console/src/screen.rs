//! The interactive console: reads keys, polls the softswitches in threads and redraws the screen. The state of the
//! terminal is restored when the console ends, also after an error or a panic.

use std::io;
use std::net::SocketAddr;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::{Duration, Instant};

use ratatui::DefaultTerminal;
use ratatui::crossterm::event::{self, Event, KeyCode, KeyEvent, KeyEventKind, KeyModifiers};

use crate::fetch::fetch_snapshot;
use crate::model::{Model, Snapshot};
use crate::replay::Replay;
use crate::view;

/// Interval between two polls of a softswitch.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of a poll, for the connect and for each read and write.
const POLL_TIMEOUT: Duration = Duration::from_millis(900);
/// Longest wait for a key before the screen is drawn again.
const REDRAW_INTERVAL: Duration = Duration::from_millis(100);
/// Recorded time that one key press moves the playback back or forward.
const SEEK_STEP: Duration = Duration::from_secs(10);

/// Command that a key stands for; `None` if the key is unknown or [`handle_key`] already applied it to the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum KeyCommand {
    None,
    Quit,
    TogglePause,
    Faster,
    Slower,
    SeekBack,
    SeekForward,
}

/// Handles a key: sort order, filter and scrolling are changed in the model, other commands are returned.
fn handle_key(model: &mut Model, key: KeyEvent) -> KeyCommand {
    if key.kind == KeyEventKind::Release {
        return KeyCommand::None;
    }
    if key.modifiers.contains(KeyModifiers::CONTROL) && key.code == KeyCode::Char('c') {
        return KeyCommand::Quit;
    }
    if model.editing_filter {
        match key.code {
            KeyCode::Enter => model.editing_filter = false,
            KeyCode::Esc => {
                model.editing_filter = false;
                model.filter.clear();
            }
            KeyCode::Backspace => drop(model.filter.pop()),
            KeyCode::Char(c) => model.filter.push(c),
            _ => {}
        }
        return KeyCommand::None;
    }
    match key.code {
        KeyCode::Char('q') => return KeyCommand::Quit,
        KeyCode::Char('s') => model.sort_order = model.sort_order.next(),
        KeyCode::Char('/') => model.editing_filter = true,
        KeyCode::Esc => model.filter.clear(),
        KeyCode::Down => model.scroll += 1,
        KeyCode::Up => model.scroll = model.scroll.saturating_sub(1),
        KeyCode::Char(' ') => return KeyCommand::TogglePause,
        KeyCode::Char('+') => return KeyCommand::Faster,
        KeyCode::Char('-') => return KeyCommand::Slower,
        KeyCode::Left => return KeyCommand::SeekBack,
        KeyCode::Right => return KeyCommand::SeekForward,
        _ => {}
    }
    KeyCommand::None
}

/// Waits up to [`REDRAW_INTERVAL`] for a key. Other events, such as a resize, end the wait without a key.
fn next_key() -> io::Result<Option<KeyEvent>> {
    if !event::poll(REDRAW_INTERVAL)? {
        return Ok(None);
    }
    Ok(match event::read()? {
        Event::Key(key) => Some(key),
        _ => None,
    })
}

/// Index of a source of the model, and the result of polling it.
type PollResult = (usize, Result<Snapshot, String>);

/// Polls one softswitch until the receiver of the results is dropped.
fn poll_softswitch(source: usize, address: SocketAddr, results: &Sender<PollResult>) {
    loop {
        let begin = Instant::now();
        if results.send((source, fetch_snapshot(address, POLL_TIMEOUT))).is_err() {
            return;
        }
        thread::sleep(POLL_INTERVAL.saturating_sub(begin.elapsed()));
    }
}

/// Shows the softswitches at these addresses of their HTTP interface for operators until the user quits.
///
/// # Errors
/// If a thread cannot be started or the terminal cannot be read or written.
pub fn run_live(addresses: &[SocketAddr]) -> io::Result<()> {
    let (results, result_queue) = channel();
    for (source, address) in addresses.iter().copied().enumerate() {
        let results = results.clone();
        thread::Builder::new()
            .name(format!("watch {address}"))
            .spawn(move || poll_softswitch(source, address, &results))?;
    }
    ratatui::run(|terminal| live_loop(terminal, addresses, &result_queue))
}

fn live_loop(
    terminal: &mut DefaultTerminal,
    addresses: &[SocketAddr],
    result_queue: &Receiver<PollResult>,
) -> io::Result<()> {
    let started = Instant::now();
    let mut model = Model::new(addresses.iter().map(ToString::to_string));
    loop {
        model.now = started.elapsed();
        for (source, result) in result_queue.try_iter() {
            model.update(source, started.elapsed(), result);
        }
        terminal.draw(|frame| view::draw(frame, &model))?;
        if next_key()?.is_some_and(|key| handle_key(&mut model, key) == KeyCommand::Quit) {
            return Ok(());
        }
    }
}

/// Plays records back until the user quits.
///
/// # Errors
/// If the terminal cannot be read or written.
pub fn run_replay(mut replay: Replay) -> io::Result<()> {
    ratatui::run(|terminal| replay_loop(terminal, &mut replay))
}

fn replay_loop(terminal: &mut DefaultTerminal, replay: &mut Replay) -> io::Result<()> {
    let (mut paused, mut speed) = (false, 1_u32);
    let mut last_frame = Instant::now();
    loop {
        let elapsed = std::mem::replace(&mut last_frame, Instant::now()).elapsed();
        if !paused {
            replay.advance(elapsed * speed);
        }
        let (_, position) = replay.position();
        let status = match (paused, replay.is_finished()) {
            (_, true) => "the end".to_owned(),
            (true, _) => "paused".to_owned(),
            _ => format!("{speed}x"),
        };
        replay.model().playback_status = format!("recorded +{:.1}s {status}", position.as_secs_f64());
        let model = replay.model();
        terminal.draw(|frame| view::draw(frame, model))?;
        let Some(key) = next_key()? else { continue };
        match handle_key(replay.model(), key) {
            KeyCommand::None => {}
            KeyCommand::Quit => return Ok(()),
            KeyCommand::TogglePause => paused = !paused,
            KeyCommand::Faster => speed = (speed * 2).min(64),
            KeyCommand::Slower => speed = (speed / 2).max(1),
            KeyCommand::SeekBack => replay.seek(position.saturating_sub(SEEK_STEP)),
            KeyCommand::SeekForward => replay.seek(position + SEEK_STEP),
        }
    }
}
