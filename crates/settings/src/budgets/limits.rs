//! `<budget>`, `<rate>` and `<price>`: token limits, rate limits and prices of tenants.

use std::collections::BTreeSet;

use chalkyard_budget::{
    AccountKey, HardLimitAction, Limit, PeriodKind, Price, RateLimit, SoftLimitAction, Units,
};
use chalkyard_policy as p;

use super::values::{Currency, Day, Marks, PeriodValue, Thousandths};
use crate::values::Name;
use crate::xml::{Element, Errors};

/// Largest budget in tokens: its units times 1000 must fit a `u64`.
const MAX_BUDGET_TOKENS: u64 = u64::MAX / Units::PER_TOKEN / 1_000;

/// Names that `<budgets>` may refer to.
pub struct KnownNames<'a> {
    pub tenants: BTreeSet<&'a str>,
    pub classes: Vec<(&'a str, &'a p::Class)>,
    /// Number of routers.
    pub routers: u32,
}

impl KnownNames<'_> {
    fn class(&self, name: &str) -> Option<&p::Class> {
        self.classes.iter().find(|(known, _)| *known == name).map(|(_, class)| *class)
    }
}

/// Reads the action above the soft limit.
fn soft_action(
    element: &mut Element<'_, '_>,
    class: Option<&str>,
    known: &KnownNames<'_>,
    errors: &mut Errors,
) -> SoftLimitAction {
    let max_tokens = element.optional::<u64>("soft-answer", errors);
    let lower_class = element.optional::<Name>("soft-class", errors).map(|name| name.0);
    match (max_tokens, lower_class) {
        (None, None) => SoftLimitAction::Warn,
        (Some(0), None) => {
            element.report(Some("soft-answer"), "must be at least 1 token", errors);
            SoftLimitAction::Warn
        }
        (Some(tokens), None) => SoftLimitAction::Clamp(tokens),
        (None, Some(lower_class)) => {
            check_lower_class(element, class, &lower_class, known, errors);
            SoftLimitAction::Lower(lower_class.into())
        }
        (Some(_), Some(_)) => {
            element.report(Some("soft-class"), "cannot be combined with `soft-answer`", errors);
            SoftLimitAction::Warn
        }
    }
}

/// Reports a lower class whose retry safety differs: whether a request may be retried must not depend on token usage.
fn check_lower_class(
    element: &Element<'_, '_>,
    class: Option<&str>,
    lower_class: &str,
    known: &KnownNames<'_>,
    errors: &mut Errors,
) {
    let Some(to) = known.class(lower_class) else {
        element.report(Some("soft-class"), format!("no <class name=\"{lower_class}\">"), errors);
        return;
    };
    let lowered = known.classes.iter().filter(|(name, _)| class.is_none_or(|class| class == *name));
    for (name, from) in lowered {
        if from.retry_safety != to.retry_safety {
            let message = format!(
                "class `{lower_class}` has another effect than class `{name}`, whose requests it would receive"
            );
            element.report(Some("soft-class"), message, errors);
        }
    }
}

/// Reads the tenant that an element applies to.
fn tenant(element: &mut Element<'_, '_>, known: &KnownNames<'_>, errors: &mut Errors) -> Box<str> {
    let name = element.required("tenant", Name("-".into()), errors).0;
    if !known.tenants.contains(name.as_str()) {
        element.report(Some("tenant"), format!("no <tenant name=\"{name}\">"), errors);
    }
    name.into()
}

/// Reads `<budget>`.
pub fn limit(
    element: &mut Element<'_, '_>,
    known: &KnownNames<'_>,
    errors: &mut Errors,
) -> (AccountKey, Limit) {
    let tenant = tenant(element, known, errors);
    let class = element.optional::<Name>("class", errors).map(|n| n.0);
    if class.as_ref().is_some_and(|class| known.class(class).is_none()) {
        element.report(Some("class"), "no such <class>", errors);
    }
    let kind = element.required("period", PeriodValue(PeriodKind::Day), errors).0;
    let tokens = element.required("tokens", 1_u64, errors);
    if !(1..=MAX_BUDGET_TOKENS).contains(&tokens) {
        element.report(Some("tokens"), "must be 1 to 18446744073709", errors);
    }
    let soft = element.with_default("soft", Thousandths(1_000), errors).0;
    if soft > 1_000 {
        element.report(Some("soft"), "must be at most 1", errors);
    }
    let limit = Limit {
        hard: Units::tokens(tokens),
        soft,
        at_soft: soft_action(element, class.as_deref(), known, errors),
        at_hard: element
            .optional::<u64>("least-answer", errors)
            .map_or(HardLimitAction::Refuse, HardLimitAction::Clamp),
        marks: element.with_default("marks", Marks(Vec::new()), errors).0,
    };
    (AccountKey { tenant, class: class.map(Into::into), kind }, limit)
}

/// Reads `<rate>`.
pub fn rate(
    element: &mut Element<'_, '_>,
    known: &KnownNames<'_>,
    errors: &mut Errors,
) -> (Box<str>, RateLimit) {
    let tenant = tenant(element, known, errors);
    let per_second = Units::tokens(element.required("tokens-per-s", 1_u64, errors));
    let burst = element.optional::<u64>("burst", errors).map_or(per_second, Units::tokens);
    if per_second == Units(0) {
        element.report(Some("tokens-per-s"), "must be at least 1", errors);
    }
    (tenant, RateLimit { per_second, burst })
}

/// Reads `<price>`.
pub fn price(element: &mut Element<'_, '_>, errors: &mut Errors) -> Price {
    Price {
        from: element.required("from", Day("2000-01-01".into()), errors).0,
        currency: element.required("currency", Currency("x".into()), errors).0,
        prompt: element.required("prompt", 0_u64, errors),
        cached: element.required("kept", 0_u64, errors),
        output: element.required("output", 0_u64, errors),
    }
}
