//! SVG plots of service over time.

use crate::report::ScenarioError;
use plotters::prelude::*;
use std::path::Path;

/// A curve of a plot.
pub struct Curve {
    /// Name in the legend.
    pub name: String,
    /// Pairs of seconds and the share (0 to 1) that was answered in time.
    pub points: Vec<(f64, f64)>,
}

/// Draws curves over time in seconds, and a vertical line at each fault.
pub fn draw_curves(path: &Path, title: &str, curves: &[Curve], faults: &[f64]) -> Result<(), ScenarioError> {
    draw(path, title, curves, faults)
        .map_err(|error| format!("cannot draw the plot {}: {error}", path.display()).into())
}

fn draw(
    path: &Path, title: &str, curves: &[Curve], faults: &[f64],
) -> Result<(), Box<dyn std::error::Error>> {
    let x_values = curves.iter().flat_map(|curve| curve.points.iter().map(|(x, _)| *x));
    let x_max = x_values.fold(1.0, f64::max);
    let root = SVGBackend::new(path, (900, 360)).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 16))
        .margin(8)
        .x_label_area_size(32)
        .y_label_area_size(44)
        .build_cartesian_2d(0.0..x_max, 0.0..1.05)?;
    chart.configure_mesh().x_desc("seconds").y_desc("criticality in time").draw()?;
    for at in faults {
        chart.draw_series(LineSeries::new([(*at, 0.0), (*at, 1.05)], RED.mix(0.4)))?;
    }
    let colours = [BLUE, RGBColor(200, 120, 0), BLACK];
    for (Curve { name, points }, colour) in curves.iter().zip(colours) {
        let line = LineSeries::new(points.iter().copied(), colour.stroke_width(2));
        let key = move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], colour);
        chart.draw_series(line)?.label(name).legend(key);
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
    root.present()?;
    Ok(())
}
