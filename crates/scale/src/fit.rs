//! A straight line through measured points, with what it misses.

use serde::{Deserialize, Serialize};

/// A line whose points stray from it by more than this share of their range is
/// called not linear.
pub const LINEAR_WITHIN: f64 = 0.1;

/// `y = at_zero + slope * x`, fitted by least squares.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fit {
    /// What y grows by with each x.
    pub slope: f64,
    /// y where x is 0.
    pub at_zero: f64,
    /// Root of the mean of the squared residuals.
    pub residual: f64,
    /// The largest residual as a share of the range of y.
    pub largest_share: f64,
    /// The smallest and the largest slope between neighbouring points.
    pub slope_range: (f64, f64),
    /// The residuals are small against the range of y.
    pub linear: bool,
    /// What was measured, by x.
    pub points: Vec<(f64, f64)>,
}

impl Fit {
    /// Fits a line; none if there are fewer than two different x.
    pub fn of(points: &[(f64, f64)]) -> Option<Fit> {
        let mut points = points.to_vec();
        points.sort_by(|a, b| a.0.total_cmp(&b.0));
        let n = points.len() as f64;
        let mean = |f: fn(&(f64, f64)) -> f64| points.iter().map(f).sum::<f64>() / n;
        let (mx, my) = (mean(|p| p.0), mean(|p| p.1));
        let spread: f64 = points.iter().map(|p| (p.0 - mx).powi(2)).sum();
        if points.len() < 2 || spread <= f64::EPSILON {
            return None;
        }
        let common: f64 = points.iter().map(|p| (p.0 - mx) * (p.1 - my)).sum();
        let slope = common / spread;
        let at_zero = my - slope * mx;
        let residuals = points.iter().map(|p| p.1 - at_zero - slope * p.0);
        let residuals: Vec<f64> = residuals.collect();
        let squares: f64 = residuals.iter().map(|r| r * r).sum();
        let largest = residuals.iter().fold(0.0, |m: f64, r| m.max(r.abs()));
        let ys = || points.iter().map(|p| p.1);
        let range = ys().fold(f64::MIN, f64::max) - ys().fold(f64::MAX, f64::min);
        let largest_share = if range > 0.0 { largest / range } else { 0.0 };
        let neighbours = points.windows(2).filter(|w| w[1].0 > w[0].0);
        let slopes = neighbours.map(|w| (w[1].1 - w[0].1) / (w[1].0 - w[0].0));
        let slope_range = slopes.fold((f64::MAX, f64::MIN), |r, s| (r.0.min(s), r.1.max(s)));
        Some(Fit {
            slope,
            at_zero,
            residual: (squares / n).sqrt(),
            largest_share,
            slope_range,
            linear: largest_share <= LINEAR_WITHIN,
            points,
        })
    }

    /// What the line says at `x`.
    pub fn at(&self, x: f64) -> f64 {
        self.at_zero + self.slope * x
    }

    /// Where the line reaches `y`; none if it never rises to it.
    pub fn reaches(&self, y: f64) -> Option<f64> {
        (self.slope > 0.0).then(|| (y - self.at_zero) / self.slope)
    }
}
