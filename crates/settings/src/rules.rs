//! `<rules>`: what the decision module is told.

use chalkyard_policy as p;
use chalkyard_policy::Micros;

use crate::values::{DiscoveryWord, Positive, ReportsWord, Share, Span};
use crate::xml::{Element, Errors};

/// Reads `<rules>`, and the number of routers of `<router>`.
pub fn policy(
    router: &mut Element<'_, '_>,
    rules: &mut Option<Element<'_, '_>>,
    errors: &mut Errors,
) -> p::Settings {
    let routers = router.or("routers", 1_u64, errors);
    if !(1..=100_000).contains(&routers) {
        router.wrong(Some("routers"), "must be 1 to 100000", errors);
    }
    let mut settings = p::Settings {
        routers: routers as u32,
        classes: Vec::new(),
        tenants: Vec::new(),
        discovery: p::Discovery::Push,
        max_poll_interval: Micros(10_000_000),
        self_prefill: true,
        resume: false,
        reservation_timeout: Micros(1_000_000),
        max_attempts: 4,
        may_cancel: true,
        max_retry_after: Micros(2_000_000),
        overload_multiple: 3.0,
        overload_window: Micros(2_000_000),
        slow_start_initial_share: 0.3,
        slow_start_duration: Micros(10_000_000),
        answer_slack: Micros(100_000),
        tick: Micros(2_000),
        weighted: false,
        load_reporting: p::LoadReporting::InResponses,
    };
    let Some(r) = rules else { return settings };
    let s = &mut settings;
    s.discovery = r.or("discovery", DiscoveryWord(s.discovery), errors).0;
    s.max_poll_interval = r.or("must-ask-in", Span(s.max_poll_interval), errors).0;
    s.self_prefill = r.or("self-prefill", s.self_prefill, errors);
    s.reservation_timeout = r.or("release", Span(s.reservation_timeout), errors).0;
    let attempts = r.or("max-attempts", u64::from(s.max_attempts), errors);
    if !(1..=100).contains(&attempts) {
        r.wrong(Some("max-attempts"), "max-attempts must be 1 to 100", errors);
    }
    s.max_attempts = attempts.clamp(1, 100) as u32;
    s.may_cancel = r.or("may-cancel", s.may_cancel, errors);
    s.max_retry_after = r.or("max-retry-after", Span(s.max_retry_after), errors).0;
    s.overload_multiple = r.or("fall-multiple", Positive(s.overload_multiple), errors).0;
    s.overload_window = r.or("fall-after", Span(s.overload_window), errors).0;
    s.slow_start_initial_share = r.or("cold-from", Share(s.slow_start_initial_share), errors).0;
    s.slow_start_duration = r.or("cold-for", Span(s.slow_start_duration), errors).0;
    s.answer_slack = r.or("answer-slack", Span(s.answer_slack), errors).0;
    s.weighted = r.or("weighted", s.weighted, errors);
    s.load_reporting = r.or("reports", ReportsWord(s.load_reporting), errors).0;
    let ms = |n: u64| Micros(n * 1_000);
    // A register that is down is asked again after a tenth of must-ask-in.
    let least = [
        ("release", s.reservation_timeout, 10),
        ("fall-after", s.overload_window, 10),
        ("cold-for", s.slow_start_duration, 10),
    ];
    for (name, span, least) in least.into_iter().chain([("must-ask-in", s.max_poll_interval, 1_000)]) {
        if span < ms(least) {
            r.wrong(Some(name), format!("{name} must be at least {least}ms"), errors);
        }
    }
    r.done(errors);
    settings
}
