//! Tests of the retries of system calls.
#![allow(clippy::unwrap_used)]
use super::*;

#[test]
fn a_transient_error_is_retried_up_to_the_attempt_limit() {
    for failures in [0, 1, 3, 9] {
        let mut calls = 0;
        let result = with_retries(4, || {
            calls += 1;
            if calls <= failures {
                Err(io::Error::from_raw_os_error(ENOBUFS))
            } else {
                Ok(calls)
            }
        });
        assert_eq!(result.is_ok(), failures < 4);
        assert_eq!(calls, (failures + 1).min(4));
    }
}

#[test]
fn an_address_in_use_is_not_retried() {
    let mut calls = 0;
    let result: io::Result<()> = with_retries(4, || {
        calls += 1;
        Err(io::ErrorKind::AddrInUse.into())
    });
    assert!(result.is_err());
    assert_eq!(calls, 1);
}

/// No buffer space is available, a transient error.
const ENOBUFS: i32 = 105;
