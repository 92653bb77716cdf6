//! The table of figures, and plots over time, as plain text.

use bulrushlink_core::Span;

use crate::report::{Figures, Times, Work};
use crate::workload::Workload;

/// Columns of a plot.
const PLOT_COLUMNS: usize = 80;
const BARS: [char; 9] = [' ', '▁', '▂', '▃', '▄', '▅', '▆', '▇', '█'];
const NAME_WIDTH: usize = 30;

/// Returns the table of the figures, with a column for each policy.
pub(crate) fn table(list: &[Figures]) -> String {
    let mut text = row("", list, |f| f.policy.clone());
    let mut add = |line: String| text.push_str(&line);
    add(times_rows("completion s", list, |f| f.all.clone()));
    for (i, kind) in list[0].kinds.iter().enumerate() {
        let name = format!("{} ({})", kind.kind, kind.times.jobs);
        let of = |f: &Figures| f.kinds.get(i).map(|k| k.times.clone()).unwrap_or_default();
        add(row(&format!("{name} mean"), list, |f| format!("{:.0}", of(f).mean)));
        add(row(&format!("{name} p95"), list, |f| format!("{:.0}", of(f).p95)));
    }
    add(row("deadlines missed", list, |f| format!("{} of {}", f.missed, f.deadlines)));
    add(row("guaranteed beyond 8.3 s", list, |f| format!("{} of {}", f.late, f.guaranteed)));
    add(row("worst guaranteed start s", list, |f| format!("{:.1}", f.worst_start)));
    add(row("fragmentation", list, |f| format!("{:.3}", f.fragmentation)));
    add(row("stranded share of capacity", list, |f| format!("{:.3}", f.stranded)));
    add(row("longest wait, gang >= 16, s", list, |f| format!("{:.0}", f.gang_wait)));
    add(row("work/min before", list, |f| work(&f.before)));
    add(row("work/min domain out", list, |f| work(&f.out)));
    add(row("work/min after", list, |f| work(&f.after)));
    add(row("sound jobs not completed", list, |f| format!("{}", f.lost)));
    add(row("  of these refused", list, |f| format!("{}", f.refused)));
    add(row("work/min done again", list, |f| format!("{:.1}", f.wasted)));
    add(row("stops: reclaimed", list, |f| format!("{}", f.stops.reclaimed)));
    add(row("  moved for a larger block", list, |f| format!("{}", f.stops.moved)));
    add(row("  domain leaves", list, |f| format!("{}", f.stops.left)));
    add(row("  cancelled, gang broken", list, |f| format!("{}", f.stops.other)));
    text
}

fn row(name: &str, list: &[Figures], cell: impl Fn(&Figures) -> String) -> String {
    let cells: String = list.iter().map(|f| format!(" {:>20}", cell(f))).collect();
    format!("{name:<NAME_WIDTH$}{cells}\n")
}

fn times_rows(name: &str, list: &[Figures], of: impl Fn(&Figures) -> Times) -> String {
    let line = |part: &str, get: fn(&Times) -> f64| {
        row(&format!("{name} {part}"), list, |f| format!("{:.0}", get(&of(f))))
    };
    let mean = line("mean", |t| t.mean);
    let p50 = line("p50", |t| t.p50);
    let p95 = line("p95", |t| t.p95);
    let p99 = line("p99", |t| t.p99);
    mean + &p50 + &p95 + &p99
}

fn work(work: &Work) -> String {
    format!("{:.0} of {:.0} = {:.3}", work.done, work.possible, work.share)
}

/// Returns the core's figures that have targets, most as a ratio to the better baseline's.
pub(crate) fn targets(list: &[Figures]) -> String {
    let (core, others) = (&list[0], &list[1..]);
    let best = |get: &dyn Fn(&Figures) -> f64| others.iter().map(get).fold(f64::INFINITY, f64::min);
    let ratio = |get: &dyn Fn(&Figures) -> f64| get(core) / best(get).max(f64::MIN_POSITIVE);
    let mut text = format!("completion p95 ratio {:.2}\n", ratio(&|f| f.all.p95));
    text += &format!("fragmentation ratio {:.2}\n", ratio(&|f| f.fragmentation));
    text += &format!("stranded ratio {:.2}\n", ratio(&|f| f.stranded));
    text += &format!("work share while out {:.3}\n", core.out.share);
    for (i, kind) in core.kinds.iter().enumerate() {
        let of = |f: &Figures| f.kinds.get(i).map_or(0.0, |k| k.times.p95);
        text += &format!("{} p95 ratio {:.2}\n", kind.kind, ratio(&of));
    }
    text
}

/// Returns plots of the accelerators that did useful work and of those that jobs waited for.
pub(crate) fn over_time(workload: &Workload, list: &[Figures]) -> String {
    let (_, from, to) = workload.withdrawal;
    let minutes = (workload.arrivals_end.0 / Span::from_secs(60).0) as usize;
    let column = |at: u64| (at / Span::from_secs(60).0) as usize * PLOT_COLUMNS / minutes.max(1);
    let mark = |i: usize| if (column(from.0)..column(to.0)).contains(&i) { '#' } else { '.' };
    let marks: String = (0..PLOT_COLUMNS).map(mark).collect();
    let capacity = workload.workers.iter().map(|w| f64::from(w.accelerators)).sum::<f64>();
    let mut text = format!("{:<20} {marks}  # = domain out\n", format!("{minutes} minutes"));
    for figures in list {
        let useful: Vec<_> = figures.plot.iter().map(|(useful, _)| *useful).collect();
        let waiting: Vec<_> = figures.plot.iter().map(|(_, waiting)| *waiting).collect();
        text += &line(&format!("{} work", figures.policy), &useful, capacity);
        text += &line(&format!("{} waiting", figures.policy), &waiting, capacity * 2.0);
    }
    text
}

/// Returns a line of bars; a full bar means `most`.
fn line(name: &str, values: &[f64], most: f64) -> String {
    let mut bars = String::new();
    for i in 0..PLOT_COLUMNS {
        let from = i * values.len() / PLOT_COLUMNS;
        let to =
            ((i + 1) * values.len() / PLOT_COLUMNS).clamp(from + 1, values.len().max(from + 1));
        let part = values.get(from..to).unwrap_or_default();
        let mean = part.iter().sum::<f64>() / part.len().max(1) as f64;
        let level = (mean / most * 8.0).round().clamp(0.0, 8.0) as usize;
        bars.push(BARS[level]);
    }
    format!("{name:<20} {bars}  full = {most:.0}\n")
}
