//! Checks of each request: its answer, its effect, its attempts and its reservation.

use super::super::plan::Repeat;
use super::*;

impl Oracle<'_> {
    pub(super) fn check_requests(&mut self) {
        for (id, request) in std::mem::take(&mut self.requests) {
            self.check_reservation(id, &request);
            let Some((asked, router, repeat, deadline, first)) = request.asked else { continue };
            let incarnation = self.incarnation(router, asked).unwrap_or_default();
            self.check_answer(id, &request, (asked, router, deadline, first), incarnation);
            self.check_effect(id, &request, repeat);
            self.check_attempts(id, &request, asked + deadline);
        }
    }

    fn check_answer(
        &mut self,
        id: &str,
        request: &Request,
        (asked, router, deadline, first): (u64, usize, u64, bool),
        incarnation: Incarnation,
    ) {
        let due = asked + deadline + ANSWER_SLACK_US;
        let late = due + self.stalled(asked, due) + NOISE_US;
        let until = request.left.unwrap_or(u64::MAX);
        if let Some((began, status)) = request.began {
            if began > late {
                let text = format!("asked {:.3}, answered {status} {:.3}", secs(asked), secs(began));
                self.report_finding(Check::Answered, Some(id), text);
            }
            self.check_stream(id, request, status, incarnation);
            return;
        }
        // The process was killed: a missing answer counts only if the router had time to give it before the kill.
        let killed = incarnation.ended.filter(|ended| *ended <= late);
        if let (Some(ended), told) = (killed, incarnation.terminated_at) {
            let sent_late = told.is_some_and(|told| asked > told + SHUTDOWN_SLACK_US);
            let had_time = told.is_some() && due <= ended;
            let read = !request.arrivals.is_empty();
            if !(had_time || (sent_late && read)) {
                return;
            }
        }
        if let Some((lost, _)) = request.lost {
            let unread = !first && request.arrivals.is_empty();
            let crowded = first && self.is_crowded(router, asked);
            if !unread && !crowded && lost < until {
                let text = format!("asked {:.3}, closed with no answer {:.3}", secs(asked), secs(lost));
                self.report_finding(Check::Answered, Some(id), text);
            }
            return;
        }
        if until > late && self.end > late {
            self.report_finding(Check::Answered, Some(id), format!("asked {:.3}, no answer", secs(asked)));
        }
    }

    /// An answer that a worker has written completely must reach the client completely.
    fn check_stream(&mut self, id: &str, request: &Request, status: u16, incarnation: Incarnation) {
        let Some((lost, _)) = request.lost.filter(|_| status == 200) else { return };
        let killed = incarnation.ended.is_some_and(|ended| ended <= lost + NOISE_US);
        if let Some(written) = request.written.filter(|written| *written <= lost && !killed) {
            let text = format!("written {:.3}, broken off {:.3}", secs(written), secs(lost));
            self.report_finding(Check::CompleteStream, Some(id), text);
        }
    }

    fn check_effect(&mut self, id: &str, request: &Request, repeat: Repeat) {
        let window = self.plan.window_ms * 1_000;
        let twice = match (repeat, request.runs.as_slice()) {
            (Repeat::SingleShot, [_, second, ..]) => Some(*second),
            (Repeat::Guarded, [first, second, ..]) if *second > first + window => Some(*second),
            _ => None,
        };
        if let Some(second) = twice {
            self.report_finding(Check::Effect, Some(id), format!("{repeat:?} ran again {:.3}", secs(second)));
        }
        let refused = request.began.filter(|(_, status)| matches!(status, 429 | 503));
        if let (Some((t, _)), Repeat::SingleShot, [ran, ..]) = (refused, repeat, request.runs.as_slice()) {
            self.report_finding(
                Check::Effect,
                Some(id),
                format!("ran {:.3}, refused {:.3}", secs(*ran), secs(t)),
            );
        }
    }

    fn check_attempts(&mut self, id: &str, request: &Request, deadline: u64) {
        for (t, worker, told, after_hang) in &request.arrivals {
            // Requests that waited in the system or at a suspended worker carry a timeout that was correct when written.
            let stalled = self.stalled(t.saturating_sub(1_000_000), *t) + NOISE_US;
            let left = deadline.saturating_sub(*t);
            if told.is_some_and(|told| told > left + TIMEOUT_SLACK_US + stalled) && !after_hang {
                let text = format!("worker {worker} at {:.3}: told {told:?} us, left {left} us", secs(*t));
                self.report_finding(Check::PropagatedTimeout, Some(id), text);
            }
            let gone = request.left.is_some_and(|left| *t > left + GONE_SLACK_US + stalled);
            if gone && !after_hang {
                let text = format!("client left {:?} us, worker {worker} got a call {t} us", request.left);
                self.report_finding(Check::Gone, Some(id), text);
            }
        }
    }

    /// A reservation is fetched or released within the release time, counted from its start or from the end of the last
    /// attempt that had arrived.
    fn check_reservation(&mut self, id: &str, request: &Request) {
        let many = self.plan.routers > SMALL_FLEET_ROUTERS;
        let slack = if many { RELEASE_SLACK_LARGE_FLEET_US } else { RELEASE_SLACK_US };
        let most = self.plan.release_ms * 1_000 + slack;
        let (mut since, mut open) = (None, 0_u32);
        let mut spans = Vec::new();
        for (t, change) in &request.state {
            match change {
                StateChange::Reserved => since = Some(*t),
                StateChange::Free if open > 0 => self.note_lost_answer(since.take(), *t, most),
                StateChange::Free => spans.extend(since.take().map(|from| (from, *t))),
                StateChange::AttemptBegins => {
                    open += 1;
                    spans.extend(since.filter(|_| open == 1).map(|from| (from, *t)));
                }
                StateChange::AttemptEnds => {
                    open = open.saturating_sub(1);
                    self.note_lost_answer(since, *t, most);
                    since = since.map(|_| *t);
                }
            }
        }
        spans.extend(since.filter(|_| open == 0).map(|from| (from, self.end)));
        let router = request.asked.map(|(asked, router, ..)| (asked, router));
        let ended = router.and_then(|(asked, router)| self.incarnation(router, asked)?.ended);
        for (from, to) in spans {
            let late = from + most + self.stalled(from, to) + NOISE_US;
            // Reservations of a killed router process are not counted.
            if to > late && ended.is_none_or(|ended| ended > late) {
                self.report_finding(
                    Check::Reservation,
                    Some(id),
                    format!("held from {:.3} to {:.3}", secs(from), secs(to)),
                );
            }
        }
    }

    /// Records the waiting time of a reservation whose prefill, or another attempt that had arrived, was still in flight.
    /// No rule counts this time; it is reported separately.
    fn note_lost_answer(&mut self, since: Option<u64>, until: u64, most: u64) {
        let waited = since.map_or(0, |since| until.saturating_sub(since));
        if waited > most {
            self.lost_answers.push(waited);
        }
    }
}
