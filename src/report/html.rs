//! Renders the report as an HTML page with plots.

use std::fmt::Write as _;

use plotters::prelude::*;

use super::summary::measure_label;
use super::{Summary, WINDOWS_S};

/// Size of a plot, in pixels.
const PLOT_SIZE: (u32, u32) = (640, 240);

/// Maximum number of plots. The rows with the highest burn rates in the shortest window are plotted.
const MAX_PLOTS: usize = 12;

/// Smallest upper limit of the vertical axis, so that low burn rates appear low.
const MIN_AXIS_LIMIT: f64 = 2.0;

/// A plot could not be drawn.
#[derive(Debug, thiserror::Error)]
#[error("cannot draw a plot: {0}")]
pub struct Error(String);

/// Renders the page.
///
/// # Errors
///
/// Returns an [`enum@Error`] if a plot cannot be drawn.
pub(super) fn render(summary: &Summary) -> Result<String, Error> {
    let mut out = String::from(
        "<!doctype html><meta charset=\"utf-8\"><title>Service-level burn</title>\
         <style>body{font-family:sans-serif;margin:2em}pre{font-size:13px}</style>\
         <h1>Service-level burn</h1><pre>",
    );
    out.push_str(&escape(&summary.to_table()));
    out.push_str("</pre>");
    let mut rows: Vec<_> = summary.rows.iter().collect();
    rows.sort_by(|a, b| b.burn[0].total_cmp(&a.burn[0]));
    for row in rows.into_iter().take(MAX_PLOTS) {
        let title =
            format!("{} / {} / {}", row.workload, row.organisation, measure_label(row.measure));
        let _ = write!(out, "<h2>{}</h2>{}", escape(&title), plot(&row.burn)?);
    }
    Ok(out)
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

/// Plots the burn rates of the windows as SVG, with a line at 1.0, where the budget is used up exactly.
fn plot(burn: &[f64; WINDOWS_S.len()]) -> Result<String, Error> {
    let mut svg = String::new();
    draw(&mut svg, burn).map_err(|error| Error(error.to_string()))?;
    Ok(svg)
}

fn draw<'a>(
    svg: &'a mut String,
    burn: &[f64; WINDOWS_S.len()],
) -> Result<(), DrawingAreaErrorKind<<SVGBackend<'a> as DrawingBackend>::ErrorType>> {
    let area = SVGBackend::with_string(svg, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let top = burn.iter().copied().fold(MIN_AXIS_LIMIT, f64::max) * 1.1;
    let windows = WINDOWS_S.len() as i32;
    let mut chart = ChartBuilder::on(&area)
        .margin(10)
        .x_label_area_size(24)
        .y_label_area_size(48)
        .build_cartesian_2d(0..windows, 0.0..top)?;
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(WINDOWS_S.len())
        .x_label_formatter(&|index| window_label(*index))
        .y_desc("burn")
        .draw()?;
    chart.draw_series(burn.iter().enumerate().map(|(index, burn)| {
        let index = index as i32;
        let colour = if *burn > 1.0 { RED.mix(0.6) } else { BLUE.mix(0.6) };
        Rectangle::new([(index, 0.0), (index + 1, *burn)], colour.filled())
    }))?;
    chart.draw_series(LineSeries::new([(0, 1.0), (windows, 1.0)], BLACK))?;
    area.present()
}

fn window_label(index: i32) -> String {
    let window_s = usize::try_from(index).ok().and_then(|index| WINDOWS_S.get(index));
    match window_s {
        Some(window_s) if *window_s < 3_600 => format!("{} min", window_s / 60),
        Some(window_s) => format!("{} h", window_s / 3_600),
        None => String::new(),
    }
}
