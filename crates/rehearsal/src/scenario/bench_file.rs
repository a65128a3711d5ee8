//! Scenarios that the operators' bench printed, played on the kit's fakes.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;

use super::named::{base, choose_targets, S};
use super::{Fault, Kind, Scenario, KINDS};

#[derive(Deserialize)]
struct BenchFault {
    kind: String,
    at: f64,
    len: f64,
    #[serde(default)]
    size: f64,
    #[serde(default)]
    on: Vec<serde_json::Value>,
}

#[derive(Deserialize)]
struct BenchFile {
    site: String,
    length: f64,
    #[serde(default)]
    servers: Vec<serde_json::Value>,
    troubles: Vec<BenchFault>,
}

/// The troubles of a bench day on our fleet: kinds, times and sizes as there, struck engines in
/// proportion. The bench's fleet and traffic stay the bench's.
pub(super) fn from_bench_file(text: &str, seed: u64, seconds: Option<u64>) -> Result<Scenario, String> {
    let bench: BenchFile = serde_json::from_str(text).map_err(|e| format!("not a day file: {e}"))?;
    let own = (bench.length / S as f64).ceil();
    if !(1.0..=3_600.0).contains(&own) {
        return Err(format!("field `length`: {} µs is not between 1 s and 1 h", bench.length));
    }
    let seconds = seconds.unwrap_or((own as u64).clamp(8, 600));
    let mut scenario = base(&bench.site, seed, seconds * S);
    let scale = scenario.length as f64 / bench.length;
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    for (i, t) in bench.troubles.iter().enumerate() {
        let kind = KINDS.iter().find(|(name, _)| *name == t.kind).map(|(_, k)| *k);
        let kind = kind.ok_or_else(|| format!("field `troubles[{i}].kind`: unknown trouble `{}`", t.kind))?;
        let mut on = choose_targets(kind, t.size, &scenario, &mut rng);
        if kind.on_engines() && !matches!(kind, Kind::MassRestart | Kind::Flush) && !bench.servers.is_empty()
        {
            let part = t.on.len() as f64 / bench.servers.len() as f64;
            let many =
                ((part * scenario.engines.len() as f64).round() as usize).clamp(1, scenario.engines.len());
            let first = rng.random_range(0..scenario.engines.len());
            on = (0..many).map(|n| (first + n) % scenario.engines.len()).collect();
        }
        let size = match kind {
            Kind::Slow | Kind::OriginSlow | Kind::Ageing | Kind::Burst => t.size.clamp(1.1, 10.0),
            Kind::HeavyTail => t.size.clamp(2.0, 30.0),
            _ => t.size.clamp(0.0, 1.0),
        };
        let at = (t.at.max(0.0) * scale) as u64;
        scenario.faults.push(Fault {
            kind,
            at: at.min(scenario.length),
            len: (t.len.max(0.0) * scale) as u64,
            on,
            size,
            links: None,
        });
    }
    scenario.faults.sort_by_key(|f| f.at);
    Ok(scenario)
}
