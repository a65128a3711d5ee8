//! What is measured: the figures of each role, their units and the budgets that they are held against.

use clap::ValueEnum;
use serde::{Deserialize, Serialize};

use super::size::budget;

/// A part of the measurement: a role in the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, ValueEnum, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Part {
    /// A router in service, hollow.
    Router,
    /// What a worker gets from all routers, hollow.
    Worker,
    /// Discovery.
    Discovery,
    /// The settlement job and its leases.
    Leases,
    /// Configuration: read, checked, distributed, in force.
    Configuration,
    /// Restarts, of real processes.
    Restart,
    /// Configuration as numbered revisions, in fed time.
    Revisions,
    /// Membership, as designed: sums.
    Membership,
}

impl Part {
    /// The sizes at which it is measured, if none are given.
    pub fn fractions(self) -> Vec<f64> {
        match self {
            // Routers times tenants: larger ones take minutes and gigabytes.
            Self::Leases => vec![0.01, 0.025, 0.05, 0.1],
            _ => vec![0.1, 0.25, 0.5, 1.0],
        }
    }
}

/// Where a figure comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Basis {
    /// Measured on the program's own code.
    Measured,
    /// Reckoned from measured figures and the size.
    Sum,
    /// Reckoned for what is designed and not built.
    NotBuilt,
}

macro_rules! figures {
    ($($name:ident: $part:ident, $basis:ident, $text:literal, $unit:literal, $budget:expr;)+) => {
        /// A figure.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(rename_all = "kebab-case")]
        #[allow(missing_docs)]
        pub enum Figure { $($name),+ }

        impl Figure {
            /// The role that it belongs to.
            pub fn part(self) -> Part {
                match self { $(Self::$name => Part::$part),+ }
            }

            /// Where it comes from.
            pub fn basis(self) -> Basis {
                match self { $(Self::$name => Basis::$basis),+ }
            }

            /// In words.
            pub fn text(self) -> &'static str {
                match self { $(Self::$name => $text),+ }
            }

            /// Its unit.
            pub fn unit(self) -> &'static str {
                match self { $(Self::$name => $unit),+ }
            }

            /// What it is held against, if anything.
            pub fn budget(self) -> Option<f64> {
                match self { $(Self::$name => $budget),+ }
            }
        }
    };
}

/// Client connections and connections to workers that the limits of 1,024 descriptors leave (`platform::Limits::shares`).
const CLIENT_SHARE: f64 = 451.0;
const LINK_SHARE: f64 = 503.0;

figures! {
    RouterMemory: Router, Measured, "memory of a router's state, allocated", "MB", None;
    RouterIdleMemory: Router, Measured, "of it before the first request", "MB", None;
    RequestTime: Router, Measured, "a request read, decided and placed, median", "us", None;
    ParsedTime: Router, Measured, "a read's end, writer chosen, median", "us", None;
    EventTime: Router, Measured, "an event passed on, median", "us", None;
    ChangeTime: Router, Measured, "a change of the list, median", "us", None;
    WholeListTime: Router, Measured, "a whole list, median", "us", None;
    ServiceCore: Router, Sum, "of a core for requests and events, without sockets", "core", Some(1.0);
    ClientConnections: Router, Measured, "client connections open", "", Some(CLIENT_SHARE);
    WorkerLinks: Router, Measured, "connections to workers open", "", Some(LINK_SHARE);
    WorkerConnections: Worker, Measured, "connections at a worker, mean", "", None;
    WorkerConnectionsMost: Worker, Measured, "connections at a worker, most", "", None;
    WorkerConnects: Worker, Measured, "new connections at a worker", "/s", None;
    WorkerCalls: Worker, Measured, "attempts at a worker", "/s", None;
    WorkerReleases: Worker, Measured, "releases at a worker", "/s", None;
    ReportAge: Worker, Measured, "age of what is known of the chosen writer, median", "s", None;
    DiscoveryBytes: Discovery, Measured, "bytes between a router and discovery", "B/s", Some(budget::BYTES_PER_S);
    DiscoveryCalls: Discovery, Sum, "calls at discovery from all routers", "/s", None;
    ListBytes: Discovery, Measured, "a whole list", "B", None;
    ReturnBytes: Discovery, Sum, "whole lists to all routers after an outage", "MB", None;
    LeaseBytes: Leases, Measured, "leases to a router, rounds after the first", "B/s", Some(budget::BYTES_PER_S);
    LeaseFirstBytes: Leases, Measured, "the first lease to a router, which names all accounts", "MB", None;
    LeaseRoundTime: Leases, Measured, "a settlement round decided", "s", Some(1.0);
    LeaseTakeTime: Leases, Measured, "a lease read and adopted by a router", "ms", None;
    LeaseMemory: Leases, Measured, "memory of the settlement job, allocated", "MB", None;
    FileBytes: Configuration, Measured, "the settings file", "MB", None;
    ReadTime: Configuration, Measured, "the file read and checked", "s", None;
    ReadMemory: Configuration, Measured, "most memory while it is read, allocated", "MB", Some(budget::MEMORY / 1e6);
    ReloadTime: Configuration, Measured, "a reload's differences and tables", "s", None;
    ReloadCore: Configuration, Sum, "of a core for a reload at each change", "core", Some(budget::CORE);
    FileRate: Configuration, Sum, "the whole file to a router at each change", "B/s", Some(budget::BYTES_PER_S);
    OutOfReach: Configuration, Sum, "routers at which a change has to be made by hand", "", Some(0.0);
    RestartTime: Restart, Measured, "from exec to ready, median", "ms", Some(10_000.0);
    RestartMemory: Restart, Measured, "resident memory when ready", "MB", Some(192.0);
    RevisionBytes: Revisions, Measured, "a router's bytes in a burst of a change a second, most", "B/s", Some(budget::BYTES_PER_S);
    RevisionCore: Revisions, Measured, "of a core at a router in that burst, most", "core", Some(budget::CORE);
    RevisionMemory: Revisions, Measured, "the configuration held by a router, allocated", "MB", Some(budget::MEMORY / 1e6);
    RevisionInForce: Revisions, Measured, "from publishing to in force, 99 in 100", "s", Some(budget::IN_FORCE_S);
    RevisionControlBytes: Revisions, Measured, "a control machine's bytes in that burst", "B/s", None;
    WholeBytes: Revisions, Measured, "a whole, for a router with nothing", "MB", None;
    MembershipBytes: Membership, NotBuilt, "heartbeats of 340 members, by gossip of 3 a second", "B/s", Some(budget::BYTES_PER_S);
    MembershipState: Membership, NotBuilt, "a member's table", "MB", Some(budget::MEMORY / 1e6);
}

/// A value of a figure at one size.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Value {
    /// Which.
    pub figure: Figure,
    /// In its unit.
    pub value: f64,
}

impl Value {
    /// A figure's value.
    pub fn new(figure: Figure, value: f64) -> Self {
        Self { figure, value }
    }
}
