//! Plots the latency distributions of a load test as SVG.

use std::path::Path;

use miette::miette;
use plotters::prelude::{
    BLACK, ChartBuilder, Color, IntoDrawingArea, IntoLogRange, LineSeries, Palette, Palette99,
    PathElement, SVGBackend, SeriesLabelPosition, WHITE,
};

use crate::ops::load::report::{LatencyPoint, LoadTestReport};

/// Width and height in pixels.
const PLOT_SIZE: (u32, u32) = (960, 540);
/// End of the horizontal axis, in nines: the 99.999th percentile.
const MAX_NINES: f64 = 5.0;

/// Writes a plot of latency by quantile with one line per class; both axes are logarithmic, the
/// horizontal one in the distance to the 100th percentile.
///
/// # Errors
///
/// Returns an error if the file cannot be written.
pub fn write_plot(report: &LoadTestReport, path: &Path) -> miette::Result<()> {
    draw(report, path)
        .map_err(|error| miette!("cannot write the latency plot {}: {error}", path.display()))
}

fn draw(report: &LoadTestReport, path: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let (low, high) = latency_range(report);
    let area = SVGBackend::new(path, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(16)
        .x_label_area_size(48)
        .y_label_area_size(72)
        .build_cartesian_2d(0.0..MAX_NINES, (low..high).log_scale())?;
    chart
        .configure_mesh()
        .x_desc("share of responses")
        .y_desc("latency from due time, ms")
        .x_label_formatter(&|nines| percent_label(*nines))
        .y_label_formatter(&|millis| format!("{millis}"))
        .draw()?;
    for (index, class) in report.classes.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let points = class.points.iter().filter_map(plot_point);
        chart
            .draw_series(LineSeries::new(points, color.stroke_width(2)))?
            .label(&class.name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color.stroke_width(2)));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperLeft)
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}

/// Coordinates of a point: the quantile as its number of nines, the latency in milliseconds. None
/// for points beyond the axis, which include the maximum.
fn plot_point(point: &LatencyPoint) -> Option<(f64, f64)> {
    let nines = -(1.0 - point.quantile).log10();
    if !nines.is_finite() || nines > MAX_NINES {
        return None;
    }
    Some((nines, point.latency_us.max(1) as f64 / 1000.0))
}

fn percent_label(nines: f64) -> String {
    let percent = 100.0 * (1.0 - 10_f64.powf(-nines));
    format!("{}%", (percent * 1000.0).round() / 1000.0)
}

fn latency_range(report: &LoadTestReport) -> (f64, f64) {
    let (mut low, mut high) = (f64::MAX, 0.0_f64);
    for class in &report.classes {
        for point in &class.points {
            let millis = point.latency_us.max(1) as f64 / 1000.0;
            low = low.min(millis);
            high = high.max(millis);
        }
    }
    if high <= 0.0 {
        return (0.1, 1.0);
    }
    (low, high * 1.1)
}
