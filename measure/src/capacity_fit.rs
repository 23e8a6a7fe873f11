//! Least squares with the residual beside the slopes.

/// Line through points: `base + slope * x`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Line {
    pub(crate) base: f64,
    pub(crate) slope: f64,
    /// Root of the mean square of what the line misses.
    pub(crate) residual: f64,
}

impl Line {
    /// The line's value at `x`.
    pub(crate) fn at(self, x: f64) -> f64 {
        self.base + self.slope * x
    }
}

/// The line of least squares. One point, or points at one place, give a level line.
pub(crate) fn fit(points: &[(f64, f64)]) -> Line {
    let count = points.iter().map(|_| 1.0).sum::<f64>().max(1.0);
    let mean = |pick: fn(&(f64, f64)) -> f64| points.iter().map(pick).sum::<f64>() / count;
    let (x, y) = (mean(|p| p.0), mean(|p| p.1));
    let spread: f64 = points.iter().map(|p| (p.0 - x).powi(2)).sum();
    let along: f64 = points.iter().map(|p| (p.0 - x) * (p.1 - y)).sum();
    let slope = if spread > 0.0 { along / spread } else { 0.0 };
    let base = y - slope * x;
    let missed = points.iter().map(|p| (p.1 - base - slope * p.0).powi(2));
    let residual = (missed.sum::<f64>() / count).sqrt();
    Line {
        base,
        slope,
        residual,
    }
}

#[cfg(test)]
mod tests;
