//! Plots of the memory and CPU time of the configuration against its size, for both builds and with the budgets.

use super::budgets::Budgets;
use super::slopes::Slopes;
use plotters::prelude::*;

/// Plot of several slopes and budgets.
struct Plot {
    file: &'static str,
    title: &'static str,
    unit: &'static str,
    /// Id and label of each slope.
    slopes: &'static [(&'static str, &'static str)],
    budgets: &'static [&'static str],
}

const PLOTS: [Plot; 2] = [
    Plot {
        file: "memory.svg",
        title: "Memory for control of one backend, against methods and tenants",
        unit: "MB",
        slopes: &[("config-memory", "at the start"), ("config-memory-reloads", "after 20 reloads")],
        budgets: &["memory"],
    },
    Plot {
        file: "cpu.svg",
        title: "CPU of one change in one backend, against methods and tenants",
        unit: "ms",
        slopes: &[("config-cpu-reload", "by a file"), ("config-cpu-step", "by a step")],
        budgets: &["cpu-step", "cpu-reload"],
    },
];

const COLOURS: [RGBColor; 2] = [BLUE, RGBColor(200, 120, 0)];
/// Least value on the logarithmic axis. Smaller values are drawn at this one.
const MIN_VALUE: f64 = 0.01;
/// Least size on the logarithmic axis. Smaller sizes are drawn at this one.
const MIN_SIZE: f64 = 4.0;

/// Draws all plots. Returns the file name and the SVG text of each.
///
/// # Errors
/// A plot could not be drawn. The error is its file name and the reason.
pub fn draw_plots(slopes: &Slopes, budgets: &Budgets) -> Result<Vec<(String, String)>, (String, String)> {
    let draw_plot = |plot: &Plot| {
        let text = draw(plot, slopes, budgets).map_err(|error| (plot.file.into(), error.to_string()))?;
        Ok((plot.file.into(), text))
    };
    PLOTS.iter().map(draw_plot).collect()
}

fn draw(plot: &Plot, slopes: &Slopes, budgets: &Budgets) -> Result<String, Box<dyn std::error::Error>> {
    let mut curves = Vec::new();
    for ((id, name), colour) in plot.slopes.iter().zip(COLOURS) {
        let Some(slope) = slopes.get(id) else { continue };
        if let Some(previous) = &slope.previous {
            curves.push((format!("{name}, build before"), &previous.points, colour, 1));
        }
        curves.push((format!("{name}, now"), &slope.points, colour, 3));
    }
    curves.retain(|(_, points, ..)| !points.is_empty());
    let budget_lines: Vec<_> = plot.budgets.iter().filter_map(|id| budgets.budget(id)).collect();
    let values = curves.iter().flat_map(|(_, points, ..)| points.iter().map(|point| point.1));
    let top = values.chain(budget_lines.iter().map(|budget| budget.limit)).fold(1.0, f64::max) * 3.0;
    let sizes = curves.iter().flat_map(|(_, points, ..)| points.iter().map(|point| point.0));
    let end = sizes.fold(60_000.0, f64::max) * 1.1;
    let mut text = String::new();
    {
        let root = SVGBackend::with_string(&mut text, (900, 420)).into_drawing_area();
        root.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&root)
            .caption(plot.title, ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(36)
            .y_label_area_size(56)
            .build_cartesian_2d((MIN_SIZE..end).log_scale(), (MIN_VALUE..top).log_scale())?;
        chart.configure_mesh().x_desc("methods and tenants").y_desc(plot.unit).draw()?;
        for budget in budget_lines {
            let line = LineSeries::new([(MIN_SIZE, budget.limit), (end, budget.limit)], RED.stroke_width(2));
            let name = format!("budget: {} {}", budget.limit, budget.unit);
            chart.draw_series(line)?.label(name).legend(legend_line(RED, 2));
        }
        for (name, points, colour, width) in curves {
            let points: Vec<_> = points.iter().map(|(x, y)| (x.max(MIN_SIZE), y.max(MIN_VALUE))).collect();
            let line = LineSeries::new(points.iter().copied(), colour.stroke_width(width));
            chart.draw_series(line)?.label(name).legend(legend_line(colour, width));
            chart.draw_series(
                points.iter().map(|point| Circle::new(*point, 1 + width as i32, colour.filled())),
            )?;
        }
        let mut labels = chart.configure_series_labels();
        labels.position(SeriesLabelPosition::UpperLeft);
        labels.background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
        root.present()?;
    }
    Ok(text)
}

fn legend_line(colour: RGBColor, width: u32) -> impl Fn((i32, i32)) -> PathElement<(i32, i32)> {
    move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], colour.stroke_width(width))
}
