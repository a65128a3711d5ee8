//! `<rules>`: settings of the decision module.

use chalkyard_policy as p;
use chalkyard_policy::Micros;

use crate::values::{DiscoveryValue, Fraction, PositiveNumber, ReportsValue, TimeSpan};
use crate::xml::{Element, Errors};

/// Largest number of routers.
const MAX_ROUTERS: u64 = 100_000;
/// Largest number of attempts per request.
const MAX_ATTEMPTS: u64 = 100;

/// Reads `<rules>`, and the number of routers from `<router>`.
pub fn policy(
    router: &mut Element<'_, '_>,
    rules: &mut Option<Element<'_, '_>>,
    errors: &mut Errors,
) -> p::Settings {
    let mut settings = defaults();
    settings.routers = routers(router, errors);
    if let Some(rules) = rules {
        read_rules(rules, &mut settings, errors);
        check_minimums(rules, &settings, errors);
        rules.finish(errors);
    }
    settings
}

/// Defaults of `<rules>`.
fn defaults() -> p::Settings {
    p::Settings {
        routers: 1,
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
    }
}

fn routers(router: &mut Element<'_, '_>, errors: &mut Errors) -> u32 {
    let routers = router.with_default("routers", 1_u64, errors);
    if !(1..=MAX_ROUTERS).contains(&routers) {
        router.report(Some("routers"), "must be 1 to 100000", errors);
    }
    routers as u32
}

fn max_attempts(rules: &mut Element<'_, '_>, default: u32, errors: &mut Errors) -> u32 {
    let attempts = rules.with_default("max-attempts", u64::from(default), errors);
    if !(1..=MAX_ATTEMPTS).contains(&attempts) {
        rules.report(Some("max-attempts"), "max-attempts must be 1 to 100", errors);
    }
    attempts.clamp(1, MAX_ATTEMPTS) as u32
}

fn read_rules(rules: &mut Element<'_, '_>, settings: &mut p::Settings, errors: &mut Errors) {
    settings.discovery = rules.with_default("discovery", DiscoveryValue(settings.discovery), errors).0;
    settings.max_poll_interval =
        rules.with_default("must-ask-in", TimeSpan(settings.max_poll_interval), errors).0;
    settings.self_prefill = rules.with_default("self-prefill", settings.self_prefill, errors);
    settings.reservation_timeout =
        rules.with_default("release", TimeSpan(settings.reservation_timeout), errors).0;
    settings.max_attempts = max_attempts(rules, settings.max_attempts, errors);
    settings.may_cancel = rules.with_default("may-cancel", settings.may_cancel, errors);
    settings.max_retry_after =
        rules.with_default("max-retry-after", TimeSpan(settings.max_retry_after), errors).0;
    settings.overload_multiple =
        rules.with_default("fall-multiple", PositiveNumber(settings.overload_multiple), errors).0;
    settings.overload_window = rules.with_default("fall-after", TimeSpan(settings.overload_window), errors).0;
    settings.slow_start_initial_share =
        rules.with_default("cold-from", Fraction(settings.slow_start_initial_share), errors).0;
    settings.slow_start_duration =
        rules.with_default("cold-for", TimeSpan(settings.slow_start_duration), errors).0;
    settings.answer_slack = rules.with_default("answer-slack", TimeSpan(settings.answer_slack), errors).0;
    settings.weighted = rules.with_default("weighted", settings.weighted, errors);
    settings.load_reporting = rules.with_default("reports", ReportsValue(settings.load_reporting), errors).0;
}

/// Reports durations below their minimums.
fn check_minimums(rules: &Element<'_, '_>, settings: &p::Settings, errors: &mut Errors) {
    // An unreachable endpoint source is polled again after a tenth of must-ask-in.
    let spans = [
        ("release", settings.reservation_timeout, 10),
        ("fall-after", settings.overload_window, 10),
        ("cold-for", settings.slow_start_duration, 10),
        ("must-ask-in", settings.max_poll_interval, 1_000),
    ];
    for (name, span, min_ms) in spans {
        if span < Micros(min_ms * 1_000) {
            rules.report(Some(name), format!("{name} must be at least {min_ms}ms"), errors);
        }
    }
}
