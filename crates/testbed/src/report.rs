//! What a run shows: figures, plots and broken rules, as JSON and as a page that needs nothing else.

use crate::journal::Observation;
use crate::rules::{Breach, RunIndex};
use crate::runner::Run;
use anyhow::{Context, Result};
use hdrhistogram::Histogram;
use plotters::prelude::*;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::path::Path;

/// Points of a plot are this far apart, in milliseconds.
const STEP: f64 = 500.0;

/// All figures of a run.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Report {
    /// The scenario's words about itself.
    pub about: String,
    /// The seed of its jobs.
    pub seed: u64,
    /// For how long clients brought jobs, in seconds.
    pub seconds: f64,
    /// Jobs sent.
    pub jobs: usize,
    /// Answers to each job: the fewest and the most, of those whose client stayed.
    pub answers: [usize; 2],
    /// By class.
    pub classes: BTreeMap<String, ClassFigures>,
    /// Jobs that wait for nothing, and the part of them that was refused.
    pub fresh: usize,
    /// See `fresh`.
    pub fresh_refused: f64,
    /// Of jobs that waited.
    pub waiting: WaitFigures,
    /// The most that was ever held at a time, by the schedulers' own figures.
    pub most_held: u64,
    /// The most resident memory of a scheduler, in KiB.
    pub most_resident_kib: u64,
    /// What went wrong by the script, and when.
    pub faults: Vec<(f64, String)>,
    /// Rules that were broken.
    pub breaches: Vec<Breach>,
    /// What is plotted.
    pub series: Series,
    /// What schedulers that know of each other believed.
    #[serde(default)]
    pub believed: Vec<Believed>,
}

/// What one scheduler believed of another for a time; of itself, whether it knew to be on the smaller side (`m`).
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Believed {
    /// Who.
    pub by: usize,
    /// Of whom.
    pub of: usize,
    /// From when on, in milliseconds.
    pub from: f64,
    /// And until when.
    pub to: f64,
    /// As in [`Observation::View`].
    pub state: char,
}

/// Figures of a class.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ClassFigures {
    /// Jobs sent.
    pub sent: usize,
    /// Answered with 200.
    pub served: usize,
    /// With 429 or 503.
    pub refused: usize,
    /// With anything else.
    pub failed: usize,
    /// Left, lost or unanswered.
    pub other: usize,
    /// Answers by status.
    pub statuses: BTreeMap<u16, usize>,
    /// Milliseconds to a served answer from the sending, or from when a job that waits came ready: the median, and
    /// what 90, 99 and 99.9 in a hundred stay within.
    pub latency: [f64; 4],
    /// The whole curve: a part of 1, and milliseconds.
    pub curve: Vec<(f64, f64)>,
}

/// Figures of jobs that waited.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct WaitFigures {
    /// Jobs sent that wait for something.
    pub sent: usize,
    /// Those of them that came ready.
    pub ready: usize,
    /// Served.
    pub served: usize,
    /// 424: what they waited for was not served.
    pub doomed: usize,
    /// 503.
    pub refused: usize,
    /// Milliseconds from when they came ready to their first arrival at a worker, or to the answer of those that
    /// came to none: the median, what 99 in a hundred stay within, and the longest.
    pub wait: [f64; 3],
}

/// What is plotted over time; a point each half second.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Series {
    /// Answers in each step: served, refused, failed.
    pub answers: Vec<[f64; 3]>,
    /// Jobs held and in flight, of all schedulers.
    pub held: Vec<f64>,
    /// See `held`.
    pub in_flight: Vec<f64>,
    /// Mean slots in use, by worker.
    pub load: Vec<Vec<f64>>,
}

fn step(at: f64) -> usize {
    (at / STEP).max(0.0) as usize
}

/// A curve of points.
type Points = Vec<(f64, f64)>;

/// Percentiles and the curve of values in milliseconds.
fn spread(values: &[f64]) -> Result<([f64; 4], Points)> {
    let mut histogram = Histogram::<u64>::new_with_bounds(1, 3_600_000_000, 3)?;
    for value in values {
        histogram.saturating_record((value * 1e3).max(1.0) as u64);
    }
    let at = |q: f64| histogram.value_at_quantile(q) as f64 / 1e3;
    if values.is_empty() {
        return Ok(([0.0; 4], Vec::new()));
    }
    let curve = [0.0, 0.1, 0.25, 0.5, 0.75, 0.9, 0.95, 0.98, 0.99, 0.995, 0.999, 1.0].map(|q| (q, at(q)));
    Ok(([0.5, 0.9, 0.99, 0.999].map(at), curve.to_vec()))
}

/// Makes a report of a run.
///
/// # Errors
/// A figure is beyond all bounds.
pub fn report(run: &Run, seed: u64, breaches: Vec<Breach>) -> Result<Report> {
    let index = RunIndex::new(run);
    let mut report = Report {
        about: run.scenario.about.clone(),
        seed,
        seconds: run.scenario.seconds,
        breaches,
        answers: [usize::MAX, 0],
        ..Report::default()
    };
    let (mut latencies, mut waits) = (BTreeMap::<String, Vec<f64>>::new(), Vec::new());
    let mut fresh_refused = 0;
    for (job, history) in index.jobs().filter(|(_, s)| s.sent.is_some()) {
        let Some(sent) = history.sent else { continue };
        let name = run.scenario.class[job.class].name.clone();
        let class = report.classes.entry(name.clone()).or_default();
        report.jobs += 1;
        class.sent += 1;
        let status = history.status();
        match status {
            Some(200) => class.served += 1,
            Some(429 | 503) => class.refused += 1,
            Some(_) => class.failed += 1,
            None => class.other += 1,
        }
        status.into_iter().for_each(|s| *class.statuses.entry(s).or_default() += 1);
        if !history
            .ends
            .iter()
            .any(|(_, s)| matches!(s, Observation::Left { .. } | Observation::Broken { .. }))
        {
            let answers =
                history.ends.iter().filter(|(_, s)| matches!(s, Observation::Answered { .. })).count();
            report.answers = [report.answers[0].min(answers), report.answers[1].max(answers)];
        }
        let ready = index.ready(job, history);
        if status == Some(200) {
            let from = if job.waits() { ready.unwrap_or(sent) } else { sent };
            let took = history.answered().unwrap_or(from) - from;
            latencies.entry(name).or_default().push(took.max(0.0));
        }
        if !job.waits() {
            report.fresh += 1;
            fresh_refused += usize::from(matches!(status, Some(429 | 503)));
            continue;
        }
        report.waiting.sent += 1;
        match status {
            Some(200) => report.waiting.served += 1,
            Some(424) => report.waiting.doomed += 1,
            Some(503) => report.waiting.refused += 1,
            _ => {}
        }
        if status == Some(424) {
            continue; // it never came ready by what its scheduler knew
        }
        // Refused before it came ready, it has not waited for the fleet.
        let began = history.got.first().map(|(at, ..)| *at).or(history.answered());
        if let (Some(ready), Some(began)) = (ready, began) {
            if began >= ready || !history.got.is_empty() {
                report.waiting.ready += 1;
                waits.push((began - ready).max(0.0));
            }
        }
    }
    if report.answers[0] == usize::MAX {
        report.answers[0] = 0;
    }
    report.fresh_refused = fresh_refused as f64 / (report.fresh.max(1)) as f64;
    for (name, values) in latencies {
        let class = report.classes.entry(name).or_default();
        (class.latency, class.curve) = spread(&values)?;
    }
    let ([median, _, p99, _], _) = spread(&waits)?;
    report.waiting.wait = [median, p99, waits.iter().copied().fold(0.0, f64::max)];
    series(run, &mut report);
    report.believed = believed(run);
    Ok(report)
}

/// Each member's view of each other, in stretches of time.
fn believed(run: &Run) -> Vec<Believed> {
    let (n, last) = (run.scenario.schedulers, run.entries.last().map_or(0.0, |e| e.at));
    let mut all = Vec::new();
    for by in 0..n {
        let views = run.entries.iter().filter_map(|e| match &e.seen {
            Observation::View { scheduler, states, minority } if *scheduler == by => {
                Some((e.at, states, *minority))
            }
            _ => None,
        });
        let views: Vec<_> = views.collect();
        for of in 0..n {
            let state = |(_, states, minority): &(f64, &String, bool)| match (by == of, minority) {
                (true, true) => 'm',
                (true, false) => 'a',
                _ => states.chars().nth(of).unwrap_or('-'),
            };
            for (nth, view) in views.iter().enumerate() {
                let to = views.get(nth + 1).map_or(last, |next| next.0);
                let stretch = Believed { by, of, from: view.0, to, state: state(view) };
                match all.last_mut() {
                    Some(Believed { by: b, of: o, to, state, .. })
                        if (*b, *o, *state) == (by, of, stretch.state) =>
                    {
                        *to = stretch.to;
                    }
                    _ => all.push(stretch),
                }
            }
        }
    }
    all
}

fn series(run: &Run, report: &mut Report) {
    let last = run.entries.last().map_or(0.0, |e| e.at);
    let steps = step(last) + 1;
    let workers = run.scenario.fleet.workers;
    let s = &mut report.series;
    s.answers = vec![[0.0; 3]; steps];
    (s.held, s.in_flight) = (vec![0.0; steps], vec![0.0; steps]);
    s.load = vec![vec![0.0; steps]; workers];
    let mut latest = vec![(0.0, 0.0); run.scenario.schedulers];
    // Slots in use times the time for which they were.
    let mut busy = vec![(0.0, 0u32); workers];
    let mut fill = |load: &mut Vec<Vec<f64>>, worker: usize, until: f64, slots: u32| {
        let (mut at, used) = busy[worker];
        while at < until {
            let end = ((step(at) + 1) as f64 * STEP).min(until);
            if let Some(cell) = load[worker].get_mut(step(at)) {
                *cell += f64::from(used) * (end - at) / STEP;
            }
            at = end;
        }
        busy[worker] = (until, slots);
    };
    let mut noted = 0;
    for e in &run.entries {
        let n = step(e.at);
        while noted < n {
            noted += 1;
            let sum = latest.iter().fold((0.0, 0.0), |a: (f64, f64), b| (a.0 + b.0, a.1 + b.1));
            (s.held[noted], s.in_flight[noted]) = sum;
        }
        match &e.seen {
            Observation::Answered { status: 200, .. } => s.answers[n][0] += 1.0,
            Observation::Answered { status: 429 | 503, .. } => s.answers[n][1] += 1.0,
            Observation::Answered { .. } => s.answers[n][2] += 1.0,
            Observation::Figures { scheduler, held, in_flight, resident_kib, .. } => {
                latest[*scheduler] = (*held as f64, *in_flight as f64);
                report.most_held = report.most_held.max(*held);
                report.most_resident_kib = report.most_resident_kib.max(*resident_kib);
            }
            Observation::Load { worker, slots, .. } => fill(&mut s.load, *worker, e.at, *slots),
            Observation::Died { worker } => fill(&mut s.load, *worker, e.at, 0),
            Observation::Fault { what } => report.faults.push((e.at, what.clone())),
            _ => {}
        }
    }
    (0..workers).for_each(|w| fill(&mut s.load, w, last, 0));
}

type Lines = Vec<(String, Points)>;

/// A plot of lines, as SVG.
fn lines(title: &str, x: &str, y: &str, lines: &Lines, marks: &[(f64, String)]) -> Result<String> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, (900, 300)).into_drawing_area();
        let all = || lines.iter().flat_map(|(_, points)| points);
        let most_x = all().map(|p| p.0).fold(0.0, f64::max).max(1e-3);
        let most_y = all().map(|p| p.1).fold(0.0, f64::max).max(1.0) * 1.05;
        let mut chart = ChartBuilder::on(&area)
            .caption(title, ("sans-serif", 18))
            .margin(8)
            .x_label_area_size(32)
            .y_label_area_size(52)
            .build_cartesian_2d(0.0..most_x, 0.0..most_y)?;
        chart.configure_mesh().x_desc(x).y_desc(y).light_line_style(WHITE).draw()?;
        for (at, _) in marks {
            chart.draw_series(LineSeries::new([(*at, 0.0), (*at, most_y)], BLACK.mix(0.3)))?;
        }
        for (n, (name, points)) in lines.iter().enumerate() {
            let color = Palette99::pick(n).to_rgba();
            let drawn = chart.draw_series(LineSeries::new(points.iter().copied(), color.stroke_width(2)))?;
            if lines.len() <= 12 {
                drawn.label(name).legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
            }
        }
        if lines.len() <= 12 {
            chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
        }
        area.present()?;
    }
    Ok(svg)
}

/// A strip for each member's view of each other over time, as SVG; the first letters of the states by colour.
fn strips(report: &Report) -> Result<String> {
    let n = report.believed.iter().map(|b| b.by.max(b.of) + 1).max().unwrap_or(0);
    let last = report.believed.iter().map(|b| b.to).fold(0.0, f64::max) / 1e3;
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, (900, 90 + 7 * (n * n) as u32)).into_drawing_area();
        let rows = (n * n) as f64;
        let mut chart = ChartBuilder::on(&area)
            .caption("views of members: green alive, yellow suspect, red gone, grey left, blue: knows it is the smaller side", ("sans-serif", 14))
            .margin(8)
            .x_label_area_size(32)
            .y_label_area_size(90)
            .build_cartesian_2d(0.0..last.max(1e-3), 0.0..rows)?;
        let row = |y: &f64| match (*y as usize / n.max(1), *y as usize % n.max(1)) {
            (by, 0) if by < n => format!("s{by} of all"),
            _ => String::new(),
        };
        chart.configure_mesh().x_desc("seconds").y_labels(n + 1).y_label_formatter(&row).draw()?;
        let color = |state: char| match state {
            'a' => RGBColor(130, 190, 130),
            's' => RGBColor(240, 200, 60),
            'g' => RGBColor(200, 60, 50),
            'l' => RGBColor(150, 150, 150),
            'm' => RGBColor(70, 110, 200),
            _ => WHITE,
        };
        chart.draw_series(report.believed.iter().map(|b| {
            let y = (b.by * n + b.of) as f64;
            Rectangle::new([(b.from / 1e3, y + 0.1), (b.to / 1e3, y + 0.9)], color(b.state).filled())
        }))?;
        for (at, _) in &report.faults {
            chart.draw_series(LineSeries::new([(at / 1e3, 0.0), (at / 1e3, rows)], BLACK.mix(0.6)))?;
        }
        area.present()?;
    }
    Ok(svg)
}

/// The plots of one or several runs, side by side in each.
fn plots(runs: &[(&str, &Report)]) -> Result<Vec<String>> {
    let time = |values: &mut dyn Iterator<Item = f64>| -> Points {
        values.enumerate().map(|(n, v)| (n as f64 * STEP / 1e3, v)).collect()
    };
    let label =
        |run: &str, what: &str| if run.is_empty() { what.to_string() } else { format!("{run}: {what}") };
    let (mut answers, mut held, mut curves, mut load) =
        (Lines::new(), Lines::new(), Lines::new(), Lines::new());
    let mut marks = Vec::new();
    for (name, r) in runs {
        for (n, what) in ["served", "refused", "failed"].iter().enumerate() {
            let mut rate = r.series.answers.iter().map(|a| a[n] * 1e3 / STEP);
            answers.push((label(name, what), time(&mut rate)));
        }
        held.push((label(name, "held"), time(&mut r.series.held.iter().copied())));
        held.push((label(name, "in flight"), time(&mut r.series.in_flight.iter().copied())));
        for (class, c) in &r.classes {
            let nines = |q: f64| -(1.0 - q.min(0.9999)).log10();
            curves.push((label(name, class), c.curve.iter().map(|(q, ms)| (nines(*q), *ms)).collect()));
        }
        for (n, slots) in r.series.load.iter().enumerate() {
            load.push((label(name, &format!("worker {n}")), time(&mut slots.iter().copied())));
        }
        marks.extend(r.faults.iter().map(|(at, what)| (at / 1e3, what.clone())));
    }
    let mut all = vec![
        lines("answers", "seconds", "a second", &answers, &marks)?,
        lines("jobs held and in flight", "seconds", "jobs", &held, &marks)?,
        lines("latency of served jobs by class", "nines (1: 90%, 2: 99%)", "ms", &curves, &[])?,
        lines("slots in use by worker", "seconds", "slots", &load, &marks)?,
    ];
    for (_, report) in runs.iter().filter(|(_, r)| !r.believed.is_empty()) {
        all.push(strips(report)?);
    }
    Ok(all)
}

/// Writes `report.json` and `report.html`.
///
/// # Errors
/// A file cannot be written.
pub fn write(report: &Report, out: &Path) -> Result<()> {
    std::fs::create_dir_all(out).with_context(|| format!("{}", out.display()))?;
    std::fs::write(out.join("report.json"), serde_json::to_vec_pretty(report)?)?;
    let page = render(&[("", report)])?;
    std::fs::write(out.join("report.html"), page)?;
    Ok(())
}

/// A page that shows several runs in the same plots and tables.
///
/// # Errors
/// The page cannot be made.
pub fn render(runs: &[(&str, &Report)]) -> Result<String> {
    let mut templates = minijinja::Environment::new();
    templates.add_template("report.html", include_str!("../templates/report.html"))?;
    let reports: Vec<_> = runs.iter().map(|(name, r)| minijinja::context! { name, r }).collect();
    let context = minijinja::context! { runs => reports, plots => plots(runs)? };
    Ok(templates.get_template("report.html")?.render(context)?)
}

/// Reads a report from the folder of a run.
///
/// # Errors
/// There is none, or it is of another version.
pub fn read(folder: &Path) -> Result<Report> {
    let path = folder.join("report.json");
    let text = std::fs::read(&path).with_context(|| format!("{}", path.display()))?;
    serde_json::from_slice(&text).with_context(|| format!("{}", path.display()))
}

impl Report {
    /// The figures in a few lines.
    pub fn lines(&self) -> Vec<String> {
        let mut all = vec![format!(
            "{} jobs in {:.0} s, each with {} to {} answers; seed {}",
            self.jobs, self.seconds, self.answers[0], self.answers[1], self.seed
        )];
        for (name, c) in &self.classes {
            let [p50, _, p99, _] = c.latency;
            all.push(format!(
                "{name:<14} sent {:>6}  served {:>6}  refused {:>5}  failed {:>5}  p50 {p50:>6.0} ms  p99 {p99:>6.0} ms",
                c.sent, c.served, c.refused, c.failed
            ));
        }
        let w = &self.waiting;
        let [median, p99, longest] = w.wait;
        if w.sent > 0 {
            all.push(format!(
                "waiting: {} jobs, {} doomed, {} refused; ready wait p50 {median:.0}, p99 {p99:.0}, longest {longest:.0} ms; at most {} held",
                w.sent, w.doomed, w.refused, self.most_held
            ));
        }
        all.push(format!(
            "refused of jobs that wait for nothing: {:.2}% of {}; memory at most {:.1} MiB",
            100.0 * self.fresh_refused,
            self.fresh,
            self.most_resident_kib as f64 / 1024.0
        ));
        match self.breaches.is_empty() {
            true => all.push("rules: all kept".into()),
            false => {
                for b in &self.breaches {
                    all.push(format!(
                        "RULE BROKEN {:?}, {} times: {}",
                        b.rule,
                        b.count,
                        b.examples.join("; ")
                    ));
                }
            }
        }
        all
    }
}
