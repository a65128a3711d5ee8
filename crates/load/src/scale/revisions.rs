//! Configuration as numbered revisions: four control machines and all routers in fed time, on the code that sockets would
//! drive. Messages are encoded, sealed and read; nothing of the network or of a disk is in these figures.

use chalkyard_control::simulation::{Simulation, SECOND};
use chalkyard_control::{
    Change, Delta, Document, Entry, Message, PublishOutcome, ReplicaId, RevisionNumber, Subscriber,
    ValidationError, Validator,
};

use super::figure::{Figure, Value};
use super::size::Size;
use crate::{Error, ALLOCATOR};

const CONTROL: u8 = 4;
/// A burst: a change a second, where the mean of the whole size is one in 27 s.
const CHANGES: u64 = 40;
const SPAN_S: u64 = 60;
/// Routers connect and are heartbeat_sent_at first.
const BEFORE_S: u64 = 5;

/// Checks are the control machine's, once for each change: `ReadTime` tells their cost.
struct Unchecked;

impl Validator for Unchecked {
    fn validate(&self, _document: &Document) -> Result<(), ValidationError> {
        Ok(())
    }
}

fn tenant(n: usize, tokens: u64) -> Entry {
    Entry {
        key: format!("tenants/tenant[t{n:06}]").into(),
        value: format!("<tenant name=\"t{n:06}\" tokens=\"{tokens}\"><key hash=\"{n:064x}\"/></tenant>")
            .into(),
    }
}

/// Measures a burst of changes at one size.
pub fn measure(size: &Size, seed: u64) -> Result<Vec<Value>, Error> {
    let entries = (0..size.tenants).map(|n| tenant(n, 1_000_000));
    let document = Document::new(entries).map_err(|reason| reason.to_string())?;
    let before = ALLOCATOR.allocated();
    let one = Subscriber::new(RevisionNumber(0), document.clone(), CONTROL, seed);
    let memory = ALLOCATOR.allocated() - before;
    drop(one);
    let snapshot = postcard_bytes(&document);
    let mut simulation = Simulation::new(CONTROL, size.routers, &document, &Unchecked, seed);
    simulation.run(BEFORE_S * SECOND);
    for n in 0..CHANGES {
        let change = Delta(vec![Change::Set(tenant(n as usize * 97 % size.tenants, 2_000_000 + n))]);
        simulation.publish(ReplicaId((n % u64::from(CONTROL)) as u8), change, n * SECOND);
    }
    simulation.run((SPAN_S - BEFORE_S) * SECOND);
    let published = simulation.outcomes.iter().filter(|o| matches!(o, PublishOutcome::Published(_))).count();
    if published as u64 != CHANGES
        || simulation.heads().len() != 1
        || simulation.conflicts + simulation.diverged > 0
    {
        return Err(format!("{published} of {CHANGES} changes; not the same everywhere").into());
    }
    let most = |of: &dyn Fn(&chalkyard_control::simulation::RouterNode) -> u64| {
        simulation.routers.iter().map(of).max().unwrap_or(0) as f64 / SPAN_S as f64
    };
    let mut spread = simulation.apply_delays.clone();
    spread.sort_unstable();
    let at = |q: f64| spread.get((spread.len() as f64 * q) as usize).or(spread.last()).copied().unwrap_or(0);
    Ok(vec![
        Value::new(Figure::RevisionBytes, most(&|r| r.bytes)),
        Value::new(Figure::RevisionCore, most(&|r| r.work_ns) / 1e9),
        Value::new(Figure::RevisionMemory, memory as f64 / 1e6),
        Value::new(Figure::RevisionInForce, at(0.99) as f64 / 1e6),
        Value::new(
            Figure::RevisionControlBytes,
            simulation.control_bytes as f64 / f64::from(CONTROL) / SPAN_S as f64,
        ),
        Value::new(Figure::WholeBytes, snapshot as f64 / 1e6),
    ])
}

fn postcard_bytes(document: &Document) -> usize {
    let key = chalkyard_control::SiteKey::new([7; 32]);
    Message::snapshot(RevisionNumber(1), document).encode(&key).len()
}
