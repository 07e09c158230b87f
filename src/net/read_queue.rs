//! The order in which caller connections with data are read.
//!
//! Start-time fair queuing: reading a connection costs it virtual time, and the one that has used the least is read next. A
//! client that sends at full speed waits behind those that send little, however many lines it has sent; one that was idle
//! gets its turn at once, and gains nothing for later.

use std::collections::{BTreeSet, HashMap};

use crate::engine::CallerConnId;

/// Virtual time that a line costs, in addition to 1 for each byte: handling a line costs about as much as reading this many
/// bytes.
const LINE_COST: u64 = 256;
/// How many times cheaper a connection is on which calls were served: a sound caller does not wait for strangers.
const SERVED_DISCOUNT: u64 = 8;

/// What was read from a connection at one turn.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReadAmount {
    /// Number of bytes.
    pub bytes: u64,
    /// Number of lines.
    pub lines: u64,
}

/// The virtual time of a connection.
#[derive(Clone, Copy, Debug, Default)]
struct Account {
    /// When the connection has paid for what was read from it.
    paid_until: u64,
    /// Whether calls were served on it.
    is_served: bool,
    /// Its position while it waits to be read.
    waits_since: Option<u64>,
}

/// The caller connections that wait to be read.
#[derive(Debug, Default)]
pub struct ReadQueue {
    waiting: BTreeSet<(u64, CallerConnId)>,
    accounts: HashMap<CallerConnId, Account>,
    /// Virtual time.
    now: u64,
}

impl ReadQueue {
    /// Adds a connection that has data; no effect if it waits already.
    pub fn add(&mut self, conn: CallerConnId) {
        let account = self.accounts.entry(conn).or_default();
        if account.waits_since.is_none() {
            let position = account.paid_until.max(self.now);
            account.waits_since = Some(position);
            self.waiting.insert((position, conn));
        }
    }

    /// Takes the connection that is to be read next.
    pub fn take_next(&mut self) -> Option<CallerConnId> {
        let (position, conn) = self.waiting.pop_first()?;
        self.now = self.now.max(position);
        if let Some(account) = self.accounts.get_mut(&conn) {
            account.waits_since = None;
        }
        Some(conn)
    }

    /// Charges a connection for what was read from it. Virtual time goes on by its share, so that clients which come again
    /// under new connections, without a debt, do not keep those from their turn that have paid.
    pub fn charge(&mut self, conn: CallerConnId, amount: ReadAmount) {
        let now = self.now;
        let Some(account) = self.accounts.get_mut(&conn) else { return };
        let discount = if account.is_served { SERVED_DISCOUNT } else { 1 };
        let cost = (amount.bytes + LINE_COST * amount.lines) / discount;
        account.paid_until = account.paid_until.max(now) + cost;
        self.now += cost / (self.waiting.len() as u64 + 1);
    }

    /// Registers that a call was served on a connection.
    pub fn mark_served(&mut self, conn: CallerConnId) {
        self.accounts.entry(conn).or_default().is_served = true;
    }

    /// Forgets a connection that is closed.
    pub fn remove(&mut self, conn: CallerConnId) {
        if let Some(position) = self.accounts.remove(&conn).and_then(|account| account.waits_since) {
            self.waiting.remove(&(position, conn));
        }
    }

    /// Whether no connection waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
