//! The plot of a run: starts and running tasks, and each controller's cores,
//! over time.

use crate::figures::{Figures, Sample};
use plotters::prelude::*;
use std::path::Path;

const SIZE: (u32, u32) = (900, 600);

/// A line of the plot: its name, and a value for each sample.
struct Line {
    name: String,
    value: Box<dyn Fn(&Sample) -> f64>,
}

fn draw(
    area: &DrawingArea<SVGBackend<'_>, plotters::coord::Shift>,
    title: &str,
    samples: &[Sample],
    lines: &[Line],
) -> Result<(), Box<dyn std::error::Error>> {
    let end = samples.last().map_or(1.0, |s| s.at_s).max(1.0);
    let values = lines
        .iter()
        .flat_map(|l| samples.iter().map(|s| (l.value)(s)));
    let most = values.fold(0.1, f64::max) * 1.1;
    let mut chart = ChartBuilder::on(area)
        .caption(title, ("sans-serif", 16))
        .margin(8)
        .x_label_area_size(28)
        .y_label_area_size(56)
        .build_cartesian_2d(0.0..end, 0.0..most)?;
    chart.configure_mesh().x_desc("seconds").draw()?;
    for (i, line) in lines.iter().enumerate() {
        let color = Palette99::pick(i).to_rgba();
        let points = samples.iter().map(|s| (s.at_s, (line.value)(s)));
        chart
            .draw_series(LineSeries::new(points, &color))?
            .label(line.name.clone())
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], color));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .draw()?;
    Ok(())
}

/// Writes the plot of a run as SVG.
///
/// # Errors
/// When the file can't be written.
pub fn write(f: &Figures, file: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::new(file, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let areas = root.split_evenly((2, 1));
    let line = |name: &str, value: Box<dyn Fn(&Sample) -> f64>| Line {
        name: name.into(),
        value,
    };
    let starts = [line("starts", Box::new(|s| s.starts as f64))];
    draw(&areas[0], "starts a second", &f.samples, &starts)?;
    let of = |n: usize| -> Box<dyn Fn(&Sample) -> f64> {
        Box::new(move |s: &Sample| s.cores.get(n).copied().unwrap_or(0.0))
    };
    let all = f.controllers.iter().enumerate();
    let cores: Vec<Line> = all.map(|(n, c)| line(&c.label, of(n))).collect();
    draw(&areas[1], "cores of each controller", &f.samples, &cores)?;
    root.present()?;
    Ok(())
}
