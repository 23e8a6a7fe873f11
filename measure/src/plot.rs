//! Plots as SVG files.

use std::path::Path;

use cornelstand::{BUCKET, LoadResult, service_per_share};
use plotters::prelude::{
    ChartBuilder, IntoDrawingArea, IntoFont, LineSeries, Palette, Palette99, SVGBackend, WHITE,
};

use crate::report::{Report, Variant};
use crate::stage::{Error, whatever};

/// Width and height of a plot, in pixels.
const SIZE: (u32, u32) = (900, 420);
/// Buckets that a plotted value is averaged over.
const SMOOTH: usize = 8;

/// Plots service per share over time, a line for each account.
pub(crate) fn service(
    dir: &Path,
    report: &Report,
    variant: Variant,
    result: &LoadResult,
) -> Result<(), Error> {
    let lines: Vec<Vec<f64>> = result
        .accounts
        .iter()
        .map(|a| smoothed(&service_per_share(a)))
        .collect();
    let title = format!(
        "{}, {}: service per share and second",
        report.deployment, variant
    );
    let name = format!(
        "{}-{}-{:?}.svg",
        report.scenario, report.deployment, variant
    );
    std::fs::create_dir_all(dir).map_err(|e| whatever("plots", &e))?;
    draw(&dir.join(name.to_lowercase()), &title, &lines).map_err(|e| whatever("plot", &*e))
}

/// Averages over a window, per second.
fn smoothed(line: &[f64]) -> Vec<f64> {
    let seconds = BUCKET.as_secs_f64();
    line.windows(SMOOTH)
        .map(|w| w.iter().fold(0.0, |sum, v| sum + v))
        .map(|sum| sum / (seconds * 8.0))
        .collect()
}

fn draw(path: &Path, title: &str, lines: &[Vec<f64>]) -> Result<(), Box<dyn std::error::Error>> {
    let seconds = BUCKET.as_secs_f64();
    let length = lines.iter().map(Vec::len).max().unwrap_or_default();
    let end = seconds * f64::from(u32::try_from(length)?);
    let most = lines.iter().flatten().copied().fold(1.0, f64::max);
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 18).into_font())
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..end, 0.0..most * 1.1)?;
    chart.configure_mesh().x_desc("s").draw()?;
    for (place, line) in lines.iter().enumerate() {
        let points = (0..).zip(line).map(|(i, v)| (f64::from(i) * seconds, *v));
        chart.draw_series(LineSeries::new(points, &Palette99::pick(place)))?;
    }
    root.present()?;
    Ok(())
}
