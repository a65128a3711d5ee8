//! The rules, each checked over a whole record. Texts of findings are part of the report format and must not change.

use std::collections::BTreeMap;

use super::trace::{Attempt, ClientAttempt, ColdStart, Reservation, Trace};
use super::Tally;
use crate::record::{Answer, AttemptEnd, Class, RetrySafety, Stage};

/// Longest time that an attempt may arrive after its client has left or has its final answer, µs.
const GONE_SLACK_US: u64 = 100_000;
/// Largest excess of the timeout passed to an engine over the remaining time of its client, µs.
const TIMEOUT_SLACK_US: u64 = 150_000;
/// A kill of the router excuses connections lost up to this long after it, µs.
const CONNECTION_KILL_EXCUSE_US: u64 = 1_000_000;
/// A kill of the router excuses reservations made up to this long after it, µs.
const RESERVATION_KILL_EXCUSE_US: u64 = 10_000_000;
/// A notified start time and a recorded start time refer to the same process start if they differ by less, µs.
const START_TOLERANCE_US: u64 = 2_000;
/// Attempts allowed per window in addition to the budget of a cold engine.
const COLD_BUDGET_EXTRA: f64 = 2.0;

/// Strips the tenant, which routers prepend, from an idempotency key.
fn client_key(identity: &str) -> &str {
    identity.split_once('/').map_or(identity, |(_, key)| key)
}

/// Clients' attempts by idempotency key and router.
pub(super) type ClientAttemptsByKey<'b> = BTreeMap<(&'b str, &'b str), Vec<&'b ClientAttempt<'b>>>;

/// Clients' attempts that can have caused an attempt at an engine: those with the same key, sent to the same router by
/// the time the attempt arrived.
fn sent_before<'b>(
    by_key: &'b ClientAttemptsByKey<'b>,
    attempt: &Attempt<'b>,
) -> &'b [&'b ClientAttempt<'b>] {
    let key = (client_key(attempt.identity), attempt.router);
    let of_key = by_key.get(&key).map_or(&[][..], Vec::as_slice);
    let sent = of_key.partition_point(|t| t.sent <= attempt.arrived);
    of_key.get(..sent).unwrap_or_default()
}

/// Whether the outcome of an attempt proves that it was not executed.
fn was_rejected(attempt: &Attempt<'_>) -> bool {
    matches!(attempt.ended, Some((_, AttemptEnd::Rejected | AttemptEnd::NoState)))
}

/// Whether at least two thirds of the arrivals come from routers that had been notified of the cold start.
fn most_were_notified(arrivals: &[ColdArrival]) -> bool {
    arrivals.iter().filter(|arrival| arrival.notified).count() * 3 >= arrivals.len() * 2
}

/// An attempt that arrived at a cold engine.
#[derive(Debug, Clone, Copy)]
struct ColdArrival {
    at: u64,
    /// The router of the attempt had been notified of this start.
    notified: bool,
}

impl Trace<'_> {
    /// Rule 1: each attempt of a client receives exactly one final answer before its deadline.
    pub(super) fn answered(&self, tally: &mut Tally) {
        for (number, attempt) in &self.client_attempts {
            let broken = self.answer_fault(attempt);
            tally.add_case(broken.map(|what| format!("try {number} at {}: {what}", attempt.router)));
        }
    }

    fn answer_fault(&self, attempt: &ClientAttempt<'_>) -> Option<String> {
        let late = attempt.deadline + self.limits.slack_us + self.limits.noise_us;
        let begun = attempt.first.is_some_and(|first| first <= late);
        let what = match (attempt.answers.as_slice(), attempt.lost, attempt.left) {
            ([_, _, ..], ..) => "two final answers",
            ([(at, ..)], ..) if *at > late && !begun => {
                return Some(format!("answered {} µs late", at - attempt.deadline));
            }
            ([_], ..) => return None,
            ([], Some(at), _) if self.clients_disconnected(at) => return None,
            ([], Some(at), _) if self.killed_around(attempt, at) => return None,
            ([], Some(_), _) => "the connection ended without a final answer",
            ([], None, Some(at)) if at <= late => return None,
            ([], None, Some(_)) if begun => "a begun stream fell silent",
            ([], None, Some(_)) => "no final answer in time",
            ([], None, None) => "no final answer by the end of the record",
        };
        Some(what.to_owned())
    }

    /// Whether a kill of the router excuses the lost connection of an attempt.
    fn killed_around(&self, attempt: &ClientAttempt<'_>, lost: u64) -> bool {
        self.killed(attempt.router, attempt.sent, lost)
            || self.killed(attempt.router, lost.saturating_sub(CONNECTION_KILL_EXCUSE_US), lost)
    }

    /// Rule 2: no effect happens more often than its class allows, over all attempts with one idempotency key. Prefills
    /// have no effect and are not counted.
    pub(super) fn effect(&self, tally: &mut Tally) {
        let mut by_key: BTreeMap<&str, Vec<(u64, &Attempt<'_>)>> = BTreeMap::new();
        for (number, attempt) in self.attempts.iter().filter(|(_, a)| a.stage != Stage::Prefill) {
            let safety = self.class(attempt.class).map_or(RetrySafety::NonIdempotent, |c| c.retry_safety);
            if safety != RetrySafety::Idempotent {
                by_key.entry(client_key(attempt.identity)).or_default().push((*number, attempt));
            }
        }
        for (key, attempts) in &by_key {
            let broken = self.repeated(attempts).or_else(|| {
                let rejected = self.rejected_after_run(key, attempts);
                rejected.then(|| "refused although it may have run".to_owned())
            });
            tally.add_case(broken.map(|what| format!("identity {key}: {what}")));
        }
    }

    /// Describes how attempts with one key were executed, or may have been, more often than their class allows.
    fn repeated(&self, attempts: &[(u64, &Attempt<'_>)]) -> Option<String> {
        let class = attempts.first().and_then(|(_, a)| self.class(a.class));
        let once = class.is_none_or(|c| c.retry_safety == RetrySafety::NonIdempotent);
        let runs = attempts.iter().filter(|(_, a)| a.ran.is_some()).count();
        if once && runs > 1 {
            return Some(format!("ran {runs} times"));
        }
        for (n, (number, attempt)) in attempts.iter().enumerate() {
            let mut earlier = attempts.iter().take(n).map(|(_, before)| *before);
            if earlier.any(|before| self.is_unsafe_repeat(before, attempt, class, once)) {
                return Some(format!("attempt {number} after one that may have run"));
            }
        }
        None
    }

    /// Whether an attempt may have repeated the effect of an earlier one.
    fn is_unsafe_repeat(
        &self,
        before: &Attempt<'_>,
        attempt: &Attempt<'_>,
        class: Option<&Class>,
        once: bool,
    ) -> bool {
        // A rejection of the earlier attempt before this arrival proves that it was not executed.
        if was_rejected(before) && before.ended.is_some_and(|(t, _)| t <= attempt.arrived) {
            return false;
        }
        // A different router cannot know of the earlier attempt; the engines of the cell discard the repeat.
        if before.router != attempt.router && !once {
            return false;
        }
        let window = class.map_or(0, |c| c.deduplication_window_us) + self.limits.noise_us;
        let cell = |engine: &str| self.engines.get(engine).map(|(cell, _)| *cell);
        let in_window = attempt.arrived <= before.arrived + window;
        let discarded = in_window && cell(attempt.engine) == cell(before.engine);
        once || !discarded
    }

    /// Whether a client's attempt was rejected although one of the given attempts, made on its behalf, may have been
    /// executed.
    fn rejected_after_run(&self, key: &str, attempts: &[(u64, &Attempt<'_>)]) -> bool {
        let mut client_attempts = self.client_attempts.values().filter(|c| c.identity == key);
        client_attempts.any(|client| {
            let mut rejections = client.answers.iter().filter(|(_, how, _)| *how == Answer::Rejected);
            rejections.any(|(at, ..)| {
                let in_span = |a: &Attempt<'_>| (client.sent..=*at).contains(&a.arrived);
                attempts.iter().any(|(_, a)| in_span(a) && !was_rejected(a))
            })
        })
    }

    /// Rule 3: no new attempt reaches a draining or removed engine after the grace period.
    pub(super) fn drain(&self, tally: &mut Tally) {
        for (number, attempt) in &self.attempts {
            tally.add_case(self.drain_fault(*number, attempt));
        }
    }

    fn drain_fault(&self, number: u64, attempt: &Attempt<'_>) -> Option<String> {
        let all = self.notifications.get(&(attempt.router, attempt.engine));
        let before: Vec<_> = all.into_iter().flatten().filter(|n| n.at <= attempt.arrived).collect();
        let Some(last) = before.last() else {
            return Some(format!(
                "attempt {number}: {} was never told of {}",
                attempt.router, attempt.engine
            ));
        };
        // The first of the latest uninterrupted notifications that the engine takes no new work.
        let inactive = before.iter().rev().take_while(|n| !n.is_active()).last()?;
        let late = attempt.arrived > inactive.at + self.limits.grace_us + self.limits.noise_us;
        late.then(|| format!("attempt {number} at {}, told {}", attempt.engine, last.state))
    }

    /// Rule 4: attempts at a cold engine stay within a budget in every time window after its start.
    pub(super) fn cold(&self, tally: &mut Tally) {
        for start in &self.cold_starts {
            let arrivals = self.cold_arrivals(start);
            let broken = self.exceeded_cold_budget(start, &arrivals);
            let overloaded = start.overloaded && most_were_notified(&arrivals);
            let broken = broken.or_else(|| overloaded.then(|| format!("{} was pushed over", start.engine)));
            tally.add_case(broken);
        }
    }

    fn cold_arrivals(&self, start: &ColdStart<'_>) -> Vec<ColdArrival> {
        let warm = (start.at + self.limits.cold_us).min(start.ended);
        let here = self.attempts.values().filter(|a| a.engine == start.engine);
        let while_cold = here.filter(|a| (start.at..=warm).contains(&a.arrived));
        while_cold
            .map(|a| ColdArrival { at: a.arrived, notified: self.was_notified_of_start(a, start) })
            .collect()
    }

    /// Whether the attempt's router had been notified of this start of the engine.
    fn was_notified_of_start(&self, attempt: &Attempt<'_>, start: &ColdStart<'_>) -> bool {
        let notifications = self.notifications.get(&(attempt.router, attempt.engine));
        let mut notifications = notifications.into_iter().flatten();
        notifications.any(|n| {
            n.at <= attempt.arrived && n.is_active() && n.started.abs_diff(start.at) < START_TOLERANCE_US
        })
    }

    fn exceeded_cold_budget(&self, start: &ColdStart<'_>, arrivals: &[ColdArrival]) -> Option<String> {
        let limits = self.limits;
        let capacity = self.engines.get(start.engine).map_or(0.0, |(_, capacity)| *capacity);
        for (i, ColdArrival { at: end, .. }) in arrivals.iter().enumerate() {
            let until_now = arrivals.iter().take(i + 1);
            let window: Vec<ColdArrival> =
                until_now.filter(|arrival| arrival.at + limits.fall_us > *end).copied().collect();
            let age = (end - start.at) as f64 / limits.cold_us.max(1) as f64;
            let warm_fraction = (limits.cold_from + (1.0 - limits.cold_from) * age).min(1.0);
            let budget = limits.fall_multiple * capacity * warm_fraction * limits.fall_us as f64 / 1e6
                + COLD_BUDGET_EXTRA;
            if window.len() as f64 > budget && most_were_notified(&window) {
                return Some(format!(
                    "{}: {} within {} µs, budget {budget:.1}",
                    start.engine,
                    window.len(),
                    limits.fall_us
                ));
            }
        }
        None
    }

    /// Rule 5: a reservation is used or released within the release time while no attempt is in flight.
    pub(super) fn pinned(&self, tally: &mut Tally) {
        let limit = self.limits.release_us + self.limits.noise_us;
        for reservation in &self.reservations {
            let longest = self.longest_idle(reservation);
            let broken = longest.filter(|longest| *longest > limit);
            let text = |longest| format!("{} at {}: {longest} µs", reservation.request, reservation.engine);
            tally.add_case(broken.map(text));
        }
    }

    /// The longest span of a reservation without an attempt in flight, µs; `None` if its router was killed, since the
    /// engine has to drop the reservations of a dead router.
    fn longest_idle(&self, reservation: &Reservation<'_>) -> Option<u64> {
        let until = reservation.released.map_or(self.end, |(t, _)| t);
        let attempts = || self.attempts.values().filter(|a| a.request == reservation.request);
        let router = attempts().next().map(|a| a.router);
        let since = reservation.from.saturating_sub(RESERVATION_KILL_EXCUSE_US);
        if router.is_some_and(|r| self.killed(r, 0, until) && self.killed(r, since, until)) {
            return None;
        }
        let mut in_flight: Vec<(u64, u64)> =
            attempts().map(|a| (a.arrived, self.in_flight_until(a))).collect();
        in_flight.sort_unstable();
        in_flight.push((until, until));
        let mut idle_since = reservation.from;
        let mut longest = 0;
        for (from, to) in in_flight {
            if from > idle_since && from <= until {
                let unrecorded = self.last_unrecorded_attempt(router.unwrap_or(""), idle_since, from);
                longest = longest.max(from - unrecorded.unwrap_or(idle_since));
            }
            idle_since = idle_since.max(to.min(until));
        }
        Some(longest)
    }

    /// When the router can have learned that its attempt had ended.
    fn in_flight_until(&self, attempt: &Attempt<'_>) -> u64 {
        let ended = attempt.ended.map_or(self.end, |(t, _)| t);
        self.unreachable_until(attempt.engine, ended).unwrap_or(ended)
    }

    /// The last time in a span at which a router can have attempted an engine whose process was down. Such an attempt
    /// is not recorded, and its outcome restarts the release time. Counts only until the router was notified of the
    /// removal.
    fn last_unrecorded_attempt(&self, router: &str, from: u64, to: u64) -> Option<u64> {
        let moments = self.downtimes.iter().filter_map(|downtime| {
            let notifications = self.notifications.get(&(router, downtime.engine))?;
            let removed = notifications.iter().find(|n| n.at >= downtime.from && !n.is_active());
            let before = notifications.iter().rfind(|n| n.at < downtime.from);
            let first = from.max(downtime.from);
            let last = to.min(downtime.until).min(removed.map_or(u64::MAX, |n| n.at));
            (before.is_some_and(|n| n.is_active()) && first < last).then_some(last)
        });
        moments.max()
    }

    /// Clients' attempts by key and router, in the order in which they were sent.
    pub(super) fn client_attempts_by_key(&self) -> ClientAttemptsByKey<'_> {
        let mut by_key: ClientAttemptsByKey<'_> = BTreeMap::new();
        for attempt in self.client_attempts.values() {
            by_key.entry((attempt.identity, attempt.router)).or_default().push(attempt);
        }
        for of_key in by_key.values_mut() {
            of_key.sort_by_key(|attempt| attempt.sent);
        }
        by_key
    }

    /// No attempt, prefill or decode, arrives after its client has left or has its final answer. Measurement noise is not
    /// added to the limit.
    pub(super) fn gone(&self, by_key: &ClientAttemptsByKey<'_>, tally: &mut Tally) {
        for (number, attempt) in &self.attempts {
            let answered = |c: &ClientAttempt<'_>| c.answers.first().map(|(at, ..)| *at);
            let over = |c: &&ClientAttempt<'_>| c.left.or(answered(c)).unwrap_or(u64::MAX);
            let Some(over) = sent_before(by_key, attempt).iter().map(over).max() else { continue };
            let late = attempt.arrived.saturating_sub(over);
            let broken =
                (late > GONE_SLACK_US).then(|| format!("attempt {number}: {late} µs after its client's end"));
            tally.add_case(broken);
        }
    }

    /// No attempt carries a longer timeout than the remaining time of its client.
    pub(super) fn propagated_timeout(&self, by_key: &ClientAttemptsByKey<'_>, tally: &mut Tally) {
        for (number, attempt) in &self.attempts {
            let Some(timeout) = attempt.timeout else { continue };
            let left = |c: &&ClientAttempt<'_>| c.deadline.saturating_sub(attempt.arrived);
            let Some(left) = sent_before(by_key, attempt).iter().map(left).max() else { continue };
            let broken = (timeout > left + TIMEOUT_SLACK_US)
                .then(|| format!("attempt {number}: told {timeout} µs, left {left}"));
            tally.add_case(broken);
        }
    }
}
