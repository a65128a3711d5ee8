//! `scale`: each role at parts of the whole size, a slope with its error, and the fraction of the size at which each budget
//! breaks. Each part at each size is measured in a process of its own, one after the other, bounded in time.

mod configuration;
mod figure;
mod fit;
mod fixture;
mod hollow;
mod leases;
mod parts;
mod revisions;
mod size;
mod tally;

use std::collections::BTreeMap;
use std::io::Read;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use clap::ValueEnum;
use serde::Serialize;

use self::figure::{Basis, Figure, Part, Value};
use self::size::Size;
use crate::Error;

/// A part at one size has so long; past it that size and larger ones are not measured.
const MOST: Duration = Duration::from_secs(60);

/// How the table is printed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Format {
    /// For a person.
    Text,
    /// One JSON object.
    Json,
}

/// What is to be measured.
#[derive(Debug, clap::Args)]
pub struct Arguments {
    /// The `chalkyard` program, for real processes.
    #[arg(long, default_value = "target/release/chalkyard")]
    router: PathBuf,
    /// This part alone; may be given again. All, if not given.
    #[arg(long, value_enum)]
    part: Vec<Part>,
    /// Parts of the whole size, over 0 up to 1; by default 0.1, 0.25, 0.5 and 1, and for leases 0.01, 0.025, 0.05, 0.1.
    #[arg(long, num_args = 1.., value_parser = fraction)]
    fraction: Vec<f64>,
    /// Seed; each further measurement of a point takes the next.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Measurements of each point.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=20))]
    repeats: u64,
    /// How to print it.
    #[arg(long, value_enum, default_value_t = Format::Text)]
    format: Format,
}

/// One part at one size, in this process: prints its figures as JSON.
#[derive(Debug, clap::Args)]
pub struct OneArguments {
    #[arg(long, value_enum)]
    part: Part,
    #[arg(long, value_parser = fraction)]
    fraction: f64,
    #[arg(long)]
    seed: u64,
    #[arg(long)]
    router: PathBuf,
}

fn fraction(text: &str) -> Result<f64, String> {
    let value: Option<f64> = text.parse().ok();
    value.filter(|f| *f > 0.0 && *f <= 1.0).ok_or_else(|| "must be a number over 0 up to 1".into())
}

/// Measures one part in this process.
pub fn one(arguments: &OneArguments) -> Result<(), Error> {
    let size = Size::at(arguments.fraction);
    let values = parts::measure(arguments.part, &size, arguments.seed, &arguments.router)?;
    println!("{}", serde_json::to_string(&values)?);
    Ok(())
}

/// A figure at one size: all measurements of it.
#[derive(Debug, Clone, Serialize)]
struct Point {
    fraction: f64,
    values: Vec<f64>,
}

impl Point {
    fn median(&self) -> f64 {
        let mut sorted = self.values.clone();
        sorted.sort_by(f64::total_cmp);
        sorted.get(sorted.len() / 2).copied().unwrap_or_default()
    }
}

/// A line of the table.
#[derive(Debug, Serialize)]
struct Row {
    part: Part,
    figure: Figure,
    basis: Basis,
    unit: &'static str,
    points: Vec<Point>,
    at_whole: f64,
    measured_at_whole: bool,
    slope: Option<f64>,
    slope_error: Option<f64>,
    grows_with_power: Option<f64>,
    budget: Option<f64>,
    breaks_at: Option<f64>,
}

impl Row {
    fn new(figure: Figure, points: Vec<Point>) -> Option<Self> {
        let medians: Vec<(f64, f64)> = points.iter().map(|p| (p.fraction, p.median())).collect();
        let (at_whole, measured_at_whole) = fit::at_whole(&medians)?;
        let line = fit::line(&medians);
        Some(Self {
            part: figure.part(),
            figure,
            basis: figure.basis(),
            unit: figure.unit(),
            at_whole,
            measured_at_whole,
            slope: line.map(|l| l.slope),
            slope_error: line.and_then(|l| l.error),
            grows_with_power: fit::exponent(&medians),
            budget: figure.budget(),
            breaks_at: figure.budget().and_then(|budget| fit::breaks_at(&medians, budget)),
            points,
        })
    }

    fn text(&self) -> String {
        let number = |value: f64| match value.abs() {
            v if v >= 1_000.0 => format!("{value:.0}"),
            v if v >= 1.0 => format!("{value:.2}"),
            _ => format!("{value:.4}"),
        };
        let points: Vec<String> =
            self.points.iter().map(|p| format!("{}: {}", p.fraction, number(p.median()))).collect();
        let spread = self.points.last().filter(|p| p.values.len() > 1).map(|p| {
            let fold = |of: fn(f64, f64) -> f64, from| p.values.iter().copied().fold(from, of);
            format!(" ({} to {})", number(fold(f64::min, f64::MAX)), number(fold(f64::max, f64::MIN)))
        });
        let basis = match (self.basis, self.measured_at_whole) {
            (Basis::Measured, true) => "measured",
            (Basis::Measured, false) => "extrapolated",
            (Basis::Sum, _) => "sum",
            (Basis::NotBuilt, _) => "sum, not built",
        };
        let mut line = format!(
            "  {}: {} {} at 1.0, {basis}{}; {}",
            self.figure.text(),
            number(self.at_whole),
            self.unit,
            spread.unwrap_or_default(),
            points.join(", ")
        );
        if let Some(slope) = self.slope {
            let error = self.slope_error.map_or(String::new(), |e| format!(" +- {}", number(e)));
            line.push_str(&format!("; slope {}{error}", number(slope)));
        }
        if let Some(power) = self.grows_with_power {
            line.push_str(&format!("; power {power:.2}"));
        }
        if let Some(budget) = self.budget {
            let breaks = match self.breaks_at {
                Some(at) if at < 1.0 => format!("BREAKS at {at:.4}"),
                Some(at) => format!("holds, breaks at {at:.2}"),
                None => "holds at any size".into(),
            };
            line.push_str(&format!("; budget {}: {breaks}", number(budget)));
        }
        line
    }
}

/// What is measured of a part at a size, by a process of its own; none: it took too long.
fn measured(
    arguments: &Arguments,
    part: Part,
    fraction: f64,
    seed: u64,
) -> Result<Option<Vec<Value>>, Error> {
    let name = part.to_possible_value().map(|v| v.get_name().to_owned()).unwrap_or_default();
    let mut command = Command::new(std::env::current_exe()?);
    command.args(["scale-one", "--part", &name]);
    command.args(["--fraction", &fraction.to_string(), "--seed", &seed.to_string()]);
    command.arg("--router").arg(&arguments.router);
    let mut child = command.stdin(Stdio::null()).stdout(Stdio::piped()).spawn()?;
    let start = Instant::now();
    let status = loop {
        match child.try_wait()? {
            Some(status) => break status,
            None if start.elapsed() > MOST => {
                child.kill()?;
                child.wait()?;
                return Ok(None);
            }
            None => std::thread::sleep(Duration::from_millis(5)),
        }
    };
    let mut text = String::new();
    if let Some(out) = &mut child.stdout {
        out.read_to_string(&mut text)?;
    }
    if !status.success() {
        return Err(format!("part {name} at {fraction}: {status}").into());
    }
    Ok(Some(serde_json::from_str(&text)?))
}

fn check(program: &Path, parts: &[Part]) -> Result<(), Error> {
    if parts.contains(&Part::Restart) && !program.exists() {
        return Err(
            format!("{}: no such program; build it, or name it with --router", program.display()).into()
        );
    }
    Ok(())
}

/// Measures and prints the table.
pub fn run(arguments: &Arguments) -> Result<(), Error> {
    let parts = match arguments.part.as_slice() {
        [] => Part::value_variants().to_vec(),
        some => some.to_vec(),
    };
    check(&arguments.router, &parts)?;
    let mut points: BTreeMap<Figure, Vec<Point>> = BTreeMap::new();
    let mut late = Vec::new();
    for part in parts {
        let given = arguments.fraction.clone();
        let mut fractions = if given.is_empty() { part.fractions() } else { given };
        fractions.sort_by(f64::total_cmp);
        'sizes: for fraction in &fractions {
            for repeat in 0..arguments.repeats {
                let Some(values) = measured(arguments, part, *fraction, arguments.seed + repeat)? else {
                    late.push((part, *fraction));
                    break 'sizes;
                };
                for Value { figure, value } in values {
                    let of_figure = points.entry(figure).or_default();
                    match of_figure.last_mut().filter(|p| p.fraction == *fraction) {
                        Some(point) => point.values.push(value),
                        None => of_figure.push(Point { fraction: *fraction, values: vec![value] }),
                    }
                }
            }
        }
    }
    let rows: Vec<Row> = points.into_iter().filter_map(|(figure, points)| Row::new(figure, points)).collect();
    print(&rows, &late, arguments.format)
}

fn print(rows: &[Row], late: &[(Part, f64)], format: Format) -> Result<(), Error> {
    if format == Format::Json {
        println!("{}", serde_json::json!({ "rows": rows, "not_measured": late }));
        return Ok(());
    }
    let mut part = None;
    for row in rows {
        if part != Some(row.part) {
            part = Some(row.part);
            println!("{:?}", row.part);
        }
        println!("{}", row.text());
    }
    for (part, fraction) in late {
        println!("{part:?} from {fraction} on: not measured, over {} s", MOST.as_secs());
    }
    let mut broken: Vec<&Row> = rows.iter().filter(|r| r.breaks_at.is_some_and(|at| at < 1.0)).collect();
    broken.sort_by(|a, b| a.breaks_at.unwrap_or(1.0).total_cmp(&b.breaks_at.unwrap_or(1.0)));
    println!("breaks first:");
    for row in broken {
        println!("  {:.4} {:?}: {}", row.breaks_at.unwrap_or(1.0), row.part, row.figure.text());
    }
    Ok(())
}

#[cfg(test)]
#[path = "growth_test.rs"]
mod growth_test;
