//! Adapter between the simulator's wire and the decision module: many controllers in one process.
//!
//! Reads batches from standard input, hands each event to its instance, writes one reply a batch and flushes.
//! A malformed frame ends the process with a message on standard error and a non-zero exit.

use std::collections::BTreeMap;
use std::error::Error;
use std::io::{self, Read, Write};
use std::process::ExitCode;

use swiftlb::Controller;
use swiftlb::interface::Action;
use swiftlb::wire::{Banks, Header, Message, Reply, read_batch};

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
    let mut banks = Banks::default();
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
        let mut fault: Option<Box<dyn Error>> = None;
        read_batch(header, &body, &mut banks, |instance, message| match message {
            Message::Start { seed, settings } => match Controller::new(*settings, seed) {
                Ok(controller) => drop(controllers.insert(instance, controller)),
                Err(error) => fault = Some(error.into()),
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
        if let Some(error) = fault {
            return Err(error);
        }
        output.write_all(&reply.finish())?;
        output.flush()?;
    }
}
