//! `<rules>`: what the decision module is told.

use chalkyard_policy as p;
use chalkyard_policy::Micros;

use crate::values::{DiscoveryValue, Fraction, PositiveNumber, ReportsValue, TimeSpan};
use crate::xml::{Element, Errors};

/// Reads `<rules>`, and the number of routers of `<router>`.
pub fn policy(
    router: &mut Element<'_, '_>,
    rules: &mut Option<Element<'_, '_>>,
    errors: &mut Errors,
) -> p::Settings {
    let routers = router.with_default("routers", 1_u64, errors);
    if !(1..=100_000).contains(&routers) {
        router.report(Some("routers"), "must be 1 to 100000", errors);
    }
    let mut settings = p::Settings {
        routers: routers as u32,
        classes: Vec::new(),
        tenants: Vec::new(),
        discovery: p::Discovery::Push,
        must_ask_in: Micros(10_000_000),
        self_prefill: true,
        resume: false,
        release: Micros(1_000_000),
        max_attempts: 4,
        may_cancel: true,
        max_retry_after: Micros(2_000_000),
        fall_multiple: 3.0,
        fall_after: Micros(2_000_000),
        cold_from: 0.3,
        cold_for: Micros(10_000_000),
        answer_slack: Micros(100_000),
        tick: Micros(2_000),
        weighted: false,
        reports: p::Reports::InAnswers,
    };
    let Some(r) = rules else { return settings };
    let s = &mut settings;
    s.discovery = r.with_default("discovery", DiscoveryValue(s.discovery), errors).0;
    s.must_ask_in = r.with_default("must-ask-in", TimeSpan(s.must_ask_in), errors).0;
    s.self_prefill = r.with_default("self-prefill", s.self_prefill, errors);
    s.release = r.with_default("release", TimeSpan(s.release), errors).0;
    let attempts = r.with_default("max-attempts", u64::from(s.max_attempts), errors);
    if !(1..=100).contains(&attempts) {
        r.report(Some("max-attempts"), "max-attempts must be 1 to 100", errors);
    }
    s.max_attempts = attempts.clamp(1, 100) as u32;
    s.may_cancel = r.with_default("may-cancel", s.may_cancel, errors);
    s.max_retry_after = r.with_default("max-retry-after", TimeSpan(s.max_retry_after), errors).0;
    s.fall_multiple = r.with_default("fall-multiple", PositiveNumber(s.fall_multiple), errors).0;
    s.fall_after = r.with_default("fall-after", TimeSpan(s.fall_after), errors).0;
    s.cold_from = r.with_default("cold-from", Fraction(s.cold_from), errors).0;
    s.cold_for = r.with_default("cold-for", TimeSpan(s.cold_for), errors).0;
    s.answer_slack = r.with_default("answer-slack", TimeSpan(s.answer_slack), errors).0;
    s.weighted = r.with_default("weighted", s.weighted, errors);
    s.reports = r.with_default("reports", ReportsValue(s.reports), errors).0;
    let ms = |n: u64| Micros(n * 1_000);
    // A register that is down is asked again after a tenth of must-ask-in.
    let least = [("release", s.release, 10), ("fall-after", s.fall_after, 10), ("cold-for", s.cold_for, 10)];
    for (name, span, least) in least.into_iter().chain([("must-ask-in", s.must_ask_in, 1_000)]) {
        if span < ms(least) {
            r.report(Some(name), format!("{name} must be at least {least}ms"), errors);
        }
    }
    r.finish(errors);
    settings
}
