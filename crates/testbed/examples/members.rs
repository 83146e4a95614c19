//! Measures membership in virtual time and writes a page with plots: `cargo run --release -p postusher-testbed --example members
//! -- OUT [hours]`. What it prints follows from the seeds alone.

use anyhow::{Context, Result};
use plotters::prelude::*;
use postusher_membership::{Mechanisms, MemberStatus};
use postusher_testbed::detectors::{self, Case, Way};
use postusher_testbed::schedulers::resident_kib;
use postusher_testbed::virtual_net::{LinkConditions, StatusChange, Traffic, VirtualNetwork};
use rand::Rng;
use rand_chacha::rand_core::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::fmt::Write as _;
use std::path::Path;
use std::thread;

const INTERVAL: f64 = 1_000.0;

fn gone_wrongly(network: &VirtualNetwork, right: &[usize]) -> usize {
    let wrong = |s: &&StatusChange| s.status == MemberStatus::Removed && !right.contains(&s.subject);
    network.status_changes.iter().filter(wrong).count()
}

/// Times to know of a crash, of each member that is left, in intervals, in order.
fn crash(n: usize, loss: f64, seeds: u64, mechanisms: Mechanisms) -> (Vec<f64>, usize, usize) {
    let (mut times, mut unknown, mut wrong) = (Vec::new(), 0, 0);
    for seed in 0..seeds {
        let mut network = VirtualNetwork::settled(n, 3, 1_000 + seed, mechanisms);
        network.set_link_conditions(LinkConditions { loss, ..LinkConditions::default() });
        let at = network.now();
        network.crash(n / 2);
        network.run_for(25_000.0);
        for by in (0..n).filter(|by| *by != n / 2) {
            let seen = network
                .status_changes
                .iter()
                .find(|s| s.observer == by && s.subject == n / 2 && s.status == MemberStatus::Removed);
            match seen {
                Some(seen) => times.push((seen.at - at) / INTERVAL),
                None => unknown += 1,
            }
        }
        wrong += gone_wrongly(&network, &[n / 2]);
    }
    times.sort_by(f64::total_cmp);
    (times, unknown, wrong)
}

/// The baseline: each tells all once an interval that it lives, and is gone for whoever has heard nothing for five. Wrong
/// removals of `n` members in these intervals, each counted once until it is heard again.
fn heartbeat(n: usize, loss: f64, intervals: u64, seed: u64) -> usize {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let (mut missed, mut wrong) = (vec![0u32; n * n], 0);
    for _ in 0..intervals {
        for pair in (0..n * n).filter(|pair| pair / n != pair % n) {
            missed[pair] = if rng.random::<f64>() < loss { missed[pair] + 1 } else { 0 };
            wrong += usize::from(missed[pair] == 5);
        }
    }
    wrong
}

fn part(sorted: &[f64], part: f64) -> f64 {
    let at = ((sorted.len() as f64 * part) as usize).min(sorted.len().saturating_sub(1));
    sorted.get(at).copied().unwrap_or(f64::NAN)
}

/// Runs these side by side, and gives what they gave in order.
fn each<T: Sync, U: Send>(all: &[T], work: impl Fn(&T) -> U + Sync) -> Vec<U> {
    let work = &work;
    thread::scope(|scope| {
        let threads: Vec<_> = all.iter().map(|one| scope.spawn(move || work(one))).collect();
        threads.into_iter().filter_map(|t| t.join().ok()).collect()
    })
}

fn plot(path: &Path, title: &str, x: &str, y: &str, lines: &[(String, Vec<(f64, f64)>)]) -> Result<()> {
    let points = || lines.iter().flat_map(|(_, points)| points).filter(|(_, y)| y.is_finite());
    let (most_x, most_y) = points().fold((1.0f64, 1.0f64), |(a, b), (x, y)| (a.max(*x), b.max(*y)));
    let area = SVGBackend::new(path, (720, 420)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(50)
        .build_cartesian_2d((1.0..most_x * 1.05).log_scale(), 0.0..most_y * 1.1)?;
    chart.configure_mesh().x_desc(x).y_desc(y).draw()?;
    for (i, (label, points)) in lines.iter().enumerate() {
        let style = Palette99::pick(i).stroke_width(2);
        let series = points.iter().copied().filter(|(_, y)| y.is_finite());
        chart
            .draw_series(LineSeries::new(series, style))?
            .label(label.as_str())
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 18, y)], style));
    }
    let mut labels = chart.configure_series_labels();
    labels.position(SeriesLabelPosition::UpperMiddle).background_style(WHITE.mix(0.8)).border_style(BLACK);
    labels.draw()?;
    area.present()?;
    Ok(())
}

/// Seconds until this holds, within a bound.
fn until(network: &mut VirtualNetwork, most: usize, holds: impl Fn(&VirtualNetwork) -> bool) -> String {
    for second in 1..=most {
        network.run_for(1_000.0);
        if holds(network) {
            return format!("{second} s");
        }
    }
    format!("not in {most} s")
}

/// The program's own way on a case of the other ways.
fn own(case: &Case, seed: u64, mechanisms: Mechanisms) -> detectors::Found {
    let mut network = VirtualNetwork::settled(case.members, 3, seed, mechanisms);
    network.set_link_conditions(case.links);
    case.cut.iter().for_each(|(from, to)| network.cut_link(*from, *to));
    case.killed.into_iter().for_each(|n| network.crash(n));
    let begun = network.now();
    if let Some((n, by)) = case.stopped {
        network.pause(n);
        network.run_for(by);
        network.resume(n);
    }
    network.run_for(begun + case.lasts - network.now());
    let (known, wrong) = network
        .status_changes
        .iter()
        .filter(|s| s.status == MemberStatus::Removed)
        .partition::<Vec<&StatusChange>, _>(|s| case.killed == Some(s.subject));
    detectors::Found {
        known: known.into_iter().map(|s| s.at - begun).collect(),
        wrong: wrong.into_iter().map(|s| (s.observer, s.subject)).collect(),
    }
}

/// What befalls a cluster of ten, in words; and of whom a removal is right.
type Befalls = (&'static str, Case, &'static [usize]);

fn cases() -> Vec<Befalls> {
    let calm = Case { members: 10, lasts: 60_000.0, ..Case::default() };
    let weather = |loss| LinkConditions { loss, duplication: 0.1, min_delay: 150.0, max_delay: 450.0 };
    let hours = |loss| Case { links: weather(loss), lasts: 1_800_000.0, ..calm.clone() };
    let stopped = |by| Case { stopped: Some((4, by)), ..calm.clone() };
    let cut = |pairs: &[(usize, usize)]| Case { cut: pairs.iter().copied().collect(), ..calm.clone() };
    let from: Vec<(usize, usize)> = (1..10).map(|n| (n, 0)).collect();
    let to: Vec<(usize, usize)> = (1..10).map(|n| (0, n)).collect();
    let ring: Vec<(usize, usize)> = (0..10).map(|n| (n, (n + 1) % 10)).collect();
    // A third of them, both ways.
    let apart =
        (0..10).flat_map(|a| (0..10).map(move |b| (a, b))).filter(|(a, b)| (a % 3 == 0) != (b % 3 == 0));
    let zone: Vec<(usize, usize)> = apart.collect();
    vec![
        ("a crash", Case { killed: Some(4), ..calm.clone() }, &[]),
        ("a crash, 30% loss, 300 ms", Case { killed: Some(4), links: weather(0.3), ..calm.clone() }, &[]),
        ("30 minutes at 10% loss, 300 ms", hours(0.1), &[]),
        ("30 minutes at 30% loss, 300 ms", hours(0.3), &[]),
        ("a pause of 4 intervals", stopped(4_000.0), &[]),
        ("a pause of 12 intervals", stopped(12_000.0), &[4]),
        ("A hears B, B not A", cut(&[(0, 1)]), &[]),
        ("each of a ring lacks the next", cut(&ring), &[]),
        ("one sends and does not hear", cut(&from), &[0]),
        ("one hears and does not send", cut(&to), &[0]),
        ("four of ten cut off both ways", cut(&zone), &[0, 3, 6, 9]),
    ]
}

/// Findings that are wrong, over all seeds.
fn wrong(found: &[detectors::Found], right: &[usize]) -> usize {
    found.iter().flat_map(|f| &f.wrong).filter(|(_, of)| !right.contains(of)).count()
}

/// The protocol with each of its mechanisms left out, on the same faults.
fn left_out(page: &mut String) -> Result<()> {
    let all = Mechanisms::default();
    let variants = [
        ("most observers", Mechanisms { quorum: false, ..all }),
        ("indirect pings", Mechanisms { indirect_pings: false, ..all }),
        ("refutation", Mechanisms { refutation: false, ..all }),
        ("higher incarnations", Mechanisms { raised_incarnation: false, ..all }),
        ("own pauses taken out", Mechanisms { pause_compensation: false, ..all }),
        ("the majority", Mechanisms { majority: false, ..all }),
    ];
    let names: Vec<&str> = variants.iter().map(|(name, _)| *name).collect();
    writeln!(
        page,
        "\n## Each device left out\n\nMembers wrongly found to be gone, on the same faults and seeds; with all devices: `this` above.\n"
    )?;
    writeln!(page, "| what | {} |\n| ---{} |", names.join(" | "), " | ---".repeat(names.len()))?;
    let seeds: Vec<u64> = (0..10).collect();
    for (what, case, right) in cases() {
        let counts = variants.map(|(_, mechanisms)| {
            let found = each(&seeds, |seed| own(&case, 5_000 + seed, mechanisms));
            wrong(&found, right).to_string()
        });
        writeln!(page, "| {what} | {} |", counts.join(" | "))?;
    }
    Ok(())
}

/// The program's way beside others', on the same faults.
fn ways(page: &mut String) -> Result<()> {
    writeln!(page, "\n## Beside other ways\n\nTen members, ten seeds, times of five intervals each; the models are `lab/src/detectors.rs`. \
        Known after so many intervals (p50, last; all know unless it says how many not); members wrongly found to be gone, over all finders and seeds.\n")?;
    writeln!(page, "| what | this | SWIM with suspicion | phi accrual |\n| --- | --- | --- | --- |")?;
    let seeds: Vec<u64> = (0..10).collect();
    for (what, case, right) in &cases() {
        let mut row = String::new();
        for way in [None, Some(Way::Swim), Some(Way::Phi)] {
            let found = each(&seeds, |seed| match way {
                None => own(case, 5_000 + seed, Mechanisms::default()),
                Some(way) => detectors::play(way, case, 5_000 + seed),
            });
            let wrong = wrong(&found, right);
            let mut known: Vec<f64> =
                found.iter().flat_map(|f| f.known.iter().map(|ms| ms / INTERVAL)).collect();
            known.sort_by(f64::total_cmp);
            if case.killed.is_some() {
                let unknown = (9 * seeds.len()).saturating_sub(known.len());
                let not = if unknown > 0 { format!(", {unknown} not") } else { String::new() };
                write!(row, " {:.1}, {:.1}{not}; {wrong} |", part(&known, 0.5), part(&known, 1.0))?;
            } else {
                write!(row, " {wrong} |")?;
            }
        }
        writeln!(page, "| {what} |{row}")?;
    }
    Ok(())
}

/// What a member takes in memory, by members: all of a cluster, over the members in it.
fn memory(page: &mut String) -> Result<()> {
    writeln!(
        page,
        "\n## Memory of a member\n\nWhat the process grows by for a cluster at rest, over its members.\n"
    )?;
    writeln!(page, "| members | KiB of one | bytes for each that it knows |\n| --- | --- | --- |")?;
    // Small ones many times over, as memory comes in pages; the clusters are kept, so that none uses another's.
    let mut kept = Vec::new();
    for (n, clusters) in [(10usize, 100usize), (100, 5), (300, 2), (1_000, 1)] {
        let resident = || resident_kib(std::process::id()).context("no VmRSS");
        let before = resident()?;
        kept.extend(
            (0..clusters as u64)
                .map(|seed| VirtualNetwork::settled(n, 3, 6_000 + seed, Mechanisms::default())),
        );
        let each = (resident()? - before) as f64 / (n * clusters) as f64;
        writeln!(page, "| {n} | {each:.0} | {:.0} |", 1024.0 * each / n as f64)?;
    }
    Ok(())
}

/// What 300 members make of events that befall most of them.
fn mass(page: &mut String) -> Result<()> {
    let whole =
        |network: &VirtualNetwork| network.all_agree() && (0..300).all(|n| !network.member(n).is_minority());
    let mut network = VirtualNetwork::new(300, 3, 13, Mechanisms::default());
    (0..30).for_each(|n| network.start(n));
    network.run_for(20_000.0);
    (30..300).for_each(|n| network.start(n));
    writeln!(page, "\n## 300 members\n\n| what | comes about |\n| --- | --- |")?;
    writeln!(
        page,
        "| 270 of 300 start in one millisecond | all agree after {} |",
        until(&mut network, 60, whole)
    )?;
    network.run_for(60_000.0);
    network.status_changes.clear();
    (0..210).for_each(|n| network.crash(n));
    network.run_for(60_000.0);
    let know = (210..300).filter(|n| network.member(*n).is_minority()).count();
    let removed = gone_wrongly(&network, &[]);
    writeln!(
        page,
        "| 210 killed at once | {know} of 90 know that they are the smaller side; removals {removed} |"
    )?;
    (0..210).for_each(|n| network.start(n));
    writeln!(page, "| they start again | all agree after {} |", until(&mut network, 120, whole))?;
    network.run_for(60_000.0);
    network.status_changes.clear();
    let (zone, rest): (Vec<usize>, Vec<usize>) = (0..300).partition(|n| n % 3 == 0);
    network.partition(&zone, &rest);
    network.run_for(60_000.0);
    let know = zone.iter().filter(|n| network.member(**n).is_minority()).count();
    let agree =
        rest.iter().filter(|n| network.alive_in_view_of(**n).into_iter().collect::<Vec<_>>() == rest).count();
    let wrong = gone_wrongly(&network, &zone);
    writeln!(page, "| a zone of 100 cut off both ways | {know} of 100 know it; {agree} of the other 200 believe in just those 200; the smaller side removes {wrong} |")?;
    network.heal_links();
    writeln!(page, "| the cut heals | all agree after {} |", until(&mut network, 200, whole))?;
    Ok(())
}

fn main() -> Result<()> {
    let mut args = std::env::args().skip(1);
    let out = args.next().context("where to write the page")?;
    let hours: f64 = args.next().map_or(Ok(2.0), |text| text.parse())?;
    let out = Path::new(&out);
    std::fs::create_dir_all(out)?;
    let mut page = String::from("# Membership, measured in virtual time\n\nTimes in probe intervals.\n\n");
    let mut last = String::new();
    memory(&mut last)?; // first, while nothing has been freed that it could use again

    writeln!(
        page,
        "## Time to know of a crash\n\n| members | loss | p50 | p99 | last | not known | removed wrongly |"
    )?;
    writeln!(page, "| --- | --- | --- | --- | --- | --- | --- |")?;
    let sizes = [3usize, 10, 30, 100, 300, 1_000];
    let losses = [0.0, 0.1, 0.3, 0.5];
    let cases: Vec<(usize, f64)> =
        sizes.iter().flat_map(|n| losses.iter().map(move |loss| (*n, *loss))).collect();
    // A thousand take a minute each.
    let cases: Vec<(usize, f64)> =
        cases.into_iter().filter(|(n, loss)| *n < 1_000 || *loss == 0.0 || *loss == 0.3).collect();
    let seeds = |n: usize| (60 / n as u64).clamp(1, 10);
    let results: Vec<_> = cases
        .chunks(6)
        .flat_map(|few| each(few, |(n, loss)| crash(*n, *loss, seeds(*n), Mechanisms::default())))
        .collect();
    let mut lines: Vec<(String, Vec<(f64, f64)>)> =
        losses.iter().map(|loss| (format!("loss {loss}, p99"), Vec::new())).collect();
    for ((n, loss), (times, unknown, wrong)) in cases.iter().zip(&results) {
        let (p50, p99, last) = (part(times, 0.5), part(times, 0.99), part(times, 1.0));
        writeln!(page, "| {n} | {loss} | {p50:.1} | {p99:.1} | {last:.1} | {unknown} | {wrong} |")?;
        let nth = losses.iter().position(|l| l == loss).unwrap_or(0);
        lines[nth].1.push((*n as f64, p99));
    }
    plot(&out.join("crash.svg"), "Time to know of a crash, p99", "members", "probe intervals", &lines)?;
    writeln!(page, "\n![Time to know of a crash](crash.svg)\n")?;

    writeln!(page, "## Removed wrongly\n\nDelays of 150 to 450 ms, a tenth doubled; 10 members, 20 seeds. Of the others a tenth of that time.\n")?;
    writeln!(page, "| loss | member-hours | protocol, whole time | without most observers | without indirect pings | without refutation | one accuser, no refutation | heartbeats of each to all |")?;
    writeln!(page, "| --- | --- | --- | --- | --- | --- | --- | --- |")?;
    let all = Mechanisms::default();
    let variants = [
        all,
        Mechanisms { quorum: false, ..all },
        Mechanisms { indirect_pings: false, ..all },
        Mechanisms { refutation: false, ..all },
        Mechanisms { quorum: false, refutation: false, ..all },
    ];
    let seeds: Vec<u64> = (0..20).collect();
    for loss in [0.1, 0.3, 0.5] {
        let mut row = String::new();
        for (n, mechanisms) in variants.iter().enumerate() {
            let lasts = hours / seeds.len() as f64 / if n == 0 { 1.0 } else { 10.0 };
            let mut wrong = 0;
            for few in seeds.chunks(5) {
                wrong += each(few, |seed| {
                    let mut network = VirtualNetwork::settled(10, 3, 2_000 + seed, *mechanisms);
                    network.set_link_conditions(LinkConditions {
                        loss,
                        duplication: 0.1,
                        min_delay: 150.0,
                        max_delay: 450.0,
                    });
                    network.run_for(lasts * 3_600_000.0);
                    gone_wrongly(&network, &[])
                })
                .into_iter()
                .sum::<usize>();
            }
            write!(row, " {wrong} |")?;
        }
        let beats = each(&seeds, |seed| heartbeat(10, loss, (hours / 20.0 / 10.0 * 3_600.0) as u64, *seed));
        write!(row, " {} |", beats.into_iter().sum::<usize>())?;
        writeln!(page, "| {loss} | {} |{row}", 10.0 * hours)?;
    }

    writeln!(page, "\n## Pauses\n\nOne of 10 members stopped; seeds in which it was removed, of 20, and others that were.\n")?;
    writeln!(page, "| pause, intervals | removed | others removed |\n| --- | --- | --- |")?;
    let pauses = [0.5, 2.0, 4.0, 5.0, 6.0, 7.0, 8.0, 10.0, 30.0];
    let paused = each(&pauses, |pause| {
        let (mut removed, mut others) = (0, 0);
        for seed in 0..20 {
            let mut network = VirtualNetwork::settled(10, 3, 3_000 + seed, all);
            network.pause(4);
            network.run_for(pause * INTERVAL);
            network.resume(4);
            network.run_for(20_000.0);
            removed += usize::from(
                network.status_changes.iter().any(|s| s.subject == 4 && s.status == MemberStatus::Removed),
            );
            others += gone_wrongly(&network, &[4]);
        }
        (removed, others)
    });
    for (pause, (removed, others)) in pauses.iter().zip(paused) {
        writeln!(page, "| {pause} | {removed} | {others} |")?;
    }

    writeln!(page, "\n## Cost of a member at rest\n\n| members | datagrams a second | bytes a second | heartbeats of each to all, datagrams a second |")?;
    writeln!(page, "| --- | --- | --- | --- |")?;
    let cost = each(&sizes, |n| {
        let mut network = VirtualNetwork::settled(*n, 3, 4_000, all);
        network.run_for(100_000.0);
        let before: Vec<_> = (0..*n).map(|i| network.traffic(i)).collect();
        network.run_for(30_000.0);
        let sum = |f: fn(Traffic) -> u64| (0..*n).map(|i| f(network.traffic(i)) - f(before[i])).sum::<u64>();
        let per = |x: u64| x as f64 / *n as f64 / 30.0;
        (per(sum(|s| s.datagrams)), per(sum(|s| s.bytes)))
    });
    let mut line = Vec::new();
    for (n, (datagrams, bytes)) in sizes.iter().zip(cost) {
        writeln!(page, "| {n} | {datagrams:.1} | {bytes:.0} | {} |", n - 1)?;
        line.push((*n as f64, bytes));
    }
    plot(
        &out.join("cost.svg"),
        "Bytes a second of a member at rest",
        "members",
        "bytes a second",
        &[("bytes".into(), line)],
    )?;
    writeln!(page, "\n![Cost](cost.svg)")?;
    mass(&mut page)?;
    ways(&mut page)?;
    left_out(&mut page)?;
    page += &last;
    std::fs::write(out.join("members.md"), &page)?;
    println!("{page}");
    Ok(())
}
