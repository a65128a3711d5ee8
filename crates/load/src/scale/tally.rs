//! What is counted at a hollow router.

use chalkyard_policy::Micros;
use hdrhistogram::Histogram;

/// What a router did to one worker.
#[derive(Debug, Clone, Copy, Default)]
pub struct AtWorker {
    /// Connections that are open now.
    pub open: u64,
    /// Connections begun.
    pub connects: u64,
    /// Attempts.
    pub calls: u64,
    /// Releases.
    pub releases: u64,
    /// When the router last had a report of it.
    pub reported: Option<Micros>,
}

/// Times of the core's work by what it was, ns.
#[derive(Debug)]
pub struct Times {
    /// A client's request: read, decided, placed.
    pub request: Histogram<u64>,
    /// An event of a stream, passed on.
    pub event: Histogram<u64>,
    /// A read's end: the writer is chosen.
    pub parsed: Histogram<u64>,
    /// A change of the list.
    pub change: Histogram<u64>,
    /// A whole list.
    pub whole_list: Histogram<u64>,
}
