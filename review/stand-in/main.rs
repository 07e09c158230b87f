//! Stand-ins and drivers of the review cases, without any library.
//!
//! `stand-in case NAME RECORD` plays a case and exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
//! `stand-in exchange ...` and `stand-in iax2-exchange ...` are the exchanges, which a case starts as own processes.

mod cases;
mod exchange;
mod iax2;
mod platform;
mod proxy;

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    match args.as_slice() {
        ["exchange", rest @ ..] => exchange::run(rest),
        ["iax2-exchange", address] => iax2::run(address),
        ["case", name, record] => {
            let (name, record) = (name.to_string(), record.to_string());
            // A case that panics could not run; its processes end with it.
            let verdict = std::panic::catch_unwind(|| cases::play(&name, &record));
            std::process::exit(match verdict {
                Ok(true) => 0,
                Ok(false) => 1,
                Err(_) => 2,
            });
        }
        _ => {
            eprintln!("usage: stand-in case NAME RECORD | exchange ... | iax2-exchange ADDRESS");
            std::process::exit(2);
        }
    }
}
