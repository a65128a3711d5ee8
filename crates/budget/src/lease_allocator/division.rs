//! Division of the remaining budget among routers.

use std::cmp::Reverse;

use crate::units::Units;

/// Demand of a router for an account until the next lease.
#[derive(Debug, Clone, Copy)]
pub(super) struct RouterDemand {
    pub is_alive: bool,
    pub units: Units,
    /// Worst-case cost of the largest denied request. A smaller share could not admit it.
    pub largest: Units,
}

/// Divides the remaining budget: `1 / divisor` of it evenly and the rest by demand. Units beyond all demand stay
/// undivided.
pub(super) fn divide(left: Units, demands: &[RouterDemand], divisor: u64) -> Vec<Units> {
    let alive = demands.iter().filter(|demand| demand.is_alive).count() as u64;
    let even_share = even_share(left, demands, divisor, alive);
    let rest = left.minus(Units(even_share.0.saturating_mul(alive)));
    let wanted: Units = demands.iter().filter(|demand| demand.is_alive).map(|demand| demand.units).sum();
    let mut shares: Vec<Units> =
        demands.iter().map(|demand| proportional_share(demand, rest, wanted)).collect();
    let is_too_small = |(share, demand): (&Units, &RouterDemand)| *share < demand.largest && demand.is_alive;
    if wanted > rest && shares.iter().zip(demands).any(is_too_small) {
        concentrate(&mut shares, demands, rest);
    }
    for (share, _) in shares.iter_mut().zip(demands).filter(|(_, demand)| demand.is_alive) {
        *share = share.plus(even_share);
    }
    shares
}

/// The share of each live router independent of its demand; 0 if the share is too small for the largest denied
/// request.
fn even_share(left: Units, demands: &[RouterDemand], divisor: u64, alive: u64) -> Units {
    let largest = demands.iter().map(|demand| demand.largest).max().unwrap_or_default();
    let share = left.share(1, divisor.max(1).saturating_mul(alive.max(1)));
    if share < largest {
        Units(0)
    } else {
        share
    }
}

fn proportional_share(demand: &RouterDemand, rest: Units, wanted: Units) -> Units {
    match (demand.is_alive, wanted <= rest) {
        (false, _) => Units(0),
        (true, true) => demand.units,
        (true, false) => rest.share(demand.units.0, wanted.0),
    }
}

/// Concentrates the budget on fewer routers: shares that are too small for a single request would strand it. The
/// routers with the largest demand get enough for one request, the others nothing.
fn concentrate(shares: &mut [Units], demands: &[RouterDemand], rest: Units) {
    let mut left = rest;
    let mut order: Vec<usize> = (0..demands.len()).collect();
    order.sort_by_key(|i| Reverse(demands.get(*i).map_or(Units(0), |demand| demand.units)));
    for i in order {
        let (Some(share), Some(demand)) = (shares.get_mut(i), demands.get(i)) else { continue };
        let enough = (*share).max(demand.largest);
        *share = if enough <= left && demand.is_alive { enough } else { Units(0) };
        left = left.minus(*share);
    }
    // The remainder goes to the live router with the largest demand, for which it may suffice.
    let alive = shares.iter_mut().zip(demands).filter(|(_, demand)| demand.is_alive);
    if let Some((share, _)) = alive.max_by_key(|(_, demand)| demand.units) {
        *share = share.plus(left);
    }
}
