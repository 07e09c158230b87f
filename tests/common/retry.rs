//! Repeats blocking socket calls that a signal interrupted.

use std::io::{ErrorKind, Result};
use std::time::{Duration, Instant};

/// Repeats a call that fails with `EINTR`. A socket call with a read time-out fails so when its process was stopped and
/// continued meanwhile, and the standard library repeats neither `recv` nor `peek`. All repetitions together have to
/// succeed within `limit`, as a call that is not interrupted does by its read time-out.
pub fn retry_interrupted<T>(limit: Duration, mut call: impl FnMut() -> Result<T>) -> Result<T> {
    let deadline = Instant::now() + limit;
    let mut was_interrupted = false;
    loop {
        let result = call();
        let is_interrupted = matches!(&result, Err(error) if error.kind() == ErrorKind::Interrupted);
        was_interrupted |= is_interrupted;
        if was_interrupted && Instant::now() >= deadline {
            return Err(ErrorKind::TimedOut.into());
        }
        if !is_interrupted {
            return result;
        }
    }
}
