//! Slopes through measured points, with their error, and where a budget is reached.

/// A straight line through points, fitted by least squares.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Line {
    /// At fraction 0.
    pub at_zero: f64,
    /// Added by the whole size.
    pub slope: f64,
    /// The slope's standard error; none of two points or fewer.
    pub error: Option<f64>,
}

/// Fits a line; none where all fractions are the same.
pub fn line(points: &[(f64, f64)]) -> Option<Line> {
    let n = points.len() as f64;
    let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / n;
    let (mean_x, mean_y) = (mean(|p| p.0), mean(|p| p.1));
    let spread: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    if spread <= 0.0 {
        return None;
    }
    let slope = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum::<f64>() / spread;
    let at_zero = mean_y - slope * mean_x;
    let residue: f64 = points.iter().map(|(x, y)| (y - at_zero - slope * x).powi(2)).sum();
    let error = (points.len() > 2).then(|| (residue / (n - 2.0) / spread).sqrt());
    Some(Line { at_zero, slope, error })
}

/// The power of the fraction with which a value grows, by the two largest points: 1 is linear, 2 quadratic.
pub fn exponent(points: &[(f64, f64)]) -> Option<f64> {
    let [.., (small, low), (large, high)] = points else { return None };
    (*low > 0.0 && *high > 0.0 && small < large && *small > 0.0)
        .then(|| (high / low).ln() / (large / small).ln())
}

/// The fraction of the size at which a budget is reached. Between points it is on the line that joins them, below the
/// first on that to nothing, beyond the last on the power by which the last two grow; none if it never is.
pub fn breaks_at(points: &[(f64, f64)], budget: f64) -> Option<f64> {
    let mut before = (0.0, 0.0);
    for (fraction, value) in points {
        if *value > budget {
            let part = (budget - before.1) / (value - before.1);
            return Some(before.0 + (fraction - before.0) * part);
        }
        before = (*fraction, *value);
    }
    let power = exponent(points).filter(|power| *power > 0.05)?;
    let (fraction, value) = points.last()?;
    Some(fraction * (budget / value).powf(1.0 / power))
}

/// The value at the whole size, and whether it was measured there.
pub fn at_whole(points: &[(f64, f64)]) -> Option<(f64, bool)> {
    let (fraction, value) = points.last()?;
    if (fraction - 1.0).abs() < 1e-9 {
        return Some((*value, true));
    }
    let power = exponent(points).unwrap_or(1.0).max(0.0);
    Some((value * (1.0 / fraction).powf(power), false))
}

#[cfg(test)]
#[path = "fit_test.rs"]
mod tests;
