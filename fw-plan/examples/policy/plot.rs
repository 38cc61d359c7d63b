//! The plot: program latency and finished work over load.

use std::io;
use std::path::Path;

use plotters::prelude::*;

use crate::LOADS;
use crate::Row;
use crate::Scenario;
use crate::sim::policy;
use crate::sim::stats;
use crate::sim::trace;

/// One statistic of a run, plotted over load.
struct Chart {
    title: &'static str,
    value: fn(&stats::Stats) -> f64,
}

const CHARTS: [Chart; 3] = [
    Chart {
        title: "program p95 in s",
        value: |stats| stats.program_latency(0.95),
    },
    Chart {
        title: "turns of finished programs a second",
        value: stats::Stats::finished_turns,
    },
    Chart {
        title: "history computed again, part",
        value: stats::Stats::wasted_fraction,
    },
];

/// Writes the plot as SVG to `path`.
pub fn write(rows: &[Row], path: &Path) -> io::Result<()> {
    draw(rows, path).map_err(|err| io::Error::other(err.to_string()))
}

fn draw(rows: &[Row], path: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::new(path, (1_500, 900)).into_drawing_area();
    root.fill(&WHITE)?;
    let areas = root.split_evenly((2, CHARTS.len()));
    let shapes = [trace::SURATWALA, trace::FAIRGROUND];
    for (index, area) in areas.iter().enumerate() {
        let chart = &CHARTS[index % CHARTS.len()];
        let shape = &shapes[index / CHARTS.len()];
        let of_shape = rows.iter().filter(|row| row.cell.shape.name == shape.name);
        let of_shape = of_shape.filter(|row| row.cell.scenario == Scenario::Steady);
        let of_shape: Vec<&Row> = of_shape.collect();
        draw_chart(area, &of_shape, chart, shape)?;
    }
    root.present()?;
    Ok(())
}

fn draw_chart(
    area: &DrawingArea<SVGBackend<'_>, plotters::coord::Shift>,
    rows: &[&Row],
    chart: &Chart,
    shape: &trace::Shape,
) -> Result<(), Box<dyn std::error::Error>> {
    let values = rows.iter().map(|row| (chart.value)(&row.stats));
    let top = values.fold(0.0, f64::max) * 1.05;
    let loads = LOADS[0] * 100.0..LOADS[LOADS.len() - 1] * 100.0;
    let mut axes = ChartBuilder::on(area)
        .caption(
            format!("{}: {}", shape.name, chart.title),
            ("sans-serif", 18),
        )
        .margin(10)
        .x_label_area_size(35)
        .y_label_area_size(50)
        .build_cartesian_2d(loads, 0.0..top)?;
    axes.configure_mesh()
        .x_desc("load in % of capacity")
        .draw()?;
    for (index, policy) in policy::Policy::all(shape).iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let width = if index == 0 { 3 } else { 1 };
        let style = color.stroke_width(width);
        let line = rows
            .iter()
            .filter(|row| row.cell.policy.name == policy.name);
        let line = line.map(|row| (row.cell.load * 100.0, (chart.value)(&row.stats)));
        axes.draw_series(LineSeries::new(line, style))?
            .label(policy.name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], style));
    }
    axes.configure_series_labels()
        .background_style(WHITE.mix(0.7))
        .draw()?;
    Ok(())
}
