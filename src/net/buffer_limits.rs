//! Limits of the memory that callers can take up with incomplete lines, and with replies that they do not read.

/// Share of the memory limit of the process that the buffers of one kind may use together.
const BUFFER_SHARE: usize = 6;
/// Bounds of that share, in bytes.
const MIN_BUFFER_BYTES: usize = 1 << 20;
const MAX_BUFFER_BYTES: usize = 8 << 20;

/// The bytes that all buffers of one kind may hold together, in a process with this memory limit.
pub fn max_buffer_bytes(memory_limit_bytes: usize) -> usize {
    (memory_limit_bytes / BUFFER_SHARE).clamp(MIN_BUFFER_BYTES, MAX_BUFFER_BYTES)
}

/// The largest buffers that have to be given up so that the rest fits into a limit, as ids and sizes in bytes.
pub fn largest_beyond<Id>(buffers: impl Iterator<Item = (Id, usize)>, max_bytes: usize) -> Vec<(Id, usize)> {
    let mut buffers: Vec<(Id, usize)> = buffers.filter(|(_, bytes)| *bytes > 0).collect();
    let mut total: usize = buffers.iter().map(|(_, bytes)| bytes).sum();
    if total <= max_bytes {
        return Vec::new();
    }
    buffers.sort_by_key(|(_, bytes)| std::cmp::Reverse(*bytes));
    let mut given_up = Vec::new();
    for (id, bytes) in buffers {
        if total <= max_bytes {
            break;
        }
        total -= bytes;
        given_up.push((id, bytes));
    }
    given_up
}
