//! Linear regression over measured points.

use std::fmt;

/// A measured cost by size, extrapolated to a target size.
pub struct Row {
    /// The role that has the cost.
    pub role: &'static str,
    /// The cost, and the unit of size that it is counted for.
    pub what: &'static str,
    /// Unit of the slope.
    pub unit: &'static str,
    /// Measured pairs of size and cost.
    pub points: Vec<(f64, f64)>,
    /// The size to extrapolate to.
    pub target: f64,
    /// How the target size is derived.
    pub target_note: &'static str,
}

impl Row {
    /// Cost per unit of size, by least squares.
    pub fn slope(&self) -> f64 {
        let count = self.points.len() as f64;
        let mean_x = self.points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = self.points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let cross = self.points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y));
        let square = self.points.iter().map(|(x, _)| (x - mean_x).powi(2));
        cross.sum::<f64>() / square.sum::<f64>()
    }
}

impl fmt::Display for Row {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let sizes: Vec<_> = self.points.iter().map(|(x, _)| x.to_string()).collect();
        write!(
            f,
            "| {} | {} | {} | {:.3} {} | {:.1} {} ({}) |",
            self.role,
            self.what,
            sizes.join(", "),
            self.slope(),
            self.unit,
            self.slope() * self.target,
            self.unit,
            self.target_note,
        )
    }
}
