//! Adapter between the simulator's protocol and the decision module: runs many controllers in one process.
//!
//! Reads batches from standard input, passes each event to the controller of its instance, and writes and
//! flushes one reply for each batch. A malformed frame or invalid settings end the process with a message on standard
//! error and exit status 1.

use std::collections::BTreeMap;
use std::error::Error;
use std::io::{self, Read, Write};
use std::process::ExitCode;

use swiftlb::Controller;
use swiftlb::interface::Action;
use swiftlb::wire::{ExchangeLists, Header, Message, Reply, read_batch};

fn main() -> ExitCode {
    match run(io::stdin().lock(), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("swiftlb-benchlink: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(mut input: impl Read, mut output: impl Write) -> Result<(), Box<dyn Error>> {
    let mut controllers: BTreeMap<u16, Controller> = BTreeMap::new();
    let mut lists = ExchangeLists::default();
    let mut reply = Reply::default();
    let mut body = Vec::new();
    let mut actions: Vec<Action> = Vec::new();
    loop {
        let mut raw = Vec::with_capacity(Header::BYTES);
        input.by_ref().take(Header::BYTES as u64).read_to_end(&mut raw)?;
        if raw.is_empty() {
            return Ok(());
        }
        let header = Header::read(&raw)?;
        body.clear();
        input.by_ref().take(header.bytes.into()).read_to_end(&mut body)?;
        let mut start_error: Option<Box<dyn Error>> = None;
        read_batch(header, &body, &mut lists, |instance, message| match message {
            Message::Start { seed, settings } => match Controller::new(*settings, seed) {
                Ok(controller) => drop(controllers.insert(instance, controller)),
                Err(error) => start_error = Some(error.into()),
            },
            Message::Stop => drop(controllers.remove(&instance)),
            Message::Event(event) => {
                if let Some(controller) = controllers.get_mut(&instance) {
                    controller.handle(header.now_ms, event, &mut actions);
                    reply.push(instance, &actions);
                    actions.clear();
                }
            }
        })?;
        if let Some(error) = start_error {
            return Err(error);
        }
        output.write_all(&reply.finish())?;
        output.flush()?;
    }
}
