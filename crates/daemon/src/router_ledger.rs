//! The ledger as the event loop sees it: written, suspended for a successor, or given up to it.

use std::os::fd::OwnedFd;
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};

use chalkyard_budget::{Record, Settled};
use tracing::warn;

use crate::budget_runtime::Ledger;

/// Records that wait while the ledger is suspended, and settlements that may wait to be sent to the successor: as many as
/// requests can be open.
const MAX_PENDING_RECORDS: usize = 100_000;

/// Who writes the ledger.
pub enum RouterLedger {
    /// Budgets are not enforced.
    Absent,
    /// This process.
    Active(Ledger),
    /// Nobody: a successor reads it. The records of this process wait.
    Suspended(Ledger, Vec<(u64, Record)>),
    /// A successor, which gets the settlements of this process.
    Released(SyncSender<Settled>),
}

impl RouterLedger {
    /// Adds a record to the next write, or sends a settlement to the successor.
    pub fn record(&mut self, number: u64, record: &Record) {
        match self {
            Self::Absent => {}
            Self::Active(ledger) => ledger.record(number, record),
            Self::Suspended(_, deferred) if deferred.len() < MAX_PENDING_RECORDS => {
                deferred.push((number, record.clone()))
            }
            Self::Suspended(..) => {
                warn!(target: "ledger", number, "too many records while a successor takes over")
            }
            Self::Released(successor) => send_settlement(successor, record),
        }
    }

    /// Writes all added records; returns whether the ledger is writable.
    pub fn flush(&mut self) -> bool {
        match self {
            Self::Absent => true,
            Self::Active(ledger) => ledger.flush(),
            Self::Suspended(..) | Self::Released(_) => false,
        }
    }

    /// The ledger, if this process writes it.
    pub fn active(&mut self) -> Option<&mut Ledger> {
        match self {
            Self::Active(ledger) => Some(ledger),
            _ => None,
        }
    }

    /// Returns the lock of the ledger for a successor, if there is a ledger.
    ///
    /// # Errors
    /// No descriptor is left.
    pub fn share_lock(&self) -> std::io::Result<Option<OwnedFd>> {
        match self {
            Self::Active(ledger) => ledger.share_lock(),
            _ => Ok(None),
        }
    }

    /// Writes what was added, and nothing from then on.
    pub fn suspend(&mut self) {
        *self = match std::mem::replace(self, Self::Absent) {
            Self::Active(mut ledger) => {
                // A successor settles requests as orphaned whose records cannot be written now.
                ledger.flush();
                Self::Suspended(ledger, Vec::new())
            }
            other => other,
        };
    }

    /// Writes the records that waited; returns whether the ledger is writable.
    pub fn resume(&mut self) -> bool {
        *self = match std::mem::replace(self, Self::Absent) {
            Self::Suspended(mut ledger, deferred) => {
                for (number, record) in &deferred {
                    ledger.record(*number, record);
                }
                Self::Active(ledger)
            }
            other => other,
        };
        self.flush()
    }

    /// Gives the ledger up. Returns the channel of the settlements since it was suspended.
    pub fn release(&mut self) -> Option<Receiver<Settled>> {
        let Self::Suspended(_, deferred) = self else { return None };
        let (successor, settled) = sync_channel(MAX_PENDING_RECORDS);
        for (_, record) in deferred {
            send_settlement(&successor, record);
        }
        *self = Self::Released(successor);
        Some(settled)
    }
}

fn send_settlement(successor: &SyncSender<Settled>, record: &Record) {
    if let Record::Settled(settled) = record {
        if successor.try_send(settled.clone()).is_err() {
            warn!(target: "ledger", id = &*settled.id, "the successor does not get a settlement");
        }
    }
}
