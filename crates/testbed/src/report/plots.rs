//! Draws the plots of a report as SVG.

use super::{Report, STEP_MS};
use anyhow::Result;
use plotters::backend::SVGBackend;
use plotters::chart::ChartBuilder;
use plotters::drawing::IntoDrawingArea;
use plotters::element::{PathElement, Rectangle};
use plotters::series::LineSeries;
use plotters::style::{Color, Palette, Palette99, RGBColor, BLACK, WHITE};

/// Width and height of a plot of lines, in pixels.
const LINES_SIZE: (u32, u32) = (900, 300);
/// Maximum number of lines for which a plot has a legend.
const MAX_LEGEND_ENTRIES: usize = 12;
/// Width of the view plot, in pixels.
const VIEW_PLOT_WIDTH: u32 = 900;
/// Height of the caption and the axis of the view plot, in pixels.
const VIEW_PLOT_MARGIN: u32 = 90;
/// Height of a row of the view plot, in pixels.
const VIEW_ROW_HEIGHT: u32 = 7;
/// Quantile at which latency curves end; on the logarithmic scale, the quantile 1 would be infinite.
const MAX_QUANTILE: f64 = 0.9999;
const VIEW_PLOT_CAPTION: &str =
    "views of members: green alive, yellow suspect, red gone, grey left, blue in the minority";

/// The points of a line.
type Points = Vec<(f64, f64)>;

/// A line of a plot.
struct Line {
    name: String,
    points: Points,
}

/// A plot of lines.
struct LinePlot<'a> {
    title: &'a str,
    x_label: &'a str,
    y_label: &'a str,
    lines: Vec<Line>,
}

/// Draws the plots of one or several runs, each with its name. The lines of all runs are in the same plots;
/// the views of members have a plot for each run.
///
/// # Errors
/// Returns an error if a plot cannot be drawn.
pub fn plots(runs: &[(&str, &Report)]) -> Result<Vec<String>> {
    let plot = |title, x_label, y_label| LinePlot { title, x_label, y_label, lines: Vec::new() };
    let mut answers = plot("answers", "seconds", "per second");
    let mut jobs = plot("jobs held and in flight", "seconds", "jobs");
    let mut curves = plot("latency of served jobs by class", "nines (1: 90%, 2: 99%)", "ms");
    let mut load = plot("slots in use by worker", "seconds", "slots");
    let mut fault_times = Vec::new();
    for (run, report) in runs {
        let series = &report.series;
        for (index, outcome) in ["served", "refused", "failed"].iter().enumerate() {
            let rates = series.answers.iter().map(|counts| counts[index] * 1e3 / STEP_MS);
            answers.lines.push(Line { name: label(run, outcome), points: over_time(rates) });
        }
        let held = over_time(series.held.iter().copied());
        jobs.lines.push(Line { name: label(run, "held"), points: held });
        let in_flight = over_time(series.in_flight.iter().copied());
        jobs.lines.push(Line { name: label(run, "in flight"), points: in_flight });
        for (class, figures) in &report.classes {
            let points = figures.curve.iter().map(|(quantile, millis)| (nines(*quantile), *millis)).collect();
            curves.lines.push(Line { name: label(run, class), points });
        }
        for (worker, slots) in series.load.iter().enumerate() {
            let points = over_time(slots.iter().copied());
            load.lines.push(Line { name: label(run, &format!("worker {worker}")), points });
        }
        fault_times.extend(report.faults.iter().map(|(at, _)| at / 1e3));
    }
    let mut drawn_plots = vec![
        answers.draw(&fault_times)?,
        jobs.draw(&fault_times)?,
        curves.draw(&[])?,
        load.draw(&fault_times)?,
    ];
    for (_, report) in runs {
        if !report.member_views.is_empty() {
            drawn_plots.push(draw_views(report)?);
        }
    }
    Ok(drawn_plots)
}

/// Returns the label of a line, prefixed with the name of the run if there are several runs.
fn label(run: &str, line: &str) -> String {
    if run.is_empty() {
        return line.to_string();
    }
    format!("{run}: {line}")
}

/// Converts the values of steps to points over seconds.
fn over_time(values: impl Iterator<Item = f64>) -> Points {
    values.enumerate().map(|(step, value)| (step as f64 * STEP_MS / 1e3, value)).collect()
}

/// Converts a quantile to a logarithmic scale: 0.9 is 1, 0.99 is 2.
fn nines(quantile: f64) -> f64 {
    -(1.0 - quantile.min(MAX_QUANTILE)).log10()
}

impl LinePlot<'_> {
    /// Draws the lines, and a vertical line at each of the marked times.
    fn draw(&self, marks: &[f64]) -> Result<String> {
        let mut svg = String::new();
        {
            let area = SVGBackend::with_string(&mut svg, LINES_SIZE).into_drawing_area();
            let points = || self.lines.iter().flat_map(|line| &line.points);
            let max_x = points().map(|(x, _)| *x).fold(0.0, f64::max).max(1e-3);
            let max_y = points().map(|(_, y)| *y).fold(0.0, f64::max).max(1.0) * 1.05;
            let mut chart = ChartBuilder::on(&area)
                .caption(self.title, ("sans-serif", 18))
                .margin(8)
                .x_label_area_size(32)
                .y_label_area_size(52)
                .build_cartesian_2d(0.0..max_x, 0.0..max_y)?;
            chart
                .configure_mesh()
                .x_desc(self.x_label)
                .y_desc(self.y_label)
                .light_line_style(WHITE)
                .draw()?;
            for at in marks {
                chart.draw_series(LineSeries::new([(*at, 0.0), (*at, max_y)], BLACK.mix(0.3)))?;
            }
            let has_legend = self.lines.len() <= MAX_LEGEND_ENTRIES;
            for (index, line) in self.lines.iter().enumerate() {
                let color = Palette99::pick(index).to_rgba();
                let points = line.points.iter().copied();
                let drawn = chart.draw_series(LineSeries::new(points, color.stroke_width(2)))?;
                if has_legend {
                    drawn
                        .label(&line.name)
                        .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
                }
            }
            if has_legend {
                chart
                    .configure_series_labels()
                    .background_style(WHITE.mix(0.8))
                    .border_style(BLACK)
                    .draw()?;
            }
            area.present()?;
        }
        Ok(svg)
    }
}

/// Draws the view plot: a row for each member's view of each member, itself included, over time.
fn draw_views(report: &Report) -> Result<String> {
    let members =
        report.member_views.iter().map(|interval| interval.by.max(interval.of) + 1).max().unwrap_or(0);
    let end = report.member_views.iter().map(|interval| interval.to).fold(0.0, f64::max) / 1e3;
    let rows = members * members;
    let mut svg = String::new();
    {
        let height = VIEW_PLOT_MARGIN + VIEW_ROW_HEIGHT * rows as u32;
        let area = SVGBackend::with_string(&mut svg, (VIEW_PLOT_WIDTH, height)).into_drawing_area();
        let mut chart = ChartBuilder::on(&area)
            .caption(VIEW_PLOT_CAPTION, ("sans-serif", 14))
            .margin(8)
            .x_label_area_size(32)
            .y_label_area_size(90)
            .build_cartesian_2d(0.0..end.max(1e-3), 0.0..rows as f64)?;
        let row_label = |y: &f64| view_row_label(*y as usize, members);
        let mut mesh = chart.configure_mesh();
        mesh.x_desc("seconds").y_labels(members + 1).y_label_formatter(&row_label).draw()?;
        chart.draw_series(report.member_views.iter().map(|interval| {
            let row = (interval.by * members + interval.of) as f64;
            let corners = [(interval.from / 1e3, row + 0.1), (interval.to / 1e3, row + 0.9)];
            Rectangle::new(corners, state_color(interval.state).filled())
        }))?;
        for (at, _) in &report.faults {
            let line = [(at / 1e3, 0.0), (at / 1e3, rows as f64)];
            chart.draw_series(LineSeries::new(line, BLACK.mix(0.6)))?;
        }
        area.present()?;
    }
    Ok(svg)
}

/// Returns the label of a row: the name of the observing member at its first row, otherwise nothing.
fn view_row_label(row: usize, members: usize) -> String {
    let by = row / members.max(1);
    let of = row % members.max(1);
    if of == 0 && by < members {
        return format!("views of s{by}");
    }
    String::new()
}

/// Returns the colour of a state; the letters are those of [`crate::journal::Observation::View`].
fn state_color(state: char) -> RGBColor {
    match state {
        'a' => RGBColor(130, 190, 130),
        's' => RGBColor(240, 200, 60),
        'g' => RGBColor(200, 60, 50),
        'l' => RGBColor(150, 150, 150),
        'm' => RGBColor(70, 110, 200),
        _ => WHITE,
    }
}
