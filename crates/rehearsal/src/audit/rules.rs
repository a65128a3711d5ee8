//! The five rules and the users' terms, each judged over a whole record.

use std::collections::BTreeMap;

use super::book::{Attempt, Book, Try};
use super::Tally;
use crate::record::{Answer, AttemptEnd, RetrySafety, Stage};

/// An attempt that arrives so long after its client has gone is a lost request, µs.
const GONE_SLACK: u64 = 100_000;
/// The time that an attempt tells its engine may be so much more than what its client has left, µs.
const TOLD_SLACK: u64 = 150_000;
/// A lost connection counts as a killed router's for this long after the kill, µs.
const KILL_SHADOW: u64 = 1_000_000;

/// The client's own part of an identity: routers put the tenant before it.
fn client_key(identity: &str) -> &str {
    identity.split_once('/').map_or(identity, |(_, key)| key)
}

pub(super) type TriesByIdentity<'b> = BTreeMap<(&'b str, &'b str), Vec<&'b Try<'b>>>;

/// The tries that an attempt may have been made for: those of its identity at its router that had been asked by then.
fn asked_for<'b>(tries: &'b TriesByIdentity<'b>, attempt: &Attempt<'b>) -> &'b [&'b Try<'b>] {
    let of_one = tries.get(&(client_key(attempt.identity), attempt.router)).map_or(&[][..], Vec::as_slice);
    let asked = of_one.partition_point(|t| t.asked <= attempt.arrived);
    of_one.get(..asked).unwrap_or_default()
}

impl<'a> Book<'a> {
    /// Rule 1.
    pub(super) fn answered(&self, tally: &mut Tally) {
        for (number, t) in &self.tries {
            let late = t.deadline + self.limits.slack_us + self.limits.noise_us;
            let begun = t.first.is_some_and(|f| f <= late);
            let broken = match (t.answers.as_slice(), t.lost, t.left) {
                ([_, _, ..], ..) => Some("two final answers".to_owned()),
                ([(at, ..)], ..) if *at > late && !begun => {
                    Some(format!("answered {} µs late", at - t.deadline))
                }
                ([_], ..) => None,
                ([], Some(at), _) if self.broke(at) => None,
                ([], Some(at), _)
                    if self.killed(t.router, t.asked, at)
                        || self.killed(t.router, at.saturating_sub(KILL_SHADOW), at) =>
                {
                    None
                }
                ([], Some(_), _) => Some("the connection ended without a final answer".to_owned()),
                ([], None, Some(at)) if at <= late => None,
                ([], None, Some(_)) if begun => Some("a begun stream fell silent".to_owned()),
                ([], None, Some(_)) => Some("no final answer in time".to_owned()),
                ([], None, None) => Some("no final answer by the end of the record".to_owned()),
            };
            tally.case(broken.map(|what| format!("try {number} at {}: {what}", t.router)));
        }
    }

    /// Rule 2, over all attempts under one identity; reading is no effect.
    pub(super) fn effect(&self, tally: &mut Tally) {
        let mut by_identity: BTreeMap<&str, Vec<(&u64, &Attempt<'_>)>> = BTreeMap::new();
        for (number, a) in self.attempts.iter().filter(|(_, a)| a.stage != Stage::Prefill) {
            let effect = self.class(a.class).map_or(RetrySafety::NonIdempotent, |c| c.retry_safety);
            if effect != RetrySafety::Idempotent {
                by_identity.entry(client_key(a.identity)).or_default().push((number, a));
            }
        }
        let not_run =
            |a: &Attempt<'_>| matches!(a.ended, Some((_, AttemptEnd::Rejected | AttemptEnd::NoState)));
        for (identity, attempts) in &by_identity {
            let class = attempts.first().and_then(|(_, a)| self.class(a.class));
            let single = class.is_none_or(|c| c.retry_safety == RetrySafety::NonIdempotent);
            let runs = attempts.iter().filter(|(_, a)| a.ran.is_some()).count();
            let mut broken = (single && runs > 1).then(|| format!("ran {runs} times"));
            for (n, (number, a)) in attempts.iter().enumerate() {
                for (_, before) in attempts.iter().take(n) {
                    // What was turned away by then proves that it never ran.
                    if not_run(before) && before.ended.is_some_and(|(t, _)| t <= a.arrived) {
                        continue;
                    }
                    if before.router != a.router && !single {
                        // Another router can't know; its engine's group discards the repeat.
                        continue;
                    }
                    let window = class.map_or(0, |c| c.deduplication_window_us) + self.limits.noise_us;
                    let cell = |e: &str| self.engines.get(e).map(|(cell, _)| *cell);
                    let within =
                        a.arrived <= before.arrived + window && cell(a.engine) == cell(before.engine);
                    if single || !within {
                        broken.get_or_insert(format!("attempt {number} after one that may have run"));
                    }
                }
            }
            let refused = self.tries.values().filter(|t| t.identity == *identity).flat_map(|t| {
                t.answers
                    .iter()
                    .filter(|(_, how, _)| *how == Answer::Rejected)
                    .map(move |(at, ..)| (t.asked, *at))
            });
            for (asked, at) in refused {
                // Nothing of this try may have been under way when its refusal came.
                let ran = attempts.iter().any(|(_, a)| (asked..=at).contains(&a.arrived) && !not_run(a));
                if ran {
                    broken.get_or_insert("refused although it may have run".to_owned());
                }
            }
            tally.case(broken.map(|what| format!("identity {identity}: {what}")));
        }
    }

    /// Rule 3.
    pub(super) fn drain(&self, tally: &mut Tally) {
        for (number, a) in &self.attempts {
            let told = self.told.get(&(a.router, a.engine));
            let last = told.and_then(|told| told.iter().rfind(|(t, ..)| *t <= a.arrived));
            let Some((_, state, _)) = last else {
                tally.case(Some(format!("attempt {number}: {} was never told of {}", a.router, a.engine)));
                continue;
            };
            // Since when it has been told so without a break.
            let since = told.and_then(|told| {
                let before: Vec<_> = told.iter().filter(|(t, ..)| *t <= a.arrived).collect();
                before.iter().rev().take_while(|(_, s, _)| *s != "in").last().map(|(t, ..)| *t)
            });
            let late = since.is_some_and(|t| a.arrived > t + self.limits.grace_us + self.limits.noise_us);
            let broken =
                (*state != "in" && late).then(|| format!("attempt {number} at {}, told {state}", a.engine));
            tally.case(broken);
        }
    }

    /// Rule 4: a budget for every window after a cold start.
    pub(super) fn cold(&self, tally: &mut Tally) {
        let f = self.limits;
        for (engine, start, down, overloaded) in &self.starts {
            let warm = (start + f.cold_us).min(*down);
            let capacity = self.engines.get(engine).map_or(0.0, |(_, c)| *c);
            let arrivals: Vec<(u64, bool)> = self
                .attempts
                .values()
                .filter(|a| a.engine == *engine && (*start..=warm).contains(&a.arrived))
                .map(|a| {
                    let told = self.told.get(&(a.router, a.engine));
                    let knew = told.is_some_and(|told| {
                        told.iter().any(|(t, state, started)| {
                            *t <= a.arrived && *state == "in" && started.abs_diff(*start) < 2_000
                        })
                    });
                    (a.arrived, knew)
                })
                .collect();
            let mut broken = None;
            for (i, (end, _)) in arrivals.iter().enumerate() {
                let window: Vec<&(u64, bool)> =
                    arrivals.iter().take(i + 1).filter(|(t, _)| t + f.fall_us > *end).collect();
                let age = (end - start) as f64 / f.cold_us.max(1) as f64;
                let present = (f.cold_from + (1.0 - f.cold_from) * age).min(1.0);
                let budget = f.fall_multiple * capacity * present * f.fall_us as f64 / 1e6 + 2.0;
                let knew = window.iter().filter(|(_, knew)| *knew).count();
                if window.len() as f64 > budget && knew * 3 >= window.len() * 2 {
                    broken = Some(format!(
                        "{engine}: {} within {} µs, budget {budget:.1}",
                        window.len(),
                        f.fall_us
                    ));
                    break;
                }
            }
            if *overloaded && broken.is_none() {
                let knew = arrivals.iter().filter(|(_, knew)| *knew).count();
                broken = (knew * 3 >= arrivals.len() * 2).then(|| format!("{engine} was pushed over"));
            }
            tally.case(broken);
        }
    }

    /// Rule 5: while no attempt is out, held state is taken or let go in time.
    pub(super) fn pinned(&self, tally: &mut Tally) {
        let most = self.limits.release_us + self.limits.noise_us;
        for h in &self.holds {
            let until = h.freed.map_or(self.end, |(t, _)| t);
            let router = self.attempts.values().find(|a| a.request == h.request).map(|a| a.router);
            if router.is_some_and(|r| {
                self.killed(r, 0, until) && self.killed(r, h.from.saturating_sub(10_000_000), until)
            }) {
                // What a killed router left is the engine's to drop.
                tally.case(None);
                continue;
            }
            let mut spans: Vec<(u64, u64)> = self
                .attempts
                .values()
                .filter(|a| a.request == h.request)
                .map(|a| {
                    let ended = a.ended.map_or(self.end, |(t, _)| t);
                    (a.arrived, self.unheard(a.engine, ended).unwrap_or(ended))
                })
                .collect();
            spans.sort_unstable();
            let (mut at, mut longest) = (h.from, 0);
            spans.push((until, until));
            for (from, to) in spans {
                if from > at && from <= until {
                    let unseen = self.last_unseen(router.unwrap_or(""), at, from);
                    longest = longest.max(from - unseen.unwrap_or(at));
                }
                at = at.max(to.min(until));
            }
            let broken = (longest > most).then(|| format!("{} at {}: {longest} µs", h.request, h.engine));
            tally.case(broken);
        }
    }

    /// Tries by identity and router, in the order in which they were asked.
    pub(super) fn tries_by_identity(&self) -> TriesByIdentity<'_> {
        let mut tries: TriesByIdentity<'_> = BTreeMap::new();
        for t in self.tries.values() {
            tries.entry((t.identity, t.router)).or_default().push(t);
        }
        for of_one in tries.values_mut() {
            of_one.sort_by_key(|t| t.asked);
        }
        tries
    }

    /// No attempt, first or further, read or write, begins once its client has gone or has its final answer. No noise is
    /// allowed for.
    pub(super) fn gone(&self, tries: &TriesByIdentity<'_>, tally: &mut Tally) {
        for (number, attempt) in &self.attempts {
            let over = |t: &&Try<'_>| t.left.or(t.answers.first().map(|(at, ..)| *at)).unwrap_or(u64::MAX);
            let Some(over) = asked_for(tries, attempt).iter().map(over).max() else { continue };
            let late = attempt.arrived.saturating_sub(over);
            let broken =
                (late > GONE_SLACK).then(|| format!("attempt {number}: {late} µs after its client's end"));
            tally.case(broken);
        }
    }

    /// No attempt tells its engine more time than its client has left.
    pub(super) fn told(&self, tries: &TriesByIdentity<'_>, tally: &mut Tally) {
        for (number, attempt) in &self.attempts {
            let Some(told) = attempt.told else { continue };
            let left =
                asked_for(tries, attempt).iter().map(|t| t.deadline.saturating_sub(attempt.arrived)).max();
            let Some(left) = left else { continue };
            let broken =
                (told > left + TOLD_SLACK).then(|| format!("attempt {number}: told {told} µs, left {left}"));
            tally.case(broken);
        }
    }

    /// The last moment of a span at which a router can have tried an engine whose process was gone: nobody sees
    /// such an attempt, and its outcome starts the time for letting go again. Only while it was not told.
    fn last_unseen(&self, router: &str, from: u64, to: u64) -> Option<u64> {
        let moments = self.downs.iter().filter_map(|(engine, gone, back)| {
            let told = self.told.get(&(router, *engine))?;
            let out =
                told.iter().find(|(t, state, _)| t >= gone && *state != "in").map_or(u64::MAX, |(t, ..)| *t);
            let known = told.iter().rfind(|(t, ..)| t < gone).is_some_and(|(_, state, _)| *state == "in");
            let (first, last) = (from.max(*gone), to.min(*back).min(out));
            (known && first < last).then_some(last)
        });
        moments.max()
    }
}
