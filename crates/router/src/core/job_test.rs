#![allow(clippy::unwrap_used)]

use chalkyard_policy::obligations::Denied;
use chalkyard_policy::Outcome;

use super::{outcome_name, At};

#[test]
fn each_stage_outcome_and_denial_is_logged_by_its_name() {
    assert_eq!([At::Read, At::Pull, At::Whole].map(At::name), ["read", "pull", "whole"]);
    let outcomes = [
        (Outcome::Served, "served"),
        (Outcome::Prefilled, "parsed"),
        (Outcome::ServerError, "server_error"),
        (Outcome::Rejected { no_state: false }, "refused"),
        (Outcome::Rejected { no_state: true }, "no_state"),
        (Outcome::TimedOut, "timed_out"),
        (Outcome::NoConnection, "no_connection"),
        (Outcome::ConnectionLost, "connection_lost"),
        (Outcome::Cancelled, "cancelled"),
        (Outcome::NotSent, "not_sent"),
    ];
    for (outcome, name) in outcomes {
        assert_eq!(outcome_name(outcome), name);
    }
    let denials = [
        (Denied::Answered, "answered"),
        (Denied::Begun, "begun"),
        (Denied::PastDeadline, "past_deadline"),
        (Denied::AttemptOpen, "attempt_open"),
        (Denied::AttemptsUsed, "attempts_used"),
        (Denied::NotInService, "not_in_service"),
        (Denied::MayHaveRun, "may_have_run"),
        (Denied::AnswerOwed, "answer_owed"),
    ];
    for (denied, name) in denials {
        assert_eq!(denied.name(), name);
    }
}
