//! Timeouts of a router on the platform: those that its protocol fixes, and those that follow from the settings.

use chalkyard_adapter::wire;
use chalkyard_policy::Micros;
use chalkyard_router::Timeouts;

use crate::dialect::LONG_POLL_MS;
use crate::shutdown::ShutdownSchedule;

/// Time to receive a request, also the first one on a connection; clients are owed an error or a close within 3 s.
const REQUEST: Micros = Micros(2_500_000);
/// Idle time of a client connection between two requests.
const CLIENT_IDLE: Micros = Micros(15_000_000);
/// Wait for the answer to a call that releases a reservation.
const RELEASE: Micros = Micros(150_000);
/// Gap between two events of a stream. The platform counts a client as left without an answer 5 s after the last event of a
/// running worker; the rest is for a stall of the process.
const STREAM_GAP: Micros = Micros(4_850_000);
/// Time during which a client accepts none of its unsent bytes.
const SLOW_CLIENT: Micros = Micros(5_000_000);
/// Time to connect if the settings have none.
const DEFAULT_CONNECT: Micros = Micros(250_000);
/// Idle time of a connection to a worker if the settings have none.
const DEFAULT_WORKER_IDLE: Micros = Micros(20_000_000);
/// Share of the workers' idle time for which a connection is used: a call that is sent while the worker closes the
/// connection is lost.
const WORKER_IDLE_SHARE: f64 = 0.5;
/// Upper limit on the idle time of a connection to a worker.
const MAX_WORKER_IDLE: Micros = Micros(10_000_000);
/// How long the id of a finished request that may have run is remembered, for a client that comes back under it.
const IDENTITY: Micros = Micros(60_000_000);
/// Silence of service discovery beyond the long poll; the platform counts changes of the list as delivered 2 s after the
/// end of the long poll.
const LONG_POLL_SLACK: Micros = Micros(1_000_000);

/// Derives the timeouts from the limits in the settings and from the shutdown schedule.
pub(crate) fn timeouts(limits: &wire::Limits, shutdown: &ShutdownSchedule) -> Timeouts {
    let connect = limits.connect_timeout_s.map_or(DEFAULT_CONNECT, Micros::from_secs_f64);
    let worker_idle = limits.conn_idle_s.map_or(DEFAULT_WORKER_IDLE, Micros::from_secs_f64);
    Timeouts {
        request: REQUEST,
        idle: CLIENT_IDLE,
        first_request: REQUEST,
        release: RELEASE,
        migration: shutdown.migration,
        drain_grace: shutdown.drain_grace,
        drain_receive: shutdown.drain_receive,
        worker_idle: worker_idle.mul_f64(WORKER_IDLE_SHARE).min(MAX_WORKER_IDLE),
        connect,
        stream: STREAM_GAP,
        slow_client: SLOW_CLIENT,
        discovery: Micros(LONG_POLL_MS * 1_000) + LONG_POLL_SLACK,
        // The discovery agent runs on the same machine and answers a short poll at once, so the connect timeout is long
        // enough.
        discovery_probe: connect,
        reply_margin: Micros(0),
        identity: IDENTITY,
    }
}
