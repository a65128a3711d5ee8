//! Judges what one seed's sockets showed: the five rules, crashes, sizes, and the service after the last fault.

mod requests;

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;

use super::plan::{FaultKind, Repeat, SoakPlan};
use super::record::Event;

/// A rule or bound that the soak checks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Check {
    /// One final answer in time.
    Answered,
    /// No effect twice, and none refused.
    Effect,
    /// Nothing new to a worker that leaves.
    Drain,
    /// A reservation is fetched or released in time.
    #[serde(rename = "held")]
    Reservation,
    /// The timeout passed to a worker is at most what its client has left.
    #[serde(rename = "told_time")]
    PropagatedTimeout,
    /// No attempt for a client that has gone.
    Gone,
    /// A stream that its worker has finished reaches its client.
    #[serde(rename = "whole")]
    CompleteStream,
    /// No process ends by itself.
    Crash,
    /// No obligation ran out by the router's own count.
    Violation,
    /// Descriptors and memory.
    Size,
    /// Service after the last fault.
    Service,
}

impl Check {
    /// As the printed report names it.
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

/// Something that was broken.
#[derive(Debug, Clone, Serialize)]
pub struct Finding {
    /// What.
    pub check: Check,
    /// The request, where it is about one.
    pub id: Option<String>,
    /// In words, with times in seconds.
    pub text: String,
}

/// Past the told time, as the protocol gives it: for held state by the number of routers, for answers, told times and
/// clients that have gone.
const RELEASE_SLACK_US: u64 = 300_000;
const RELEASE_SLACK_MANY_US: u64 = 1_000_000;
const FEW_ROUTERS: usize = 12;
const ANSWER_SLACK_US: u64 = 500_000;
const TIMEOUT_SLACK_US: u64 = 150_000;
const GONE_SLACK_US: u64 = 100_000;
const DRAIN_GRACE_US: u64 = 350_000;
/// What comes later than this after SIGTERM must have its answer when the process is killed.
const TERMINATE_TAKES_US: u64 = 700_000;
const DESCRIPTORS_MOST: usize = 256;
/// Exit code of a router that was told twice to end.
const TERMINATED_TWICE: i32 = 5;
const MEMORY_MOST_KB: u64 = 64 * 1024;
/// Of the requests of the calm time so many are served.
const SERVED_LEAST: f64 = 0.9;
const SERVED_OF_LEAST: usize = 20;
/// The calm time that is judged ends so long before the scenario's end, and lasts so long.
const SERVICE_END_US: u64 = 1_000_000;
const SERVICE_SPAN_US: u64 = 2_500_000;
/// The fakes' own scheduling, on a machine that is shared.
const NOISE_US: u64 = 30_000;

/// One incarnation of a router: from the start of its process to its end.
#[derive(Debug, Clone, Copy, Default)]
struct Incarnation {
    started: u64,
    terminated_at: Option<u64>,
    /// How often.
    terminations: u32,
    ended: Option<u64>,
}

/// What is known of one request.
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
    /// What moves the clock of held state, in order.
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
    /// How long state waited behind reads whose answer never came, of those past its time.
    lost_answers: Vec<u64>,
}

/// What was broken, and how long state waited behind reads whose answer never came, of those past its time, us.
pub struct Verdict {
    /// All that was broken.
    pub findings: Vec<Finding>,
    /// See above.
    pub lost_answers: Vec<u64>,
}

fn secs(us: u64) -> f64 {
    us as f64 / 1e6
}

/// Judges a record.
pub fn judge(plan: &SoakPlan, lines: &[(u64, Event)]) -> Verdict {
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
    oracle.judge_drains(lines);
    oracle.judge_service();
    oracle.judge_requests();
    Verdict { findings: oracle.findings, lost_answers: oracle.lost_answers }
}

impl<'a> Oracle<'a> {
    fn report_finding(&mut self, check: Check, id: Option<&str>, text: String) {
        self.findings.push(Finding { check, id: id.map(str::to_owned), text });
    }

    /// Sorts the events by request and router.
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
                if *descriptors > DESCRIPTORS_MOST || *memory_kb > MEMORY_MOST_KB =>
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
        // Told twice, it ends at once and says so by its code.
        let wanted = match incarnation.terminations {
            0 => None,
            1 => Some(vec![0]),
            _ => Some(vec![0, TERMINATED_TWICE]),
        };
        let meant = wanted.zip(code).is_some_and(|(wanted, code)| wanted.contains(&code));
        if !killed && !meant {
            self.report_finding(
                Check::Crash,
                None,
                format!("router {router} ended at {:.3} with {code:?}", secs(t)),
            );
        }
    }

    /// How long the machine stood still between two times.
    fn stalled(&self, from: u64, to: u64) -> u64 {
        self.stalls.iter().filter(|(t, _)| (from..=to + NOISE_US).contains(t)).map(|(_, us)| us).sum()
    }

    /// The life of a router at a time.
    fn incarnation(&self, router: usize, at: u64) -> Option<Incarnation> {
        self.incarnations.get(&router)?.iter().rev().find(|l| l.started <= at).copied()
    }

    /// Whether idle clients filled a router then: new connections may be shut unread.
    fn is_crowded(&self, router: usize, at: u64) -> bool {
        self.plan.faults.iter().any(|f| {
            let crowd = matches!(f.kind, FaultKind::Crowd { router: r, .. } if r == router);
            crowd && (f.at_ms * 1_000..(f.until_ms + 1_000) * 1_000).contains(&at)
        })
    }

    /// Nothing new reaches a worker of which the router was told that it leaves.
    fn judge_drains(&mut self, lines: &[(u64, Event)]) {
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
                    let told = leaving.get(&(*router, *worker));
                    if told.is_some_and(|told| *t > told + DRAIN_GRACE_US) && found.insert((*router, *worker))
                    {
                        let text = format!("worker {worker} got a call {:.3}, told {told:?} us", secs(*t));
                        self.report_finding(Check::Drain, Some(id), text);
                    }
                }
                _ => {}
            }
        }
    }

    /// Once all faults have been over for a while, nine in ten are served again.
    fn judge_service(&mut self) {
        let to = (self.plan.length_ms * 1_000).saturating_sub(SERVICE_END_US);
        let from = to.saturating_sub(SERVICE_SPAN_US);
        let in_span =
            |r: &&Request| r.left.is_none() && r.asked.is_some_and(|(t, ..)| (from..to).contains(&t));
        let asked: Vec<&Request> = self.requests.values().filter(in_span).collect();
        let served =
            asked.iter().filter(|r| r.ended.is_some() && r.began.is_some_and(|(_, s)| s == 200)).count();
        if asked.len() >= SERVED_OF_LEAST && (served as f64) < SERVED_LEAST * asked.len() as f64 {
            let text =
                format!("{served} of {} served from {:.1} to {:.1}", asked.len(), secs(from), secs(to));
            self.report_finding(Check::Service, None, text);
        }
    }
}
