//! Removals of running members under message loss: by the protocol, by variants of it with mechanisms
//! disabled, and by plain heartbeats.

use crate::fault_cases::lossy_links;
use crate::parallel::map_parallel;
use crate::{false_removals, ZONES};
use anyhow::Result;
use postusher_membership::Mechanisms;
use postusher_testbed::virtual_net::VirtualNetwork;
use rand::Rng;
use rand_chacha::rand_core::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::fmt::Write as _;

const MEMBERS: usize = 10;
/// Fractions of the datagrams that are lost.
const LOSS_RATES: [f64; 3] = [0.1, 0.3, 0.5];
const SEEDS: u64 = 20;
const FIRST_SEED: u64 = 2_000;
const SIMULATIONS_AT_ONCE: usize = 5;
/// The variants and the baseline run for the duration of the protocol itself divided by this number.
const VARIANT_TIME_DIVISOR: f64 = 10.0;
/// Number of consecutive missed heartbeats at which the baseline removes a member.
const MISSED_HEARTBEATS: u32 = 5;
const MILLIS_PER_HOUR: f64 = 3_600_000.0;
const SECONDS_PER_HOUR: f64 = 3_600.0;

/// Writes the table of false removals; the protocol itself runs for `hours` at each loss rate, over all
/// seeds.
pub fn write_section(page: &mut String, hours: f64) -> Result<()> {
    writeln!(
        page,
        "## False removals\n\nDelays of 150 to 450 ms, a tenth of the datagrams duplicated; 10 members, \
         20 seeds. The variants and the heartbeats ran for a tenth of the time.\n"
    )?;
    writeln!(
        page,
        "| loss | member-hours | protocol, full time | without quorum | without indirect pings | \
         without refutation | without quorum and refutation | all-to-all heartbeats |"
    )?;
    writeln!(page, "| --- | --- | --- | --- | --- | --- | --- | --- |")?;
    let full_protocol = Mechanisms::default();
    let variants = [
        Mechanisms { quorum: false, ..full_protocol },
        Mechanisms { indirect_pings: false, ..full_protocol },
        Mechanisms { refutation: false, ..full_protocol },
        Mechanisms { quorum: false, refutation: false, ..full_protocol },
    ];
    let seeds: Vec<u64> = (0..SEEDS).collect();
    let hours_per_seed = hours / SEEDS as f64;
    let variant_hours = hours_per_seed / VARIANT_TIME_DIVISOR;
    let heartbeats = (variant_hours * SECONDS_PER_HOUR) as u64;
    for loss in LOSS_RATES {
        let mut row = format!(" {} |", count_false_removals(&seeds, loss, hours_per_seed, full_protocol));
        for mechanisms in variants {
            write!(row, " {} |", count_false_removals(&seeds, loss, variant_hours, mechanisms))?;
        }
        let by_heartbeats = map_parallel(&seeds, |seed| heartbeat_false_removals(loss, heartbeats, *seed));
        write!(row, " {} |", by_heartbeats.into_iter().sum::<usize>())?;
        writeln!(page, "| {loss} | {} |{row}", MEMBERS as f64 * hours)?;
    }
    Ok(())
}

/// Returns the number of false removals over all seeds, each simulated for `hours`.
fn count_false_removals(seeds: &[u64], loss: f64, hours: f64, mechanisms: Mechanisms) -> usize {
    let mut total = 0;
    for seed_batch in seeds.chunks(SIMULATIONS_AT_ONCE) {
        let counts = map_parallel(seed_batch, |seed| {
            let mut network = VirtualNetwork::settled(MEMBERS, ZONES, FIRST_SEED + seed, mechanisms);
            network.set_link_conditions(lossy_links(loss));
            network.run_for(hours * MILLIS_PER_HOUR);
            false_removals(&network, &[]).count()
        });
        total += counts.into_iter().sum::<usize>();
    }
    total
}

/// Returns the number of false removals by plain heartbeats, the baseline: each member sends a heartbeat to
/// all others once per interval, and an observer removes a member after several consecutive missed
/// heartbeats. A removal counts once until the next heartbeat of the member arrives.
fn heartbeat_false_removals(loss: f64, intervals: u64, seed: u64) -> usize {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut missed = vec![0_u32; MEMBERS * MEMBERS];
    let mut removals = 0;
    for _ in 0..intervals {
        for observer in 0..MEMBERS {
            for subject in (0..MEMBERS).filter(|subject| *subject != observer) {
                let missed = &mut missed[observer * MEMBERS + subject];
                if rng.random::<f64>() < loss {
                    *missed += 1;
                } else {
                    *missed = 0;
                }
                if *missed == MISSED_HEARTBEATS {
                    removals += 1;
                }
            }
        }
    }
    removals
}
