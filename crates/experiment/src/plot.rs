//! Plots of attainment over time.

use plotters::prelude::*;

use crate::tally::{self, Tally};

/// Width and height of a plot.
const SIZE_PX: (u32, u32) = (900, 360);
/// Space for the labels of each axis.
const LABEL_AREA_PX: u32 = 36;

/// Writes an SVG plot of the share of calls answered in time, by window of arrival,
/// with one line for each run of a scenario.
///
/// # Errors
///
/// The file cannot be written.
pub fn draw(
    file: &std::path::Path,
    scenario: &str,
    runs: &[(&str, Tally)],
) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::new(file, SIZE_PX).into_drawing_area();
    root.fill(&WHITE)?;
    let windows = runs.iter().map(|(_, tally)| tally.windows.len()).max().unwrap_or(0);
    let end = (windows as u64 * tally::WINDOW_S) as f64;
    let mut chart = ChartBuilder::on(&root)
        .caption(scenario, ("sans-serif", 18))
        .margin(8)
        .set_all_label_area_size(LABEL_AREA_PX)
        .build_cartesian_2d(0.0..end, 0.0..1.0)?;
    chart.configure_mesh().x_desc("s").y_desc("in time").draw()?;
    for (number, (name, tally)) in runs.iter().enumerate() {
        let colour = Palette99::pick(number).to_rgba();
        let points = tally.windows.iter().enumerate().map(|(window, count)| {
            ((window as u64 * tally::WINDOW_S) as f64, count.in_time_share())
        });
        chart
            .draw_series(LineSeries::new(points, &colour))?
            .label(*name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour));
    }
    chart.configure_series_labels().background_style(WHITE).border_style(BLACK).draw()?;
    root.present()?;
    Ok(())
}
