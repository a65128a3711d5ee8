//! Configuration as numbered revisions: four control machines and all routers in fed time, on the code that sockets would
//! drive. Messages are encoded, sealed and read; nothing of the network or of a disk is in these figures.

use chalkyard_control::model::{Model, SECOND};
use chalkyard_control::{
    Change, Check, Delta, Document, Entry, Message, Number, Outcome, ReplicaId, Subscriber,
};

use super::figure::{Figure, Value};
use super::size::Size;
use crate::{Error, ALLOCATOR};

const CONTROL: u8 = 4;
/// A burst: a change a second, where the mean of the whole size is one in 27 s.
const CHANGES: u64 = 40;
const SPAN_S: u64 = 60;
/// Routers connect and are greeted first.
const BEFORE_S: u64 = 5;

/// Checks are the control machine's, once for each change: `ReadTime` tells their cost.
struct Unchecked;

impl Check for Unchecked {
    fn check(&self, _document: &Document) -> Result<(), String> {
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
    let document = Document::new(entries).map_err(|why| why.to_string())?;
    let before = ALLOCATOR.allocated();
    let one = Subscriber::new(Number(0), document.clone(), CONTROL, seed);
    let memory = ALLOCATOR.allocated() - before;
    drop(one);
    let whole = postcard_bytes(&document);
    let mut model = Model::new(CONTROL, size.routers, &document, &Unchecked, seed);
    model.run(BEFORE_S * SECOND);
    for n in 0..CHANGES {
        let change = Delta(vec![Change::Set(tenant(n as usize * 97 % size.tenants, 2_000_000 + n))]);
        model.publish(ReplicaId((n % u64::from(CONTROL)) as u8), change, n * SECOND);
    }
    model.run((SPAN_S - BEFORE_S) * SECOND);
    let published = model.outcomes.iter().filter(|o| matches!(o, Outcome::Published(_))).count();
    if published as u64 != CHANGES || model.digests().len() != 1 || model.conflicts + model.diverged > 0 {
        return Err(format!("{published} of {CHANGES} changes; not the same everywhere").into());
    }
    let most = |of: &dyn Fn(&chalkyard_control::model::RouterNode) -> u64| {
        model.routers.iter().map(of).max().unwrap_or(0) as f64 / SPAN_S as f64
    };
    let mut spread = model.spread.clone();
    spread.sort_unstable();
    let at = |q: f64| spread.get((spread.len() as f64 * q) as usize).or(spread.last()).copied().unwrap_or(0);
    Ok(vec![
        Value::new(Figure::RevisionBytes, most(&|r| r.bytes)),
        Value::new(Figure::RevisionCore, most(&|r| r.work_ns) / 1e9),
        Value::new(Figure::RevisionMemory, memory as f64 / 1e6),
        Value::new(Figure::RevisionInForce, at(0.99) as f64 / 1e6),
        Value::new(
            Figure::RevisionControlBytes,
            model.control_bytes as f64 / f64::from(CONTROL) / SPAN_S as f64,
        ),
        Value::new(Figure::WholeBytes, whole as f64 / 1e6),
    ])
}

fn postcard_bytes(document: &Document) -> usize {
    let key = chalkyard_control::SiteKey::new([7; 32]);
    Message::whole(Number(1), document).encode(&key).len()
}
