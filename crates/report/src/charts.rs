//! Line charts as SVG elements of the page.

use plotters::prelude::*;

/// A line of a chart: its name in the legend, and its points.
pub(crate) struct Curve {
    pub(crate) name: String,
    pub(crate) points: Vec<(f64, f64)>,
}

/// A shaded time range, in seconds.
pub(crate) struct Band {
    pub(crate) from: f64,
    pub(crate) to: f64,
}

const SIZE_PX: (u32, u32) = (900, 260);
/// Colours of the lines, which people with red-green colour blindness can distinguish (Okabe and Ito).
const COLOURS: [RGBColor; 7] = [
    RGBColor(0, 114, 178),
    RGBColor(213, 94, 0),
    RGBColor(0, 158, 115),
    RGBColor(204, 121, 167),
    RGBColor(230, 159, 0),
    RGBColor(86, 180, 233),
    RGBColor(90, 90, 90),
];

/// Draws a chart as SVG text. The horizontal axis is in seconds since the first bucket. The text is empty if there is
/// no point after 0 s.
pub(crate) fn chart(unit: &str, curves: &[Curve], bands: &[Band]) -> String {
    let points = || curves.iter().flat_map(|curve| curve.points.iter());
    let max_x = points().map(|(x, _)| *x).fold(0.0, f64::max);
    let max_y = points().map(|(_, y)| *y).fold(0.0, f64::max);
    if max_x <= 0.0 {
        return String::new();
    }
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, SIZE_PX).into_drawing_area();
        // A chart that cannot be drawn is left out of the page; no one could act on the error.
        let _ = draw(&area, unit, curves, bands, (max_x, max_y.max(1.0) * 1.05));
        let _ = area.present();
    }
    // Without a fixed size, the style sheet makes the chart as wide as the page.
    svg.replacen(&format!("width=\"{}\" height=\"{}\"", SIZE_PX.0, SIZE_PX.1), "", 1)
}

/// CSS colour of the curve with this index, for the legend. The legend is outside the chart so that it hides no curve.
pub(crate) fn colour(index: usize) -> String {
    let RGBColor(red, green, blue) = COLOURS[index % COLOURS.len()];
    format!("#{red:02x}{green:02x}{blue:02x}")
}

type SvgArea<'a> = DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;
type DrawResult<'a> = Result<(), DrawingAreaErrorKind<<SVGBackend<'a> as DrawingBackend>::ErrorType>>;

fn draw<'a>(
    area: &SvgArea<'a>,
    unit: &str,
    curves: &[Curve],
    bands: &[Band],
    (max_x, max_y): (f64, f64),
) -> DrawResult<'a> {
    let mut chart = ChartBuilder::on(area)
        .margin(6)
        .x_label_area_size(28)
        .y_label_area_size(52)
        .build_cartesian_2d(0.0..max_x, 0.0..max_y)?;
    chart.draw_series(bands.iter().map(|band| {
        Rectangle::new(
            [(band.from, 0.0), (band.to.min(max_x), max_y)],
            RGBColor(213, 94, 0).mix(0.13).filled(),
        )
    }))?;
    chart.configure_mesh().disable_x_mesh().light_line_style(TRANSPARENT).x_desc("s").y_desc(unit).draw()?;
    for (i, curve) in curves.iter().enumerate() {
        let colour = COLOURS[i % COLOURS.len()];
        chart.draw_series(LineSeries::new(curve.points.iter().copied(), colour.stroke_width(2)))?;
    }
    Ok(())
}
