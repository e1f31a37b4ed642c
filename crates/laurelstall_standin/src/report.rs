//! Draws latency over time and the latency distribution, with one line per balancer.

use crate::experiment::BalancerResult;
use plotters::prelude::*;
use std::{error::Error, path::Path};

const SIZE: (u32, u32) = (1_200, 900);
const COLOURS: [RGBColor; 6] = [
    RGBColor(200, 30, 30),
    RGBColor(120, 120, 120),
    RGBColor(30, 120, 200),
    RGBColor(200, 140, 20),
    RGBColor(30, 150, 60),
    RGBColor(120, 50, 160),
];

/// Draws the results of one scenario to an SVG file.
///
/// # Errors
///
/// Returns an error if the drawing cannot be written to the file.
pub fn draw(file: &Path, title: &str, results: &[(String, BalancerResult)]) -> Result<(), Box<dyn Error>> {
    let root = SVGBackend::new(file, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let (top, bottom) = root.split_vertically(SIZE.1 / 2);
    draw_time(&top, title, results)?;
    draw_cdf(&bottom, results)?;
    root.present()?;
    Ok(())
}

type Area<'a> = DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;

fn draw_time(
    area: &Area<'_>,
    title: &str,
    results: &[(String, BalancerResult)],
) -> Result<(), Box<dyn Error>> {
    let windows = || results.iter().flat_map(|(_, result)| &result.windows);
    let end_ms = windows().map(|window| window.from_ms).max().unwrap_or(1_000) as f64;
    let most_ms = windows().map(|window| window.p99_ms).fold(10.0, f64::max);
    let mut chart = ChartBuilder::on(area)
        .caption(format!("{title}: 99th percentile in ms over time in s"), ("sans-serif", 20))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..end_ms / 1_000.0, (1.0..most_ms * 1.2).log_scale())?;
    chart.configure_mesh().draw()?;
    for ((name, result), colour) in results.iter().zip(COLOURS) {
        let points =
            result.windows.iter().map(|window| (window.from_ms as f64 / 1_000.0, window.p99_ms.max(1.0)));
        let series = chart.draw_series(LineSeries::new(points, colour.stroke_width(2)))?;
        series.label(name).legend(move |(x, y)| PathElement::new([(x, y), (x + 20, y)], colour));
    }
    chart.configure_series_labels().background_style(WHITE).border_style(BLACK).draw()?;
    Ok(())
}

fn draw_cdf(area: &Area<'_>, results: &[(String, BalancerResult)]) -> Result<(), Box<dyn Error>> {
    let most_ms = results.iter().map(|(_, result)| result.p999_ms).fold(10.0, f64::max);
    let mut chart = ChartBuilder::on(area)
        .caption("share of calls answered within a time in ms", ("sans-serif", 20))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(60)
        .build_cartesian_2d((1.0..most_ms * 2.0).log_scale(), 0.0..1.0)?;
    chart.configure_mesh().draw()?;
    for ((_, result), colour) in results.iter().zip(COLOURS) {
        let points = result.cdf.iter().map(|(latency_ms, share)| (latency_ms.max(1.0), *share));
        chart.draw_series(LineSeries::new(points, colour.stroke_width(2)))?;
    }
    Ok(())
}
