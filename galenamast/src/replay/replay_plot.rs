//! Plots of replay reports: quality against cost, and exposure over time.

use std::path::Path;

use plotters::prelude::{
    BLACK, ChartBuilder, Circle, IntoDrawingArea, IntoFont, LineSeries, Palette, Palette99,
    PathElement, SVGBackend, Text, WHITE,
};
use plotters::style::Color;

use crate::replay::replay_report::ReplayReport;

/// Size of the picture, in pixels.
const PICTURE_SIZE: (u32, u32) = (1_000, 900);

/// Draws reports as an SVG file.
///
/// The quality target is drawn as a horizontal line.
///
/// # Errors
///
/// Returns a message if the file cannot be written.
pub fn plot_reports(
    reports: &[ReplayReport],
    target: f64,
    duration_ms: u64,
    path: &Path,
) -> Result<(), String> {
    draw(reports, target, duration_ms, path).map_err(|error| error.to_string())
}

/// Draws both charts.
fn draw(
    reports: &[ReplayReport],
    target: f64,
    duration_ms: u64,
    path: &Path,
) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::new(path, PICTURE_SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let (upper, lower) = root.split_vertically(PICTURE_SIZE.1 / 2);
    let highest_cost = reports
        .iter()
        .map(|report| report.cost_ratio)
        .fold(1.0, f64::max)
        * 1.2;
    let qualities = reports.iter().map(|report| report.quality);
    let (low, high) = qualities.fold((target, target), |(low, high), quality| {
        (low.min(quality), high.max(quality))
    });
    let font = ("sans-serif", 18).into_font();
    let mut chart = ChartBuilder::on(&upper)
        .caption(
            "Mean quality against cost (relative to the static mix)",
            font.clone(),
        )
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..highest_cost, (low - 0.02)..(high + 0.02))?;
    chart
        .configure_mesh()
        .x_desc("cost ratio")
        .y_desc("mean quality")
        .draw()?;
    chart.draw_series(LineSeries::new(
        [(0.0, target), (highest_cost, target)],
        BLACK,
    ))?;
    for (index, report) in reports.iter().enumerate() {
        let color = Palette99::pick(index).mix(1.0);
        let point = (report.cost_ratio, report.quality);
        chart.draw_series([Circle::new(point, 5, color.filled())])?;
        let label = Text::new(report.policy.clone(), point, ("sans-serif", 14).into_font());
        chart.draw_series([label])?;
    }
    let max_exposure = reports
        .iter()
        .map(|report| report.exposure)
        .max()
        .unwrap_or(0)
        .max(1);
    let minutes = duration_ms as f64 / 60_000.0;
    let mut chart = ChartBuilder::on(&lower)
        .caption("Answers by versions that had turned bad", font)
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..minutes, 0.0..(max_exposure as f64 * 1.1))?;
    chart
        .configure_mesh()
        .x_desc("minutes")
        .y_desc("answers")
        .draw()?;
    for (index, report) in reports.iter().enumerate() {
        let color = Palette99::pick(index).mix(1.0);
        let steps = report.exposure_times.iter().enumerate();
        let mut points = vec![(0.0, 0.0)];
        points.extend(steps.flat_map(|(count, at_ms)| {
            let minute = *at_ms as f64 / 60_000.0;
            [(minute, count as f64), (minute, count as f64 + 1.0)]
        }));
        points.push((minutes, report.exposure as f64));
        chart
            .draw_series(LineSeries::new(points, color.stroke_width(2)))?
            .label(report.policy.clone())
            .legend(move |(x, y)| {
                PathElement::new(vec![(x, y), (x + 15, y)], color.stroke_width(2))
            });
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    root.present()?;
    Ok(())
}
