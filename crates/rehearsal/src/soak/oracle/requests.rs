//! What is judged of each request: its answer, its effect, its attempts and its reservation.

use super::super::plan::Repeat;
use super::*;

impl Oracle<'_> {
    pub(super) fn judge_requests(&mut self) {
        for (id, request) in std::mem::take(&mut self.requests) {
            self.judge_reservation(id, &request);
            let Some((asked, router, repeat, deadline, first)) = request.asked else { continue };
            let incarnation = self.incarnation(router, asked).unwrap_or_default();
            self.judge_answer(id, &request, (asked, router, deadline, first), incarnation);
            self.judge_effect(id, &request, repeat);
            self.judge_attempts(id, &request, asked + deadline);
        }
    }

    fn judge_answer(
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
            self.judge_stream(id, request, status, incarnation);
            return;
        }
        // The process was killed: what it could still have answered by then counts.
        let killed = incarnation.ended.filter(|ended| *ended <= late);
        if let (Some(ended), told) = (killed, incarnation.terminated_at) {
            let came_late = told.is_some_and(|told| asked > told + TERMINATE_TAKES_US);
            let had_time = told.is_some() && due <= ended;
            let read = !request.arrivals.is_empty();
            if !(had_time || (came_late && read)) {
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

    /// What a worker has written to its end has to reach the client whole.
    fn judge_stream(&mut self, id: &str, request: &Request, status: u16, incarnation: Incarnation) {
        let Some((lost, _)) = request.lost.filter(|_| status == 200) else { return };
        let killed = incarnation.ended.is_some_and(|ended| ended <= lost + NOISE_US);
        if let Some(written) = request.written.filter(|written| *written <= lost && !killed) {
            let text = format!("written {:.3}, broken off {:.3}", secs(written), secs(lost));
            self.report_finding(Check::CompleteStream, Some(id), text);
        }
    }

    fn judge_effect(&mut self, id: &str, request: &Request, repeat: Repeat) {
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

    fn judge_attempts(&mut self, id: &str, request: &Request, deadline: u64) {
        for (t, worker, told, after_hang) in &request.arrivals {
            // What waited in a system or at a worker that stood still was true when it was written.
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

    /// State is free within the told time of its beginning, or of the end of the last attempt that had arrived.
    fn judge_reservation(&mut self, id: &str, request: &Request) {
        let many = self.plan.routers > FEW_ROUTERS;
        let slack = if many { RELEASE_SLACK_MANY_US } else { RELEASE_SLACK_US };
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
            // Nobody answers for what a killed process held.
            if to > late && ended.is_none_or(|ended| ended > late) {
                self.report_finding(
                    Check::Reservation,
                    Some(id),
                    format!("held from {:.3} to {:.3}", secs(from), secs(to)),
                );
            }
        }
    }

    /// State that waited while its own read, or another attempt that had arrived, was still out: no rule counts that time,
    /// and it is told apart.
    fn note_lost_answer(&mut self, since: Option<u64>, until: u64, most: u64) {
        let waited = since.map_or(0, |since| until.saturating_sub(since));
        if waited > most {
            self.lost_answers.push(waited);
        }
    }
}
