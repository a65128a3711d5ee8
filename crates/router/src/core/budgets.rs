//! Tenants' budgets: reserved when a request is accepted, settled when its one final answer is given.

use std::collections::BTreeMap;

use chalkyard_api::client::{ErrorBody, ErrorKind};
use chalkyard_budget::{
    BudgetEnforcer, DenialReason, Ending, Figures, Grant, Plan, ReservationRequest, Settled, Time, Usage,
};
use chalkyard_policy as p;

use super::active_request::ActiveRequest;
use super::record::RequestOutcome;
use super::request_intake::Rejection;
use super::{Core, Output};
use crate::identity::RequestIdentity;

impl Core {
    /// Enforces budgets from now on; must be called before the first request. Requests that may have run in an earlier
    /// process and must not run twice are restored from its ledger.
    pub fn enforce_budgets(&mut self, budgets: BudgetEnforcer) {
        let (now, retention) = (self.now, self.config.timeouts.identity);
        for executed in &budgets.state().executed {
            let tenant = self.config.tenants.iter().position(|t| *t.name == *executed.tenant);
            let class = self.config.classes.iter().position(|c| *c.name == *executed.class);
            let class = class.and_then(|c| self.config.policy.classes.get(c));
            let until = p::Micros(executed.at.0) + retention;
            // A class that no longer exists may have been one whose requests must not run twice.
            let must_run_once = class.is_none_or(|c| c.retry_safety != p::RetrySafety::Idempotent);
            if must_run_once && until > now && (tenant.is_some() || executed.tenant.is_empty()) {
                let identity = RequestIdentity { tenant, key: executed.identity.to_string() };
                self.identities.restore(&identity, until);
            }
        }
        self.budgets = Some(budgets);
    }

    /// Budget figures of all tenants, for metrics.
    pub fn budget_figures(&self) -> BTreeMap<Box<str>, Figures> {
        self.budgets.as_ref().map(|budgets| budgets.figures(self.time())).unwrap_or_default()
    }

    fn time(&self) -> Time {
        Time(self.now.0)
    }

    /// Outputs the pending records for the ledger. Outputs that follow must not overtake them.
    pub(super) fn write_records(&mut self) {
        let Some(budgets) = &mut self.budgets else { return };
        let records = budgets.take_records();
        self.outputs.extend(records.map(|(number, record)| Output::Record(number, Box::new(record))));
    }

    /// Reserves a request's budget, with a shorter answer or a lower class where the budget plan permits it, or
    /// rejects the request.
    pub(super) fn reserve_budget(&mut self, request: &mut ActiveRequest) -> Result<(), Rejection> {
        let now = self.time();
        let Self { budgets: Some(budgets), config, .. } = self else { return Ok(()) };
        let tenant = request.spec.tenant.and_then(|t| config.tenants.get(t.0));
        let class = config.classes.get(request.spec.class.0).map_or("", |c| c.name.as_str());
        let id = request.spec.id.0.clone();
        let reservation = ReservationRequest {
            id: &id,
            tenant: tenant.map_or("", |t| t.name.as_str()),
            class,
            identity: request.idempotency_key(),
            prompt: request.spec.prompt_tokens,
            output: request.spec.max_output_tokens,
        };
        let admission = budgets.admit(now, reservation).map_err(|denial| {
            let status = if denial.reason == DenialReason::LedgerUnavailable { 503 } else { 429 };
            let retry_after = Some(p::Micros(denial.retry_after).as_secs_f64());
            let reason = denial.to_string();
            let body =
                ErrorBody { kind: ErrorKind::Refused, reason, field: None, may_have_run: false, retry_after };
            Rejection { status, body }
        })?;
        request.limit_output(admission.output);
        if let Some(lower) = admission.lower_to {
            let position = self.config.classes.iter().position(|c| *c.name == *lower);
            request.spec.class = position.map_or(request.spec.class, p::ClassId);
        }
        for mark in admission.marks {
            let percent = f64::from(mark.thousandths) / 10.0;
            self.note(
                "budget",
                format!("{}: {percent} % of the period's budget is reserved or spent", mark.account),
            );
        }
        self.write_records();
        Ok(())
    }

    /// Settles a request's budget at its final answer, when its cost is known.
    pub(super) fn settle_budget(&mut self, id: &p::RequestId, ended: RequestOutcome) {
        let now = self.time();
        let Some((budgets, request)) = self.budgets.as_mut().zip(self.requests.get(id)) else { return };
        let begun = request.is_streaming();
        let ending = match ended {
            RequestOutcome::Served => Ending::Served,
            RequestOutcome::Rejected | RequestOutcome::RejectedAtIntake => Ending::Refused,
            RequestOutcome::Failed | RequestOutcome::Overdue | RequestOutcome::Stopped if !begun => {
                Ending::Failed
            }
            RequestOutcome::Failed
            | RequestOutcome::Overdue
            | RequestOutcome::Stopped
            | RequestOutcome::Broken
            | RequestOutcome::Migrated => Ending::Broken,
            RequestOutcome::ClientGone | RequestOutcome::ClientSlow if begun => Ending::Left,
            RequestOutcome::ClientGone | RequestOutcome::ClientSlow => Ending::LeftEarly,
        };
        let usage: Usage = request.billed_tokens(ending == Ending::Left);
        budgets.settle(now, &id.0, ending, usage, request.billed_attempts(), request.may_have_run());
        self.write_records();
    }

    pub(super) fn lease_granted(&mut self, grant: &Grant) {
        let now = self.time();
        let Some(budgets) = &mut self.budgets else { return };
        match budgets.adopt(now, grant) {
            Ok(()) => self.write_records(),
            // The same lease is read repeatedly, so an old one is no error.
            Err(chalkyard_budget::AdoptLeaseError::Old) => {}
            Err(error) => self.note("budget", format!("lease {} was rejected: {error:?}", grant.number)),
        }
    }

    pub(super) fn ledger_writable(&mut self, writable: bool) {
        if let Some(budgets) = &mut self.budgets {
            budgets.set_writable(writable);
            let state =
                if writable { "is writable again" } else { "is not writable: new requests are rejected" };
            self.note("ledger", format!("the ledger {state}"));
        }
    }

    pub(super) fn checkpoint(&mut self) {
        if let Some(budgets) = &mut self.budgets {
            budgets.checkpoint();
            self.write_records();
        }
    }

    pub(super) fn settled_by_predecessor(&mut self, settled: &Settled) {
        let now = self.time();
        if let Some(budgets) = &mut self.budgets {
            budgets.settle_inherited(now, settled);
            self.write_records();
        }
    }

    pub(super) fn predecessor_finished(&mut self) {
        let now = self.time();
        if let Some(budgets) = &mut self.budgets {
            budgets.finish_inheritance(now);
            self.write_records();
        }
    }

    pub(super) fn replace_budget_plan(&mut self, plan: Plan) {
        if let Some(budgets) = &mut self.budgets {
            budgets.set_plan(plan);
            self.note("budget", "the budget plan was replaced; recorded spending is kept".into());
        }
    }
}
