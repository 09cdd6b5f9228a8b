//! The curve of service over time, as a picture.

use crate::report::ScenarioError;
use plotters::prelude::*;
use std::path::Path;

/// One curve.
pub struct Curve {
    /// Its name.
    pub name: String,
    /// Seconds, and the part (0 to 1) that was in time.
    pub points: Vec<(f64, f64)>,
}

/// Draws curves over seconds, with faults as upright lines.
pub fn draw_curves(path: &Path, title: &str, curves: &[Curve], faults: &[f64]) -> Result<(), ScenarioError> {
    draw(path, title, curves, faults).map_err(|error| format!("{}: {error}", path.display()).into())
}

fn draw(
    path: &Path, title: &str, curves: &[Curve], faults: &[f64],
) -> Result<(), Box<dyn std::error::Error>> {
    let ends = curves.iter().flat_map(|curve| curve.points.iter().map(|(x, _)| *x));
    let end = ends.fold(1.0, f64::max);
    let root = SVGBackend::new(path, (900, 360)).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 16))
        .margin(8)
        .x_label_area_size(32)
        .y_label_area_size(44)
        .build_cartesian_2d(0.0..end, 0.0..1.05)?;
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
