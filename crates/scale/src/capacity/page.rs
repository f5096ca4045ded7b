//! The text of the page.

use super::{Model, Peak, Recorded};
use crate::bounds::{Demand, ENDED, JOBS_A_DAY, LINES, Line, NOT_MEASURED, TARGET, TASKS_OF_A_JOB};
use crate::slopes::{MEASURES, Slopes};
use std::collections::BTreeMap;
use std::fmt::Write;

/// A difference between prediction and measurement above this is marked.
const MARKED: f64 = 0.25;

fn short(value: f64) -> String {
    match value.abs() {
        v if v >= 100.0 => format!("{value:.0}"),
        v if v >= 1.0 => format!("{value:.1}"),
        _ => format!("{value:.3}"),
    }
}

/// The page.
pub fn page(slopes: &Slopes, runs: &BTreeMap<String, Recorded>) -> String {
    let mut page = String::new();
    // Writing into a string can't fail.
    let _ = write_page(&mut page, slopes, runs);
    page
}

type Runs = BTreeMap<String, Recorded>;

fn write_page(page: &mut String, slopes: &Slopes, runs: &Runs) -> std::fmt::Result {
    let model = Model::new(slopes);
    writeln!(page, "# Capacity\n")?;
    writeln!(
        page,
        "Written by `hookworks-scale capacity` from `docs/capacity/slopes.json` and\n\
         `docs/capacity/runs.json`; not to be edited. Measured by `hookworks-scale` with three\n\
         controllers on loopback ({}).\n",
        slopes.machine
    )?;
    write_ends(page, &model, slopes, runs)?;
    write_roles(page, &model)?;
    write_runs(page, &model, runs)?;
    write_slopes(page, slopes)?;
    writeln!(page, "## Not measured\n")?;
    for what in NOT_MEASURED {
        writeln!(page, "- {what}")?;
    }
    Ok(())
}

/// A bound, and at how many machines it is reached.
struct Reached {
    machines: f64,
    measure: String,
    bound: String,
    mechanism: &'static str,
}

impl Reached {
    /// None if the line has no bound or never rises to it.
    fn of(model: &Model, line: &Line, (when, times): (&str, f64)) -> Option<Reached> {
        let (bound, origin) = line.bound?;
        Some(Reached {
            machines: model.ends_at(line.measure, bound / times)?,
            measure: format!("{}{when}", line.measure),
            bound: format!("{} ({origin})", short(bound)),
            mechanism: line.mechanism,
        })
    }

    /// Every bound that is reached, with none, one and two controllers ended,
    /// from the fewest machines.
    fn all(model: &Model) -> Vec<Reached> {
        let cases = |line: &'static Line| {
            let cases = ENDED.into_iter();
            let cases = cases.filter(|(_, times)| line.is_shared || *times == 1.0);
            cases.filter_map(|case| Reached::of(model, line, case))
        };
        let mut all: Vec<Reached> = LINES.iter().flat_map(cases).collect();
        all.sort_by(|a, b| a.machines.total_cmp(&b.machines));
        all
    }

    fn machines_text(&self) -> String {
        match self.machines {
            m if m <= 0.0 => "always".into(),
            m if m > 10.0 * TARGET.workers => "beyond 45,000".into(),
            m => format!("{:.0}", (m / 10.0).round() * 10.0),
        }
    }
}

fn write_ends(page: &mut String, model: &Model, slopes: &Slopes, runs: &Runs) -> std::fmt::Result {
    writeln!(page, "## What ends first\n")?;
    writeln!(
        page,
        "Each bound with the number of machines at which the lines reach it, in the peak\n\
         second, starts in proportion to machines ({} at {}). With one of three controllers\n\
         ended the others hold half as many workers again, with two ended the third holds\n\
         three times as many; both worked out from the lines, not measured:\n",
        TARGET.starts, TARGET.workers
    )?;
    writeln!(page, "| machines | what ends | bound | mechanism |")?;
    writeln!(page, "| ---: | --- | --- | --- |")?;
    for reached in Reached::all(model) {
        let machines = reached.machines_text();
        let (measure, bound, how) = (reached.measure, reached.bound, reached.mechanism);
        writeln!(page, "| {machines} | {measure} | {bound} | {how} |")?;
    }
    write_seen(page, slopes, runs)
}

/// What held and what broke in runs.
fn write_seen(page: &mut String, slopes: &Slopes, runs: &Runs) -> std::fmt::Result {
    writeln!(page, "\nSeen in runs of several sizes:\n")?;
    for series in slopes.series.values() {
        let held = series.largest_that_held.map_or("none".into(), short);
        let first = series.broke_first.as_deref().unwrap_or("nothing broke");
        writeln!(
            page,
            "- {:?}: the largest size that held is {held}; {first}",
            series.axis
        )?;
    }
    for run in runs.values() {
        if let Some(broke) = &run.size.broke {
            writeln!(
                page,
                "- run \"{}\" ({} workers): {broke}",
                run.name, run.workers
            )?;
        }
    }
    writeln!(page)
}

fn write_roles(page: &mut String, model: &Model) -> std::fmt::Result {
    let demands = Demand::all();
    writeln!(page, "## By role\n")?;
    for d in &demands {
        writeln!(
            page,
            "- {}: {:.0} workers, {:.0} starts a second, {:.0} teams, {:.0} zones",
            d.name, d.workers, d.starts, d.teams, d.zones
        )?;
    }
    writeln!(
        page,
        "\nAn ordinary second is {JOBS_A_DAY:.0} jobs a day of {TASKS_OF_A_JOB:.0} tasks. The last but one column\n\
         is the peak of the target over the bound.\n"
    )?;
    write!(page, "| role | measure |")?;
    for d in &demands {
        write!(page, " {} |", d.name)?;
    }
    writeln!(page, " bound | of the bound | carried by |")?;
    writeln!(
        page,
        "| --- | --- | ---: | ---: | ---: | ---: | ---: | ---: | --- |"
    )?;
    for line in &LINES {
        write!(page, "| {} | {} |", line.role, line.measure)?;
        for d in &demands {
            let value = model.at(line.measure, d);
            write!(page, " {} |", value.map_or("not measured".into(), short))?;
        }
        let peak = model.at(line.measure, &TARGET);
        let bound = line.bound.map(|b| b.0);
        let over = peak.zip(bound).map(|(v, b)| format!("{:.2}", v / b));
        let bound = bound.map_or("none".into(), short);
        writeln!(
            page,
            " {bound} | {} | {} |",
            over.unwrap_or_default(),
            line.mechanism
        )?;
    }
    writeln!(page)
}

fn write_runs(page: &mut String, model: &Model, runs: &Runs) -> std::fmt::Result {
    writeln!(page, "## Runs beside their predictions\n")?;
    writeln!(
        page,
        "A difference over 25% is marked. Known causes: changes at the state service go with\n\
         jobs, and the series had jobs of 20 tasks where runs have other sizes; a take-over\n\
         loads the new leader; how many workers report to the leader itself differs by run, and\n\
         with it what comes by way of the others; worker bytes grow with tasks on machines.\n\
         Runs kept before the first thread was named have no figure for the main loop.\n\
         Threads and connections beside predictions stand at the end of a run, when controllers\n\
         that were ended are back; the table above them has the most of each controller.\n"
    )?;
    if runs.is_empty() {
        return writeln!(page, "None recorded.\n");
    }
    for run in runs.values() {
        write_run(page, model, run)?;
    }
    Ok(())
}

fn write_run(page: &mut String, model: &Model, run: &Recorded) -> std::fmt::Result {
    let s = &run.size;
    writeln!(page, "### {}\n", run.name)?;
    writeln!(
        page,
        "{} workers, {} teams, {} zones in {} regions, {} starts a second arriving, tasks of {} s,\n\
         {:.0} s measured, load average {:.1} to {:.1}.\n",
        run.workers,
        run.teams,
        run.zones,
        run.regions,
        run.starts,
        run.run_s,
        run.measured_s,
        s.load_average[0],
        s.load_average[1]
    )?;
    write_version(page, run.version.as_deref())?;
    let rules = match run.rules_broken.is_empty() {
        true => "all rules held".to_string(),
        false => format!("broken: {}", run.rules_broken.join(", ")),
    };
    writeln!(
        page,
        "Judged: {rules}. {:.1} starts a second; {:.0} tasks running; urgent within 2.2 s {:.3}, 99% {};\n\
         submissions within 200 ms {:.3}, 99% {:.2} s; refusals {}; tasks lost {}; leases ended {}.\n",
        s.starts_per_s,
        s.running_mean,
        s.urgent_in_time,
        run.urgent_p99_s
            .map_or("never".into(), |v| format!("{v:.2} s")),
        s.submissions_in_time,
        run.submissions_p99_s,
        s.refusals,
        run.lost_tasks,
        run.lease_ends
    )?;
    write_refusals(page, &run.refusals_by_reason)?;
    for fault in run.faults.iter().take(6) {
        writeln!(page, "- {fault}")?;
    }
    if run.faults.len() > 6 {
        writeln!(page, "- and {} more", run.faults.len() - 6)?;
    }
    if !run.faults.is_empty() {
        writeln!(page)?;
    }
    write_peaks(page, &run.peaks)?;
    writeln!(page, "| measure | predicted | measured | difference |")?;
    writeln!(page, "| --- | ---: | ---: | ---: |")?;
    let d = Demand {
        name: "",
        workers: run.workers as f64,
        // What was asked of it, not what came of it.
        starts: run.starts,
        teams: run.teams as f64,
        zones: run.zones as f64,
    };
    for m in &MEASURES {
        let (Some(seen), Some(said)) = (s.values.get(m.name), model.at(m.name, &d)) else {
            continue;
        };
        let off = if said > 0.0 {
            (seen - said) / said
        } else {
            0.0
        };
        let mark = if off.abs() > MARKED { " (!)" } else { "" };
        let (said, seen, off) = (short(said), short(*seen), off * 100.0);
        writeln!(page, "| {} | {said} | {seen} | {off:+.0}%{mark} |", m.name)?;
    }
    writeln!(page)
}

fn write_version(page: &mut String, version: Option<&str>) -> std::fmt::Result {
    let version = version.unwrap_or("one before versions were noted here");
    writeln!(page, "Controllers' version: {version}.\n")
}

fn write_refusals(page: &mut String, refusals: &BTreeMap<String, u64>) -> std::fmt::Result {
    if refusals.is_empty() {
        return Ok(());
    }
    let each = refusals.iter().map(|(why, count)| format!("{why} {count}"));
    let each: Vec<String> = each.collect();
    writeln!(page, "Refusals by reason: {}.\n", each.join(", "))
}

fn write_peaks(page: &mut String, peaks: &[Peak]) -> std::fmt::Result {
    if peaks.is_empty() {
        return Ok(());
    }
    writeln!(
        page,
        "| at the most | threads | descriptors | memory MB | cores of a second |"
    )?;
    writeln!(page, "| --- | ---: | ---: | ---: | ---: |")?;
    for peak in peaks {
        let (memory, cores) = (short(peak.memory_mb), short(peak.cores));
        writeln!(
            page,
            "| {} | {} | {} | {memory} | {cores} |",
            peak.label, peak.threads, peak.descriptors
        )?;
    }
    writeln!(page)
}

fn write_slopes(page: &mut String, slopes: &Slopes) -> std::fmt::Result {
    writeln!(page, "## Slopes\n")?;
    for series in slopes.series.values() {
        let sizes = series.sizes.iter().map(|s| short(s.asked));
        writeln!(
            page,
            "Along {:?} ({}); the others at {} workers, {} starts a second, {} teams, {} zones:\n",
            series.axis,
            sizes.collect::<Vec<_>>().join(", "),
            series.workers,
            series.starts,
            series.teams,
            series.zones
        )?;
        write_version(page, series.version.as_deref())?;
        writeln!(
            page,
            "| measure | at zero | for each 1,000 | residual | slopes between sizes, for each 1,000 | linear |"
        )?;
        writeln!(page, "| --- | ---: | ---: | ---: | ---: | --- |")?;
        for (name, fit) in &series.fits {
            let linear = if fit.linear { "yes" } else { "no" };
            let (low, high) = fit.slope_range;
            writeln!(
                page,
                "| {name} | {} | {} | {} | {} to {} | {linear} |",
                short(fit.at_zero),
                short(fit.slope * 1e3),
                short(fit.residual),
                short(low * 1e3),
                short(high * 1e3)
            )?;
        }
        writeln!(page)?;
    }
    Ok(())
}
