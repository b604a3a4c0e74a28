//! A line through measured points, by least squares.

use serde::{Deserialize, Serialize};

use super::Point;

/// A line and how well it fits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Fit {
    /// Cost of one more.
    pub slope: f64,
    /// Cost of none.
    pub intercept: f64,
    /// Part of the variance that the line explains, from 0 to 1.
    pub r2: f64,
}

impl Fit {
    /// The line with the least squares of errors. Fewer than two sizes give a flat line.
    pub fn through(points: &[Point]) -> Self {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|point| point.x).sum::<f64>() / count;
        let mean_y = points.iter().map(|point| point.y).sum::<f64>() / count;
        let spread = |f: &dyn Fn(&Point) -> f64| points.iter().map(f).sum::<f64>();
        let xx = spread(&|point| (point.x - mean_x).powi(2));
        let xy = spread(&|point| (point.x - mean_x) * (point.y - mean_y));
        let yy = spread(&|point| (point.y - mean_y).powi(2));
        if xx == 0.0 {
            return Self {
                intercept: mean_y,
                ..Self::default()
            };
        }
        let slope = xy / xx;
        let r2 = if yy == 0.0 { 1.0 } else { xy * xy / (xx * yy) };
        Self {
            slope,
            intercept: mean_y - slope * mean_x,
            r2,
        }
    }
}
