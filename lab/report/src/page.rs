//! A run as one page: the table, and plots over time with the troubles under them. Nothing on it is fetched
//! from elsewhere.

use std::fmt::Write;

use plotters::prelude::*;

use crate::{Run, Second, table};

const SIZE: (u32, u32) = (960, 230);
const COLOURS: [RGBColor; 8] = [
    RGBColor(31, 119, 180),
    RGBColor(255, 127, 14),
    RGBColor(44, 160, 44),
    RGBColor(214, 39, 40),
    RGBColor(148, 103, 189),
    RGBColor(140, 86, 75),
    RGBColor(227, 119, 194),
    RGBColor(127, 127, 127),
];

type Fault = Box<dyn std::error::Error>;

struct Line<'a> {
    name: String,
    value: Box<dyn Fn(&Second) -> f64 + 'a>,
}

fn line<'a>(name: impl Into<String>, value: impl Fn(&Second) -> f64 + 'a) -> Line<'a> {
    Line { name: name.into(), value: Box::new(value) }
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

/// Lines over the seconds of a run; with `log` on a scale of powers of ten.
fn lines(run: &Run, unit: &str, log: bool, lines: &[Line]) -> Result<String, Fault> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let values = |line: &Line| -> Vec<(f64, f64)> {
            run.seconds.iter().map(|second| (second.at_s, (line.value)(second))).collect()
        };
        let drawn: Vec<_> = lines.iter().enumerate().map(|(n, line)| (n, line, values(line))).collect();
        let most = drawn.iter().flat_map(|(.., points)| points).map(|(_, y)| *y).fold(1.0, f64::max);
        let mut builder = ChartBuilder::on(&area);
        builder.margin(6).x_label_area_size(26).y_label_area_size(64);
        let ends = 0.0..run.lasts_s.max(1.0);
        // The two scales make charts of two types.
        macro_rules! draw {
            ($chart:expr) => {{
                let mut chart = $chart;
                chart.configure_mesh().light_line_style(WHITE).x_desc("s").y_desc(unit).draw()?;
                for (n, line, points) in drawn {
                    let colour = COLOURS[n % COLOURS.len()];
                    let points = points.into_iter().filter(|(_, y)| !log || *y > 0.0);
                    chart
                        .draw_series(LineSeries::new(points, colour.stroke_width(1)))?
                        .label(line.name.clone())
                        .legend(move |(x, y)| PathElement::new([(x, y), (x + 14, y)], colour));
                }
                chart
                    .configure_series_labels()
                    .background_style(WHITE.mix(0.8))
                    .border_style(BLACK.mix(0.2))
                    .position(SeriesLabelPosition::UpperLeft)
                    .draw()?;
            }};
        }
        if log {
            draw!(builder.build_cartesian_2d(ends, (0.1..most * 1.5).log_scale())?);
        } else {
            draw!(builder.build_cartesian_2d(ends, 0.0..most * 1.1)?);
        }
        area.present()?;
    }
    Ok(svg)
}

/// The timetable of troubles, a bar each.
fn troubles(run: &Run) -> Result<String, Fault> {
    let mut svg = String::new();
    let count = run.troubles.len().max(1);
    {
        let size = (SIZE.0, 40 + 22 * count as u32);
        let area = SVGBackend::with_string(&mut svg, size).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .margin(6)
            .x_label_area_size(26)
            .y_label_area_size(64)
            .build_cartesian_2d(0.0..run.lasts_s.max(1.0), 0.0..count as f64)?;
        chart.configure_mesh().disable_y_mesh().disable_y_axis().light_line_style(WHITE).draw()?;
        for (n, trouble) in run.troubles.iter().enumerate() {
            let (low, high) = (n as f64 + 0.15, n as f64 + 0.85);
            let bar = [(trouble.from_s, low), (trouble.until_s.max(trouble.from_s + 0.2), high)];
            chart.draw_series([Rectangle::new(bar, COLOURS[n % COLOURS.len()].mix(0.35).filled())])?;
            let style = ("sans-serif", 13).into_font().color(&BLACK);
            let at = (trouble.from_s, n as f64 + 0.7);
            chart.draw_series([Text::new(trouble.what.clone(), at, style)])?;
        }
        area.present()?;
    }
    Ok(svg)
}

/// Executions of each server, by tier, as bars.
fn servers(run: &Run) -> Result<String, Fault> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let most = run.servers.iter().map(|server| server.executions).max().unwrap_or(1).max(1);
        let mut chart = ChartBuilder::on(&area)
            .margin(6)
            .x_label_area_size(26)
            .y_label_area_size(64)
            .build_cartesian_2d(0.0..run.servers.len().max(1) as f64, 0.0..most as f64 * 1.1)?;
        chart.configure_mesh().disable_x_mesh().light_line_style(WHITE).x_desc("servers").draw()?;
        let mut zones: Vec<&str> = run.servers.iter().map(|server| server.zone.as_str()).collect();
        zones.sort_unstable();
        zones.dedup();
        chart.draw_series(run.servers.iter().enumerate().map(|(n, server)| {
            let colour = zones.iter().position(|zone| *zone == server.zone).unwrap_or(0);
            let bar = [(n as f64 + 0.05, 0.0), (n as f64 + 0.95, server.executions as f64)];
            Rectangle::new(bar, COLOURS[colour % COLOURS.len()].mix(0.7).filled())
        }))?;
        area.present()?;
    }
    Ok(svg)
}

/// The whole page.
pub fn page(run: &Run) -> Result<String, Fault> {
    let zones = &run.zones;
    let by_zone = |name: &str, of: fn(&Second) -> &Vec<u64>| -> Vec<Line> {
        zones
            .iter()
            .enumerate()
            .map(|(n, zone)| {
                line(format!("{name} {zone}"), move |s: &Second| of(s).get(n).copied().unwrap_or(0) as f64)
            })
            .collect()
    };
    let share = |n: usize| {
        move |second: &Second| {
            let all: u64 = second.executions.iter().sum();
            second.executions.get(n).copied().unwrap_or(0) as f64 / all.max(1) as f64
        }
    };
    let shares: Vec<Line> = zones.iter().enumerate().map(|(n, zone)| line(zone.as_str(), share(n))).collect();
    let latencies =
        [line("p99", |s: &Second| s.p99), line("p90", |s: &Second| s.p90), line("p50", |s: &Second| s.p50)];
    let outcomes = [
        line("completed in time", |s: &Second| (s.completed - s.tardy) as f64),
        line("completed late", |s: &Second| s.tardy as f64),
        line("rejected", |s: &Second| s.rejected as f64),
        line("failed", |s: &Second| s.failed as f64),
    ];
    let plots = [
        ("Latency of completed queries, from when they were due", lines(run, "ms", true, &latencies)?),
        ("Outcomes, by the second in which queries were due", lines(run, "a second", false, &outcomes)?),
        ("Queries held by the servers of a zone", lines(run, "held", false, &by_zone("zone", |s| &s.held))?),
        ("Share of the executions by zone: the weights in effect", lines(run, "share", false, &shares)?),
        ("Choked servers", lines(run, "servers", false, &[line("choked", |s: &Second| s.choked as f64)])?),
        ("Troubles", troubles(run)?),
        ("Executions by server, coloured by zone", servers(run)?),
    ];
    let mut page = String::new();
    let title = escape(&format!("{}: {}", run.scenario, run.decided_by));
    write!(
        page,
        "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>{title}</title>\n<style>\
         body{{font-family:sans-serif;max-width:980px;margin:2em auto;color:#222}}pre{{background:#f6f6f6;\
         padding:1em;overflow-x:auto;font-size:12px}}h2{{font-size:1em;margin:1.4em 0 .3em}}</style></head>\n\
         <body><h1>{title}</h1><p>{}</p>\n<pre>{}</pre>\n",
        escape(&run.shows),
        escape(&table::table(run))
    )?;
    for (title, svg) in plots {
        writeln!(page, "<h2>{}</h2>\n{svg}", escape(title))?;
    }
    page.push_str("</body></html>\n");
    Ok(page)
}
