//! Fits straight lines to measured points.

/// A fitted line and the largest distance of a point from it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    /// Growth of the cost per unit of size.
    pub slope: f64,
    /// Cost at size zero.
    pub intercept: f64,
    /// Largest distance of a point from the line, as a share of the largest cost.
    pub residual: f64,
}

/// Fits a line by least squares.
pub fn line(points: &[(f64, f64)]) -> Line {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
    let spread: f64 = points.iter().map(|point| (point.0 - mean_x).powi(2)).sum();
    let product: f64 = points
        .iter()
        .map(|point| (point.0 - mean_x) * (point.1 - mean_y))
        .sum();
    let slope = if spread > 0.0 { product / spread } else { 0.0 };
    let intercept = mean_y - slope * mean_x;
    let distance = |point: &(f64, f64)| (point.1 - intercept - slope * point.0).abs();
    let farthest = points.iter().map(distance).fold(0.0, f64::max);
    let largest = points.iter().map(|point| point.1.abs()).fold(0.0, f64::max);
    Line {
        slope,
        intercept,
        residual: if largest > 0.0 {
            farthest / largest
        } else {
            0.0
        },
    }
}

/// Prints the points of one measurement and the line fitted to them.
pub fn print(cost: &str, size: &str, points: &[(f64, f64)]) {
    for (x, y) in points {
        println!("  {size} {x:>9.0}   {cost} {y:>14.3}");
    }
    let Line {
        slope,
        intercept,
        residual,
    } = line(points);
    println!(
        "  fit: {cost} = {intercept:.3} + {slope:.6} x {size}, residual {:.1}%",
        residual * 100.0
    );
}
