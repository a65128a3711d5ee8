//! Configuration as it is carried today: one file, read whole at each change by each router.

use std::fmt::Write;
use std::time::Instant;

use super::figure::{Figure, Value};
use super::size::Size;
use crate::{Error, ALLOCATOR};

/// A settings file with the size's tenants and workers, each tenant with a key, two budgets and a rate.
pub fn settings(size: &Size) -> Result<String, Error> {
    let (mut tenants, mut budgets, mut engines) = (String::new(), String::new(), String::new());
    for n in 0..size.tenants {
        // Spread evenly, as the hashes of keys are.
        let hash = (n as u64 + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15);
        writeln!(tenants, "<tenant name=\"t{n:06}\"><key hash=\"{hash:016x}{n:048x}\"/></tenant>")?;
        writeln!(budgets, "<budget tenant=\"t{n:06}\" period=\"day\" tokens=\"1000000\"/>")?;
    }
    for n in 0..size.workers {
        let port = 10_000 + n;
        writeln!(engines, "<engine id=\"e{n}\" kind=\"mixed\" address=\"127.0.0.1:{port}\"/>")?;
    }
    let salt = "0".repeat(64);
    Ok(format!(
        r#"<chalkyard xmlns="urn:chalkyard:settings:1">
  <router name="r1" listen="127.0.0.1:1" routers="{}"/>
  <kinds><kind name="mixed" role="mixed"/></kinds>
  <classes default="help"><class name="help" aim="1s" deadline="5s" effect="free"/></classes>
  <tenants salt="{salt}">{tenants}</tenants>
  <budgets ledger="state">{budgets}</budgets>
  <engines>{engines}</engines>
</chalkyard>"#,
        size.routers
    ))
}

/// Measures the file, its reading, and what follows from that for a change that goes to all routers.
pub fn measure(size: &Size) -> Result<Vec<Value>, Error> {
    let text = settings(size)?;
    let bytes = text.len() as f64;
    let before = ALLOCATOR.allocated();
    let start = Instant::now();
    let first = chalkyard_settings::read(&text).map_err(|wrong| format!("{wrong:?}"))?;
    let read = start.elapsed().as_secs_f64();
    let peak = ALLOCATOR.max_allocated().saturating_sub(before) as f64;
    // A reload reads the file again and compares both texts.
    let start = Instant::now();
    let again = chalkyard_settings::read(&text).map_err(|wrong| format!("{wrong:?}"))?;
    drop(chalkyard_settings::xml::parse(&text).map_err(|wrong| wrong.to_string())?);
    drop(chalkyard_settings::xml::parse(&text).map_err(|wrong| wrong.to_string())?);
    let reload = start.elapsed().as_secs_f64();
    drop((first, again));
    Ok(vec![
        Value::new(Figure::FileBytes, bytes / 1e6),
        Value::new(Figure::ReadTime, read),
        Value::new(Figure::ReadMemory, peak / 1e6),
        Value::new(Figure::ReloadTime, reload),
        Value::new(Figure::ReloadCore, reload * size.changes_per_s),
        Value::new(Figure::FileRate, bytes * size.changes_per_s),
        // The file is edited and a signal sent at each router: no process carries a change.
        Value::new(Figure::OutOfReach, size.routers as f64),
    ])
}
