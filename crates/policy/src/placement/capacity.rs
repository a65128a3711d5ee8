//! Selection of a decode worker by free capacity and by distance from the state that the worker pulls.

use std::collections::BTreeMap;

use crate::candidates::eligible;
use crate::endpoints::{Lifecycle, Role, Worker};
use crate::ids::{CellId, WorkerId};
use crate::request_state::RequestState;
use crate::view::View;
use crate::worker_state::WorkerState;

/// Capacity bonus of a worker in the preferred cell, as a share of KV-cache memory. Without load reports the
/// unit is [`Capacities::unit`]. A worker in the same zone has half the bonus.
const SAME_CELL_BONUS: f64 = 0.3;
const SAME_ZONE_BONUS: f64 = SAME_CELL_BONUS / 2.0;
/// Weight of a cell in another zone when a cell with spare decode workers is drawn.
const OTHER_ZONE_WEIGHT: f64 = 0.25;
/// Capacity by which a combined worker must exceed every decode worker to pull state. It is larger than the
/// bonus for the preferred cell.
const COMBINED_PENALTY: f64 = 2.0 * SAME_CELL_BONUS;
/// Extra weight of a decode that waits for its first token, in decodes in flight. Used without load reports.
const PENDING_WEIGHT: f64 = 3.0;
/// Lower bound of worker weights.
const MIN_WEIGHT: f64 = 0.01;

/// Returns the worker with the most free capacity.
///
/// A combined worker pulls state if no decode worker is eligible, or if its capacity exceeds that of every
/// decode worker by [`COMBINED_PENALTY`]: decode workers can run out of memory while they still have free
/// slots.
pub fn most_available(
    view: &View<'_>,
    request: &RequestState,
    prefilled_on: Option<&WorkerId>,
) -> Option<WorkerId> {
    let decode = eligible(view, request, |role| role == Role::Decode);
    let combined = eligible(view, request, |role| role == Role::Combined);
    let (candidates, others) = if decode.is_empty() { (combined, decode) } else { (decode, combined) };
    let source = prefilled_on.and_then(|id| view.workers.get(id)).map(|worker| &worker.info);
    let locality = Locality {
        source,
        preferred_cell: source.and_then(|source| preferred_cell(view, request, source, &candidates)),
    };
    let capacities = Capacities::new(view, &candidates);
    let scored = candidates.iter().map(|worker| (*worker, capacities.of(worker, capacities.mean), 0.0));
    let others_mean = mean_reported_capacity(&others).filter(|_| prefilled_on.is_some());
    let comparable = capacities.mean.and(others_mean);
    let scored_others = others
        .iter()
        .filter_map(|worker| Some((*worker, capacities.of(worker, Some(comparable?)), COMBINED_PENALTY)));
    scored
        .chain(scored_others)
        .map(|(worker, capacity, penalty)| {
            let score = capacity + locality.bonus(worker) * capacities.unit - penalty;
            let draw = view.draw(&*request.request.id.0, &worker.info.id.0);
            (score, draw, worker)
        })
        .max_by(|a, b| a.0.total_cmp(&b.0).then(a.1.total_cmp(&b.1)))
        .map(|(_, _, worker)| worker.info.id.clone())
}

/// Comparison of the candidates' capacities.
struct Capacities<'a> {
    view: &'a View<'a>,
    /// Mean free capacity of the candidates that report load. `None` if none reports.
    mean: Option<f64>,
    /// Scale of the locality bonus. With load reports, capacities are shares of memory and the scale is one.
    /// Without them, capacities are counted in decodes of this router, and a difference below the square root
    /// of the other routers' decodes is noise.
    unit: f64,
}

impl<'a> Capacities<'a> {
    fn new(view: &'a View<'a>, candidates: &[&WorkerState]) -> Self {
        let mean = mean_reported_capacity(candidates);
        let decodes: f64 = candidates.iter().map(|worker| f64::from(worker.decodes_in_flight)).sum();
        let own_mean = decodes / candidates.len().max(1) as f64;
        let others_total = f64::from(view.settings.routers.saturating_sub(1)) * own_mean;
        let unit = if mean.is_none() { 1.0 + SAME_CELL_BONUS * own_mean + others_total.sqrt() } else { 1.0 };
        Self { view, mean, unit }
    }

    /// Returns the free capacity of a worker. `mean` is the mean of workers of the same kind.
    fn of(&self, worker: &WorkerState, mean: Option<f64>) -> f64 {
        if self.mean.is_none() {
            // A decode without a first token indicates a queue on the worker.
            let pending = f64::from(worker.awaiting_first_token) * PENDING_WEIGHT;
            return -(f64::from(worker.decodes_in_flight) + pending) / self.weight(worker);
        }
        // A worker that started recently is empty.
        let average = if self.view.is_warming_up(worker) { 1.0 } else { mean.unwrap_or_default() };
        worker.available_capacity(self.view.settings.routers, average)
    }

    fn weight(&self, worker: &WorkerState) -> f64 {
        if self.view.settings.weighted {
            worker.info.weight.max(MIN_WEIGHT)
        } else {
            1.0
        }
    }
}

/// Returns the mean free capacity of the workers that report load, or `None` if none reports.
fn mean_reported_capacity(workers: &[&WorkerState]) -> Option<f64> {
    let reported: Vec<f64> = workers.iter().filter_map(|worker| worker.reported_capacity()).collect();
    (!reported.is_empty()).then(|| reported.iter().sum::<f64>() / reported.len() as f64)
}

/// Distance of workers from the state that a decode pulls.
struct Locality<'a> {
    source: Option<&'a Worker>,
    preferred_cell: Option<CellId>,
}

impl Locality<'_> {
    fn bonus(&self, worker: &WorkerState) -> f64 {
        match self.source {
            Some(_) if self.preferred_cell == Some(worker.info.cell) => SAME_CELL_BONUS,
            Some(source) if source.zone == worker.info.zone => SAME_ZONE_BONUS,
            _ => 0.0,
        }
    }
}

/// Returns the cell whose decode workers are preferred. The cell of the prefill worker is preferred because a
/// pull within the cell spares the link that the whole cell shares. If the cell has a larger share of prefill
/// workers than of decode workers, its decode workers can take only part of the pulls: a draw sends the rest
/// to cells with spare decode workers, first of all in the same zone.
fn preferred_cell(
    view: &View<'_>,
    request: &RequestState,
    source: &Worker,
    candidates: &[&WorkerState],
) -> Option<CellId> {
    let ratios = CellPrefillRatios::new(view, candidates);
    let draw = |key: &str| view.draw(&*request.request.id.0, key);
    if draw(&source.id.0) * ratios.of(source.cell) < 1.0 {
        return Some(source.cell);
    }
    let spare_weight = |worker: &WorkerState| {
        let weight = if worker.info.zone == source.zone { 1.0 } else { OTHER_ZONE_WEIGHT };
        (1.0 - ratios.of(worker.info.cell)).max(0.0) * weight
    };
    // Weighted random choice: the maximum of `draw.powf(1.0 / weight)` selects each worker with a probability
    // proportional to its weight.
    candidates
        .iter()
        .filter(|worker| spare_weight(worker) > 0.0)
        .map(|worker| (draw(&worker.info.id.0).powf(1.0 / spare_weight(worker)), worker.info.cell))
        .max_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, cell)| cell)
}

/// Ratio of prefill workers to decode workers for each cell, relative to the ratio over all cells.
struct CellPrefillRatios {
    cells: BTreeMap<CellId, CellWorkers>,
    mean_ratio: f64,
}

#[derive(Default)]
struct CellWorkers {
    prefill: f64,
    decode: f64,
}

impl CellPrefillRatios {
    fn new(view: &View<'_>, candidates: &[&WorkerState]) -> Self {
        let mut cells: BTreeMap<CellId, CellWorkers> = BTreeMap::new();
        for worker in view.workers.values() {
            if worker.info.role == Role::Prefill && worker.info.lifecycle != Lifecycle::Removed {
                cells.entry(worker.info.cell).or_default().prefill += 1.0;
            }
        }
        for worker in candidates {
            cells.entry(worker.info.cell).or_default().decode += 1.0;
        }
        let mean_ratio = view.listed_worker_count(Role::Prefill) / candidates.len().max(1) as f64;
        Self { cells, mean_ratio }
    }

    fn of(&self, cell: CellId) -> f64 {
        let workers = self.cells.get(&cell);
        workers.map_or(0.0, |workers| workers.prefill / workers.decode.max(1e-9) / self.mean_ratio)
    }
}
