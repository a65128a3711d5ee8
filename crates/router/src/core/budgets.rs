//! Budgets in the flow: a reservation at a request's beginning, its settlement at the one final answer.

use std::collections::BTreeMap;

use chalkyard_api::client::{ErrorBody, ErrorKind};
use chalkyard_budget::{
    BudgetEnforcer, DenialReason, Ending, Figures, Grant, Plan, ReservationRequest, Settled, Time, Usage,
};
use chalkyard_policy as p;

use super::job::Job;
use super::record::Ended;
use super::requests::Rejection;
use super::{Core, Output};

impl Core {
    /// Has budgets kept from now on; before the start. Identities that may have run in an earlier life and must not
    /// run twice are known from its ledger.
    pub fn keep_budgets(&mut self, budget_enforcer: BudgetEnforcer) {
        let (now, wait) = (self.now, self.config.waits.identity);
        for ran in &budget_enforcer.state().executed {
            let tenant = self.config.tenants.iter().position(|t| *t.name == *ran.tenant);
            let class = self.config.classes.iter().position(|c| *c.name == *ran.class);
            let class = class.and_then(|c| self.config.policy.classes.get(c));
            let until = p::Micros(ran.at.0) + wait;
            // A class that is gone may have been one that must not run twice.
            let once = class.is_none_or(|c| c.retry_safety != p::RetrySafety::Idempotent);
            if once && until > now && (tenant.is_some() || ran.tenant.is_empty()) {
                self.identities.restore(&(tenant, ran.identity.to_string()), until);
            }
        }
        self.budget_enforcer = Some(budget_enforcer);
    }

    /// Tenants' budget figures, for metrics.
    pub fn budget_figures(&self) -> BTreeMap<Box<str>, Figures> {
        self.budget_enforcer.as_ref().map(|k| k.figures(self.time())).unwrap_or_default()
    }

    fn time(&self) -> Time {
        Time(self.now.0)
    }

    /// Gives out the budget_enforcer's records: what follows in the outputs follows them.
    pub(super) fn write_records(&mut self) {
        let Some(budget_enforcer) = &mut self.budget_enforcer else { return };
        let records = budget_enforcer.take_records();
        self.out.extend(records.map(|(number, record)| Output::Record(number, Box::new(record))));
    }

    /// Reserves for a request, and cuts or lowers it where that is agreed; or refuses it.
    pub(super) fn reserve(&mut self, job: &mut Job) -> Result<(), Rejection> {
        let now = self.time();
        let Self { budget_enforcer: Some(budget_enforcer), config, .. } = self else { return Ok(()) };
        let tenant = job.request.tenant.and_then(|t| config.tenants.get(t.0));
        let class = config.classes.get(job.request.class.0).map_or("", |c| c.name.as_str());
        let id = job.request.id.0.clone();
        let request = ReservationRequest {
            id: &id,
            tenant: tenant.map_or("", |t| t.name.as_str()),
            class,
            identity: job.identity_key(),
            prompt: job.request.prompt_tokens,
            output: job.request.max_output,
        };
        let admission = budget_enforcer.admit(now, request).map_err(|denial| {
            let status = if denial.reason == DenialReason::LedgerUnavailable { 503 } else { 429 };
            let retry_after = Some(p::Micros(denial.retry_after).as_secs_f64());
            let reason = denial.to_string();
            let body =
                ErrorBody { kind: ErrorKind::Refused, reason, field: None, may_have_run: false, retry_after };
            Rejection { status, body }
        })?;
        job.cut_answer(admission.output);
        if let Some(lower) = admission.lower_to {
            let place = self.config.classes.iter().position(|c| *c.name == *lower);
            job.request.class = place.map_or(job.request.class, p::ClassId);
        }
        for mark in admission.marks {
            let part = f64::from(mark.thousandths) / 10.0;
            self.note(
                "budget",
                format!("{}: {part} % of the period's budget is reserved or spent", mark.account),
            );
        }
        self.write_records();
        Ok(())
    }

    /// The final answer is given: what the request cost is known.
    pub(super) fn settle_budget(&mut self, id: &p::RequestId, ended: Ended) {
        let now = self.time();
        let Some((budget_enforcer, job)) = self.budget_enforcer.as_mut().zip(self.jobs.get(id)) else {
            return;
        };
        let begun = job.has_begun();
        let ending = match ended {
            Ended::Served => Ending::Served,
            Ended::Refused | Ended::Turned => Ending::Refused,
            Ended::Failed | Ended::Overdue | Ended::Stopped if !begun => Ending::Failed,
            Ended::Failed | Ended::Overdue | Ended::Stopped | Ended::Broken | Ended::Moved => Ending::Broken,
            Ended::ClientGone | Ended::ClientSlow if begun => Ending::Left,
            Ended::ClientGone | Ended::ClientSlow => Ending::LeftEarly,
        };
        let usage: Usage = job.counted(ending == Ending::Left);
        budget_enforcer.settle(now, &id.0, ending, usage, job.billed_attempts(), job.may_have_run());
        self.write_records();
    }

    pub(super) fn granted(&mut self, grant: &Grant) {
        let now = self.time();
        let Some(budget_enforcer) = &mut self.budget_enforcer else { return };
        match budget_enforcer.adopt(now, grant) {
            Ok(()) => self.write_records(),
            // The file is read again and again: an old one is no news.
            Err(chalkyard_budget::AdoptLeaseError::Old) => {}
            Err(why) => self.note("budget", format!("lease {} is not taken: {why:?}", grant.number)),
        }
    }

    pub(super) fn writable(&mut self, writable: bool) {
        if let Some(budget_enforcer) = &mut self.budget_enforcer {
            budget_enforcer.set_writable(writable);
            let what =
                if writable { "can be written again" } else { "can't be written: nothing new is taken" };
            self.note("ledger", format!("the ledger {what}"));
        }
    }

    pub(super) fn checkpoint(&mut self) {
        if let Some(budget_enforcer) = &mut self.budget_enforcer {
            budget_enforcer.checkpoint();
            self.write_records();
        }
    }

    pub(super) fn inherited(&mut self, settled: &Settled) {
        let now = self.time();
        if let Some(budget_enforcer) = &mut self.budget_enforcer {
            budget_enforcer.inherit(now, settled);
            self.write_records();
        }
    }

    pub(super) fn inherited_all(&mut self) {
        let now = self.time();
        if let Some(budget_enforcer) = &mut self.budget_enforcer {
            budget_enforcer.inherited_all(now);
            self.write_records();
        }
    }

    pub(super) fn replan(&mut self, plan: Plan) {
        if let Some(budget_enforcer) = &mut self.budget_enforcer {
            budget_enforcer.replan(plan);
            self.note("budget", "other budgets hold from now on; what is spent stays".into());
        }
    }
}
