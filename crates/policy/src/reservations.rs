//! Reservations: state held on a prefill worker until a decode worker pulls it or the router releases it.
//!
//! The policy decides when a reservation is released, and the caller carries out the release.

use crate::actions::Action;
use crate::ids::AttemptNo;
use crate::obligations::release_due;
use crate::request_state::RequestState;
use crate::settings::Settings;
use crate::time::Micros;
use crate::worker_state::WorkerTable;

/// Share of the remaining reservation time that may be spent on a connection to a decode worker. Until the
/// connection is established no worker can pull the state.
const CONNECT_SHARE: f64 = 0.5;

/// Returns the time at which a request's reserved state must be released.
pub fn release_at(settings: &Settings, request: &RequestState) -> Micros {
    release_due(request.reserved_at, settings.reservation_timeout)
}

/// Returns the connect timeout for the worker that will pull the state, or `None` if no state is reserved.
pub fn connect_timeout(settings: &Settings, request: &RequestState, now: Micros) -> Option<Micros> {
    request.reserved_on.as_ref()?;
    let remaining = release_at(settings, request) - now;
    Some(remaining.mul_f64(CONNECT_SHARE).max(settings.tick))
}

/// Releases a request's reserved state when it is due or when the request is over.
///
/// The release does not wait for attempts in flight: a pull that has not arrived takes nothing, and a pull
/// that has arrived keeps the state that it takes. A release does not free state that an open attempt is
/// waiting for, so the release is repeated when the attempt ends.
pub fn release_if_due(settings: &Settings, now: Micros, request: &mut RequestState, out: &mut Vec<Action>) {
    let in_flight = request.has_open_attempt();
    let is_due = now >= release_at(settings, request) || (request.finished && !in_flight);
    if request.reserved_on.is_some() && is_due {
        out.push(Action::ReleaseReservation(request.request.id.clone()));
        request.reserved_on = None;
        request.released_during_attempt = in_flight;
    } else if !in_flight && request.released_during_attempt {
        request.released_during_attempt = false;
        out.push(Action::ReleaseReservation(request.request.id.clone()));
    }
}

/// Cancels prefills that later prefills have overtaken, once their state would have been due for release. The
/// connection has become silent: the prefill may have ended long ago, and the state that it left must be
/// released.
pub fn cancel_overtaken_prefills(
    settings: &Settings,
    now: Micros,
    workers: &WorkerTable,
    request: &mut RequestState,
    out: &mut Vec<Action>,
) {
    if request.finished || !settings.may_cancel {
        return;
    }
    for (number, attempt) in request.attempts.iter_mut().enumerate() {
        let is_due = attempt.facts.open && attempt.overtaken_check_at.is_some_and(|at| at <= now);
        if !is_due {
            continue;
        }
        let sent = attempt.facts.sent;
        let is_overtaken =
            workers.get(&attempt.worker).is_some_and(|worker| worker.newest_answered_sent_at > sent);
        if is_overtaken {
            attempt.overtaken_check_at = None;
            attempt.overdue_at = None;
            out.push(Action::Cancel { id: request.request.id.clone(), attempt: AttemptNo(number as u32) });
        } else {
            // Check intervals grow: either a later prefill is answered soon or none is.
            attempt.overtaken_check_at = Some(now + (now - sent).max(settings.tick));
        }
    }
}
