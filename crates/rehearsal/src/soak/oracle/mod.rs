//! Checks the record of one seed: the five rules, crashes, resource usage, and recovery after the last fault.

mod requests;

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;

use super::plan::{FaultKind, Repeat, SoakPlan};
use super::record::Event;

/// A rule or bound that the soak checks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Check {
    /// Each request gets one final answer in time.
    Answered,
    /// No effect happens twice, and no request is rejected after its effect.
    Effect,
    /// No new call reaches a worker that drains or is removed.
    Drain,
    /// A reservation is fetched or released in time.
    #[serde(rename = "held")]
    Reservation,
    /// The timeout passed to a worker does not exceed the remaining time of the client.
    #[serde(rename = "told_time")]
    PropagatedTimeout,
    /// No attempt arrives after the client has left.
    Gone,
    /// A stream that its worker has completed reaches the client completely.
    #[serde(rename = "whole")]
    CompleteStream,
    /// No router process ends unexpectedly.
    Crash,
    /// No router reports a violated obligation.
    Violation,
    /// Descriptors and memory of routers stay within their limits.
    Size,
    /// The service recovers after the last fault.
    Service,
}

impl Check {
    /// The name used in the printed report.
    pub fn name(self) -> &'static str {
        match self {
            Self::Answered => "Answered",
            Self::Effect => "Effect",
            Self::Drain => "Drain",
            Self::Reservation => "Held",
            Self::PropagatedTimeout => "ToldTime",
            Self::Gone => "Gone",
            Self::CompleteStream => "Whole",
            Self::Crash => "Crash",
            Self::Violation => "Violation",
            Self::Size => "Size",
            Self::Service => "Service",
        }
    }
}

/// A violation of a rule or bound.
#[derive(Debug, Clone, Serialize)]
pub struct Finding {
    /// The rule or bound.
    pub check: Check,
    /// The affected request, if there is one.
    pub id: Option<String>,
    /// Description, with times in seconds.
    pub text: String,
}

/// Tolerances that the protocol grants beyond its limits, µs: for the release of reservations, depending on the number of
/// routers, for answers, for propagated timeouts, for clients that have left and for draining workers.
const RELEASE_SLACK_US: u64 = 300_000;
const RELEASE_SLACK_LARGE_FLEET_US: u64 = 1_000_000;
const SMALL_FLEET_ROUTERS: usize = 12;
const ANSWER_SLACK_US: u64 = 500_000;
const TIMEOUT_SLACK_US: u64 = 150_000;
const GONE_SLACK_US: u64 = 100_000;
const DRAIN_GRACE_US: u64 = 350_000;
/// A request sent later than this after SIGTERM and read by the router must be answered before the process is killed, µs.
const SHUTDOWN_SLACK_US: u64 = 700_000;
const MAX_DESCRIPTORS: usize = 256;
/// Exit code of a router that received SIGTERM twice.
const TERMINATED_TWICE: i32 = 5;
const MAX_MEMORY_KB: u64 = 64 * 1024;
/// Share of the requests sent in the judged span that must be served, and the smallest number of requests for which it is
/// checked.
const MIN_SERVED_SHARE: f64 = 0.9;
const MIN_JUDGED_REQUESTS: usize = 20;
/// The span judged for recovery ends this long before the end of the scenario, and has this length, µs.
const SERVICE_END_US: u64 = 1_000_000;
const SERVICE_SPAN_US: u64 = 2_500_000;
/// Tolerance for scheduling delays of the soak process on a shared machine, µs.
const NOISE_US: u64 = 30_000;

/// One incarnation of a router: from the start of its process to its end.
#[derive(Debug, Clone, Copy, Default)]
struct Incarnation {
    started: u64,
    terminated_at: Option<u64>,
    /// Number of SIGTERM signals received.
    terminations: u32,
    ended: Option<u64>,
}

/// The events of one request. Tuples begin with the time, µs.
#[derive(Debug, Default)]
struct Request {
    asked: Option<(u64, usize, Repeat, u64, bool)>,
    began: Option<(u64, u16)>,
    ended: Option<u64>,
    lost: Option<(u64, bool)>,
    left: Option<u64>,
    arrivals: Vec<(u64, usize, Option<u64>, bool)>,
    runs: Vec<u64>,
    written: Option<u64>,
    /// Events that start or stop the release time of the reservation, in order.
    state: Vec<(u64, StateChange)>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StateChange {
    Reserved,
    Free,
    AttemptBegins,
    AttemptEnds,
}

struct Oracle<'a> {
    plan: &'a SoakPlan,
    requests: BTreeMap<&'a str, Request>,
    incarnations: BTreeMap<usize, Vec<Incarnation>>,
    stalls: Vec<(u64, u64)>,
    end: u64,
    findings: Vec<Finding>,
    /// Waiting times of reservations beyond the release time, caused by attempts whose answer never arrived, µs.
    lost_answers: Vec<u64>,
}

/// The result of checking a record.
pub struct Verdict {
    /// Violations of rules and bounds.
    pub findings: Vec<Finding>,
    /// Waiting times of reservations beyond the release time, caused by attempts whose answer never arrived, µs.
    pub lost_answers: Vec<u64>,
}

fn secs(us: u64) -> f64 {
    us as f64 / 1e6
}

/// Checks a record against all rules and bounds.
pub fn check_record(plan: &SoakPlan, lines: &[(u64, Event)]) -> Verdict {
    let end = lines.last().map_or(0, |(t, _)| *t);
    let mut oracle = Oracle {
        plan,
        requests: BTreeMap::new(),
        incarnations: BTreeMap::new(),
        stalls: Vec::new(),
        end,
        findings: Vec::new(),
        lost_answers: Vec::new(),
    };
    oracle.read(lines);
    oracle.check_drains(lines);
    oracle.check_recovery();
    oracle.check_requests();
    Verdict { findings: oracle.findings, lost_answers: oracle.lost_answers }
}

impl<'a> Oracle<'a> {
    fn report_finding(&mut self, check: Check, id: Option<&str>, text: String) {
        self.findings.push(Finding { check, id: id.map(str::to_owned), text });
    }

    /// Indexes the events by request and router.
    fn read(&mut self, lines: &'a [(u64, Event)]) {
        for (t, event) in lines {
            match event {
                Event::Asked { id, router, repeat, deadline_us, first_on_connection, .. } => {
                    self.request(id).asked = Some((*t, *router, *repeat, *deadline_us, *first_on_connection));
                }
                Event::AnswerBegan { id, status } => self.request(id).began = Some((*t, *status)),
                Event::AnswerEnded { id } => self.request(id).ended = Some(*t),
                Event::AnswerLost { id, begun } => self.request(id).lost = Some((*t, *begun)),
                Event::ClientLeft { id } => self.request(id).left = Some(*t),
                Event::Arrived { id, worker, timeout_us, after_hang, .. } => {
                    let request = self.request(id);
                    request.arrivals.push((*t, *worker, *timeout_us, *after_hang));
                    request.state.push((*t, StateChange::AttemptBegins));
                }
                Event::AttemptOver { id, .. } => self.request(id).state.push((*t, StateChange::AttemptEnds)),
                Event::Reserved { id, .. } => self.request(id).state.push((*t, StateChange::Reserved)),
                Event::Fetched { id } | Event::Released { id } => {
                    self.request(id).state.push((*t, StateChange::Free));
                }
                Event::Ran { id, .. } => self.request(id).runs.push(*t),
                Event::Written { id, .. } => self.request(id).written = Some(*t),
                other => self.read_router_event(*t, other),
            }
        }
    }

    fn read_router_event(&mut self, t: u64, event: &Event) {
        match event {
            Event::RouterStarted { router } => {
                let incarnation = Incarnation { started: t, ..Incarnation::default() };
                self.incarnations.entry(*router).or_default().push(incarnation);
            }
            Event::RouterTerminated { router } => {
                if let Some(incarnation) = self.incarnations.entry(*router).or_default().last_mut() {
                    incarnation.terminated_at = incarnation.terminated_at.or(Some(t));
                    incarnation.terminations += 1;
                }
            }
            Event::RouterEnded { router, killed, code } => self.router_ended(t, *router, *killed, *code),
            Event::Violations { router, count } if *count > 0 => {
                self.report_finding(
                    Check::Violation,
                    None,
                    format!("router {router} counts {count} at {:.3}", secs(t)),
                );
            }
            Event::ViolationLine { router, line } => {
                self.report_finding(
                    Check::Violation,
                    None,
                    format!("router {router} at {:.3}: {line}", secs(t)),
                );
            }
            Event::Size { router, descriptors, memory_kb }
                if *descriptors > MAX_DESCRIPTORS || *memory_kb > MAX_MEMORY_KB =>
            {
                let text = format!("router {router}: {descriptors} descriptors, {memory_kb} KB");
                self.report_finding(Check::Size, None, text);
            }
            Event::MachineStalled { for_us } => self.stalls.push((t, *for_us)),
            _ => {}
        }
    }

    fn request(&mut self, id: &'a str) -> &mut Request {
        self.requests.entry(id).or_default()
    }

    fn router_ended(&mut self, t: u64, router: usize, killed: bool, code: Option<i32>) {
        let Some(incarnation) = self.incarnations.entry(router).or_default().last_mut() else { return };
        incarnation.ended = Some(t);
        // A second SIGTERM makes the router exit at once with its own code.
        let expected_codes = match incarnation.terminations {
            0 => None,
            1 => Some(vec![0]),
            _ => Some(vec![0, TERMINATED_TWICE]),
        };
        let expected =
            expected_codes.zip(code).is_some_and(|(expected_codes, code)| expected_codes.contains(&code));
        if !killed && !expected {
            self.report_finding(
                Check::Crash,
                None,
                format!("router {router} ended at {:.3} with {code:?}", secs(t)),
            );
        }
    }

    /// Total length of the scheduling stalls recorded between two times, µs.
    fn stalled(&self, from: u64, to: u64) -> u64 {
        self.stalls.iter().filter(|(t, _)| (from..=to + NOISE_US).contains(t)).map(|(_, us)| us).sum()
    }

    /// The incarnation of a router that was current at a time.
    fn incarnation(&self, router: usize, at: u64) -> Option<Incarnation> {
        self.incarnations.get(&router)?.iter().rev().find(|l| l.started <= at).copied()
    }

    /// Whether idle connections filled the router at this time, so that it may close new connections unread.
    fn is_crowded(&self, router: usize, at: u64) -> bool {
        self.plan.faults.iter().any(|f| {
            let crowd = matches!(f.kind, FaultKind::Crowd { router: r, .. } if r == router);
            crowd && (f.at_ms * 1_000..(f.until_ms + 1_000) * 1_000).contains(&at)
        })
    }

    /// No new call reaches a worker after its router was notified that the worker leaves.
    fn check_drains(&mut self, lines: &[(u64, Event)]) {
        let mut leaving: BTreeMap<(usize, usize), u64> = BTreeMap::new();
        let mut asked_at: BTreeMap<&str, usize> = BTreeMap::new();
        let mut found = BTreeSet::new();
        for (t, event) in lines {
            match event {
                Event::Notified { router, worker, takes_work: false } => {
                    leaving.insert((*router, *worker), *t);
                }
                Event::Notified { router, worker, takes_work: true } => {
                    leaving.remove(&(*router, *worker));
                }
                Event::Asked { id, router, .. } => {
                    asked_at.insert(id, *router);
                }
                Event::Arrived { id, worker, after_hang: false, .. } => {
                    let Some(router) = asked_at.get(id.as_str()) else { continue };
                    let notified_at = leaving.get(&(*router, *worker));
                    if notified_at.is_some_and(|notified_at| *t > notified_at + DRAIN_GRACE_US)
                        && found.insert((*router, *worker))
                    {
                        let text =
                            format!("worker {worker} got a call {:.3}, told {notified_at:?} us", secs(*t));
                        self.report_finding(Check::Drain, Some(id), text);
                    }
                }
                _ => {}
            }
        }
    }

    /// Once the faults are over, nine in ten requests are served again.
    fn check_recovery(&mut self) {
        let to = (self.plan.length_ms * 1_000).saturating_sub(SERVICE_END_US);
        let from = to.saturating_sub(SERVICE_SPAN_US);
        let in_span =
            |r: &&Request| r.left.is_none() && r.asked.is_some_and(|(t, ..)| (from..to).contains(&t));
        let asked: Vec<&Request> = self.requests.values().filter(in_span).collect();
        let served =
            asked.iter().filter(|r| r.ended.is_some() && r.began.is_some_and(|(_, s)| s == 200)).count();
        if asked.len() >= MIN_JUDGED_REQUESTS && (served as f64) < MIN_SERVED_SHARE * asked.len() as f64 {
            let text =
                format!("{served} of {} served from {:.1} to {:.1}", asked.len(), secs(from), secs(to));
            self.report_finding(Check::Service, None, text);
        }
    }
}
