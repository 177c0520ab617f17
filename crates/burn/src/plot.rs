//! Draws the report as an SVG plot: burn rate by tier, and missed objectives by cause.

use std::fmt;
use std::ops::Range;
use std::path::Path;

use amaranth_wire::service_level::{LevelCause, LevelCounts};
use plotters::coord::Shift;
use plotters::prelude::*;

use crate::burn_rate::{BUDGET_MINUTES, WINDOW_PAIRS, window_burn};
use crate::history::FleetHistory;

/// Width and height of the plot, in pixels.
const SIZE: (u32, u32) = (960, 720);
/// Window of each point of a burn-rate line, in minutes.
const LINE_WINDOW: u64 = 5;
/// Width of a bar of causes, in minutes.
const BAR_MINUTES: u64 = 10;
/// Minimum upper end of the burn-rate axis, so that low burn rates are not scaled up.
const MIN_AXIS_TOP: f64 = 2.0;

/// Error from drawing or writing the plot.
#[derive(Debug)]
pub struct PlotError(String);

impl fmt::Display for PlotError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the plot cannot be written: {}", self.0)
    }
}

impl std::error::Error for PlotError {}

/// Result of plotting.
pub type Result<T> = std::result::Result<T, PlotError>;

type SvgArea<'a> = DrawingArea<SVGBackend<'a>, Shift>;

fn plot_error(e: impl fmt::Display) -> PlotError {
    PlotError(e.to_string())
}

/// Draws the [`BUDGET_MINUTES`] that end with the minute `last` and writes them to an SVG file.
pub fn write(path: &Path, history: &FleetHistory, last: u64) -> Result<()> {
    let svg = draw(history, last)?;
    std::fs::write(path, svg).map_err(plot_error)
}

/// Draws the [`BUDGET_MINUTES`] that end with the minute `last` as SVG text.
pub fn draw(history: &FleetHistory, last: u64) -> Result<String> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        area.fill(&WHITE).map_err(plot_error)?;
        let (upper, lower) = area.split_vertically(SIZE.1 / 2);
        draw_burn(&upper, history, last)?;
        draw_causes(&lower, history, last)?;
        area.present().map_err(plot_error)?;
    }
    Ok(svg)
}

/// Range of the time axis: minutes relative to the last one.
fn time_axis() -> Range<i64> {
    -(BUDGET_MINUTES as i64)..0
}

fn draw_burn(area: &SvgArea<'_>, history: &FleetHistory, last: u64) -> Result<()> {
    let lines: Vec<_> = history
        .tiers
        .iter()
        .map(|(tier, tier_history)| {
            let points = (0..BUDGET_MINUTES).rev().map(|ago| {
                let minute = last.saturating_sub(ago);
                let window = window_burn(tier_history, minute, LINE_WINDOW);
                (-(ago as i64), window.burn.unwrap_or(0.0))
            });
            (tier.to_string(), points.collect::<Vec<_>>())
        })
        .collect();
    let highest = lines
        .iter()
        .flat_map(|(_, points)| points.iter().map(|(_, burn)| *burn));
    let top = highest.fold(MIN_AXIS_TOP, f64::max) * 1.1;
    let mut chart = ChartBuilder::on(area)
        .caption(
            "burn rate over 5 min (1 uses the budget up exactly)",
            ("sans-serif", 18),
        )
        .margin(12)
        .x_label_area_size(32)
        .y_label_area_size(48)
        .build_cartesian_2d(time_axis(), 0.0..top)
        .map_err(plot_error)?;
    let mut mesh = chart.configure_mesh();
    mesh.x_desc("minutes before the report")
        .draw()
        .map_err(plot_error)?;
    for (index, (tier, points)) in lines.into_iter().enumerate() {
        let colour = Palette99::pick(index).to_rgba();
        let series = LineSeries::new(points, colour.stroke_width(2));
        let drawn = chart.draw_series(series).map_err(plot_error)?;
        drawn
            .label(tier)
            .legend(move |position| legend_mark(position, colour));
    }
    for pair in WINDOW_PAIRS.iter().filter(|pair| pair.threshold < top) {
        let line = time_axis().map(|minute| (minute, pair.threshold));
        let series = LineSeries::new(line, BLACK.mix(0.4));
        chart.draw_series(series).map_err(plot_error)?;
    }
    let mut labels = chart.configure_series_labels();
    let labels = labels
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK.mix(0.3));
    labels.draw().map_err(plot_error)
}

fn legend_mark((x, y): (i32, i32), colour: RGBAColor) -> Rectangle<(i32, i32)> {
    Rectangle::new([(x, y - 4), (x + 12, y + 4)], colour.filled())
}

/// Request counts of all tiers by bar. A bar is named by its last minute, relative to `last`.
fn bars(history: &FleetHistory, last: u64) -> Vec<(i64, LevelCounts)> {
    let ends = (0..BUDGET_MINUTES).step_by(BAR_MINUTES as usize);
    let bar = |ago: u64| {
        let mut counts = LevelCounts::default();
        for tier in history.tiers.values() {
            counts.add_all(&tier.window(last.saturating_sub(ago), BAR_MINUTES));
        }
        (-(ago as i64), counts)
    };
    ends.map(bar).collect()
}

fn draw_causes(area: &SvgArea<'_>, history: &FleetHistory, last: u64) -> Result<()> {
    let bars = bars(history, last);
    let top = bars
        .iter()
        .map(|(_, counts)| counts.bad())
        .max()
        .unwrap_or(0);
    let mut chart = ChartBuilder::on(area)
        .caption(
            "requests that missed their objectives, by cause, in 10 min",
            ("sans-serif", 18),
        )
        .margin(12)
        .x_label_area_size(32)
        .y_label_area_size(48)
        .build_cartesian_2d(time_axis(), 0..top.max(1))
        .map_err(plot_error)?;
    let mut mesh = chart.configure_mesh();
    mesh.x_desc("minutes before the report")
        .draw()
        .map_err(plot_error)?;
    for (index, cause) in LevelCause::BAD.into_iter().enumerate() {
        let colour = Palette99::pick(index).to_rgba();
        let rectangles = bars.iter().map(|(end, counts)| {
            let below = &LevelCause::BAD[..index];
            let base: u64 = below.iter().map(|cause| counts.get(*cause)).sum();
            let corners = [
                (end - BAR_MINUTES as i64 + 1, base),
                (*end, base + counts.get(cause)),
            ];
            Rectangle::new(corners, colour.filled())
        });
        let drawn = chart.draw_series(rectangles).map_err(plot_error)?;
        drawn
            .label(cause.name())
            .legend(move |position| legend_mark(position, colour));
    }
    let mut labels = chart.configure_series_labels();
    let labels = labels
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK.mix(0.3));
    labels.draw().map_err(plot_error)
}
