//! Prints how much resident memory 100,000 held jobs take, their bodies left out (Linux).

use postusher_deferred_jobs::*;

fn resident_kib() -> Option<u64> {
    let text = std::fs::read_to_string("/proc/self/status").ok()?;
    text.lines().find_map(|l| l.strip_prefix("VmRSS:"))?.trim().trim_end_matches(" kB").parse().ok()
}

fn main() {
    let n = std::env::args().nth(1).and_then(|n| n.parse().ok()).unwrap_or(100_000u32);
    let before = resident_kib();
    let mut room = Room::new(Limits { jobs: usize::MAX, per_client: usize::MAX, ..Limits::default() });
    for id in 0..n {
        let own = format!("{:032x}", u64::from(id) << 20);
        room.opened(&own);
        let wish = Wish { after: vec![After::served(&own), After::any("hub")], start: Some(f64::from(id)) };
        let name = format!("{:032x}", (u64::from(id) << 20) + 1);
        room.hold(Newcomer::new(JobId(id), &name, 1e9, wish), 0.0).expect("the room is without bounds");
    }
    let (Some(before), Some(after)) = (before, resident_kib()) else {
        return println!("resident memory cannot be read here");
    };
    let held = room.count(0.0).held;
    let (mib, each) = ((after - before) as f64 / 1024.0, (after - before) as f64 * 1024.0 / f64::from(n));
    println!("{held} jobs held, each waiting for two names and a time: {mib:.1} MiB, {each:.0} bytes each");
}
