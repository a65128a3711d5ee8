//! Guards against memory and time that grow with the square of the settings file's length. The measure is the number of
//! allocated bytes, which is deterministic.
#![allow(clippy::unwrap_used, clippy::expect_used, missing_docs)]

use std::alloc::System;
use std::fmt::Write;

use cap::Cap;

#[global_allocator]
static ALLOCATOR: Cap<System> = Cap::new(System, usize::MAX);

/// Settings with `tenants` tenants, each with a key, two budgets and a rate, and half as many engines.
fn settings(tenants: usize) -> String {
    let (mut named, mut budgets, mut engines) = (String::new(), String::new(), String::new());
    for n in 0..tenants {
        writeln!(named, "<tenant name=\"t{n:06}\"><key hash=\"{n:064x}\"/><may class=\"help\"/></tenant>")
            .unwrap();
        for period in ["day", "month"] {
            writeln!(budgets, "<budget tenant=\"t{n:06}\" period=\"{period}\" tokens=\"1000000\"/>").unwrap();
        }
        writeln!(budgets, "<rate tenant=\"t{n:06}\" tokens-per-s=\"1000\"/>").unwrap();
    }
    for n in 0..tenants / 2 {
        writeln!(engines, "<engine id=\"e{n}\" kind=\"mixed\" address=\"127.0.0.1:{}\"/>", 10_000 + n)
            .unwrap();
    }
    let zeros = "0".repeat(64);
    format!(
        r#"<chalkyard xmlns="urn:chalkyard:settings:1">
  <router name="r1" listen="127.0.0.1:1"/>
  <kinds><kind name="mixed" role="mixed"/></kinds>
  <classes default="help"><class name="help" aim="1s" deadline="5s" effect="free"/></classes>
  <tenants salt="{zeros}">{named}</tenants>
  <budgets ledger="state">{budgets}</budgets>
  <engines>{engines}</engines>
</chalkyard>"#
    )
}

/// Total bytes allocated while settings with `tenants` tenants are read.
fn allocated(tenants: usize) -> usize {
    let text = settings(tenants);
    let before = ALLOCATOR.total_allocated();
    let read = chalkyard_settings::read(&text).expect("valid settings");
    assert_eq!(read.config.tenants.len(), tenants);
    ALLOCATOR.total_allocated() - before
}

#[test]
fn reading_twice_as_many_tenants_allocates_twice_as_much() {
    let bytes: Vec<usize> = [500, 1_000, 2_000, 4_000].into_iter().map(allocated).collect();
    for pair in bytes.windows(2) {
        let [small, large] = pair else { unreachable!() };
        // Up to 2.4 times: a vector that grows by doubling may reallocate in the larger file only.
        assert!((*large as f64) < 2.4 * *small as f64, "{bytes:?}");
    }
}
