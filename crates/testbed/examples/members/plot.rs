//! Line plots over the cluster size.

use anyhow::Result;
use plotters::prelude::{
    ChartBuilder, Color, IntoDrawingArea, IntoLogRange, LineSeries, Palette, Palette99, PathElement,
    SVGBackend, SeriesLabelPosition, BLACK, WHITE,
};
use std::path::Path;

const SIZE_PIXELS: (u32, u32) = (720, 420);
const LEGEND_LINE_PIXELS: i32 = 18;

/// A line and its label; points without a finite y value are omitted.
pub struct Line {
    /// The label in the legend.
    pub label: String,
    /// The points, as x and y.
    pub points: Vec<(f64, f64)>,
}

/// A plot with a logarithmic x axis.
pub struct Plot<'a> {
    /// The caption.
    pub title: &'a str,
    /// The quantity on the x axis.
    pub x_label: &'a str,
    /// The quantity on the y axis.
    pub y_label: &'a str,
    /// The lines.
    pub lines: &'a [Line],
}

impl Plot<'_> {
    /// Writes the plot as SVG.
    ///
    /// # Errors
    /// Returns an error if the file cannot be written.
    pub fn write(&self, path: &Path) -> Result<()> {
        let (max_x, max_y) = self.extent();
        let area = SVGBackend::new(path, SIZE_PIXELS).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(self.title, ("sans-serif", 18))
            .margin(10)
            .x_label_area_size(40)
            .y_label_area_size(50)
            .build_cartesian_2d((1.0..max_x * 1.05).log_scale(), 0.0..max_y * 1.1)?;
        chart.configure_mesh().x_desc(self.x_label).y_desc(self.y_label).draw()?;
        for (index, line) in self.lines.iter().enumerate() {
            let style = Palette99::pick(index).stroke_width(2);
            let finite = line.points.iter().copied().filter(|(_, y)| y.is_finite());
            chart
                .draw_series(LineSeries::new(finite, style))?
                .label(line.label.as_str())
                .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + LEGEND_LINE_PIXELS, y)], style));
        }
        let mut labels = chart.configure_series_labels();
        labels
            .position(SeriesLabelPosition::UpperMiddle)
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK);
        labels.draw()?;
        area.present()?;
        Ok(())
    }

    /// Returns the largest x and y, each at least 1.
    fn extent(&self) -> (f64, f64) {
        let mut max_x: f64 = 1.0;
        let mut max_y: f64 = 1.0;
        for (x, y) in self.lines.iter().flat_map(|line| &line.points) {
            if y.is_finite() {
                max_x = max_x.max(*x);
                max_y = max_y.max(*y);
            }
        }
        (max_x, max_y)
    }
}
