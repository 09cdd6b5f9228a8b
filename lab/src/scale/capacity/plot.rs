//! Memory and CPU of the configuration against size, before and after, with the budget as a line.

use super::budgets::Budgets;
use super::slopes::Slopes;
use plotters::prelude::*;

/// A picture: its file, its title, the axis, slopes with their names, and budgets.
struct Picture {
    file: &'static str,
    title: &'static str,
    unit: &'static str,
    slopes: &'static [(&'static str, &'static str)],
    budgets: &'static [&'static str],
}

const PICTURES: [Picture; 2] = [
    Picture {
        file: "memory.svg",
        title: "Memory for control of one backend, against methods and tenants",
        unit: "MB",
        slopes: &[("config-memory", "at the start"), ("config-memory-reloads", "after 20 reloads")],
        budgets: &["memory"],
    },
    Picture {
        file: "cpu.svg",
        title: "CPU of one change in one backend, against methods and tenants",
        unit: "ms",
        slopes: &[("config-cpu-reload", "by a file"), ("config-cpu-step", "by a step")],
        budgets: &["cpu-step", "cpu-reload"],
    },
];

const COLOURS: [RGBColor; 2] = [BLUE, RGBColor(200, 120, 0)];
const LEAST: f64 = 0.01; // what is less is drawn here: the axes are logarithmic

/// Names and texts of all pictures.
pub fn all(slopes: &Slopes, budgets: &Budgets) -> Result<Vec<(String, String)>, (String, String)> {
    let one = |picture: &Picture| {
        let text =
            draw(picture, slopes, budgets).map_err(|error| (picture.file.into(), error.to_string()))?;
        Ok((picture.file.into(), text))
    };
    PICTURES.iter().map(one).collect()
}

fn draw(picture: &Picture, slopes: &Slopes, budgets: &Budgets) -> Result<String, Box<dyn std::error::Error>> {
    let mut curves = Vec::new();
    for ((id, name), colour) in picture.slopes.iter().zip(COLOURS) {
        let Some(slope) = slopes.get(id) else { continue };
        if let Some(before) = &slope.before {
            curves.push((format!("{name}, build before"), &before.points, colour, 1));
        }
        curves.push((format!("{name}, now"), &slope.points, colour, 3));
    }
    curves.retain(|(_, points, ..)| !points.is_empty());
    let lines: Vec<_> = picture.budgets.iter().filter_map(|id| budgets.budget(id)).collect();
    let values = curves.iter().flat_map(|(_, points, ..)| points.iter().map(|point| point.1));
    let top = values.chain(lines.iter().map(|budget| budget.most)).fold(1.0, f64::max) * 3.0;
    let sizes = curves.iter().flat_map(|(_, points, ..)| points.iter().map(|point| point.0));
    let end = sizes.fold(60_000.0, f64::max) * 1.1;
    let mut text = String::new();
    {
        let root = SVGBackend::with_string(&mut text, (900, 420)).into_drawing_area();
        root.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&root)
            .caption(picture.title, ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(36)
            .y_label_area_size(56)
            .build_cartesian_2d((4.0..end).log_scale(), (LEAST..top).log_scale())?;
        chart.configure_mesh().x_desc("methods and tenants").y_desc(picture.unit).draw()?;
        for budget in lines {
            let line = LineSeries::new([(4.0, budget.most), (end, budget.most)], RED.stroke_width(2));
            let name = format!("budget: {} {}", budget.most, budget.unit);
            chart.draw_series(line)?.label(name).legend(key(RED, 2));
        }
        for (name, points, colour, width) in curves {
            let points: Vec<_> = points.iter().map(|(x, y)| (x.max(4.0), y.max(LEAST))).collect();
            let line = LineSeries::new(points.iter().copied(), colour.stroke_width(width));
            chart.draw_series(line)?.label(name).legend(key(colour, width));
            chart.draw_series(points.iter().map(|at| Circle::new(*at, 1 + width as i32, colour.filled())))?;
        }
        let mut labels = chart.configure_series_labels();
        labels.position(SeriesLabelPosition::UpperLeft);
        labels.background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
        root.present()?;
    }
    Ok(text)
}

fn key(colour: RGBColor, width: u32) -> impl Fn((i32, i32)) -> PathElement<(i32, i32)> {
    move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], colour.stroke_width(width))
}
