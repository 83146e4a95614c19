//! Measures how the time of an import grows with the number of members. Run by hand, because measurements on
//! a busy machine are meaningless.

use postusher_import::files::InMemory;
use postusher_import::{apache, mod_jk, AjpMapping};
use std::time::Instant;

fn main() {
    let mut ajp = AjpMapping::default();
    ajp.ports.insert(8009, 8080);
    for member_count in [100usize, 1_000, 10_000] {
        let host = |index: usize| format!("10.{}.{}.{}", index >> 16, index >> 8 & 255, index & 255);
        let members: String = (0..member_count)
            .map(|index| format!("BalancerMember http://{}:80 route=r{index} loadfactor=2\n", host(index)))
            .collect();
        let apache_config = format!("<Proxy balancer://b>\n{members}</Proxy>\nProxyPass / balancer://b/\n");
        let names: Vec<String> = (0..member_count).map(|index| format!("w{index}")).collect();
        let workers: String = (0..member_count)
            .map(|index| format!("worker.w{index}.host={}\nworker.w{index}.lbfactor=2\n", host(index)))
            .collect();
        let balancer =
            format!("worker.list=lb\nworker.lb.type=lb\nworker.lb.balance_workers={}\n", names.join(","));
        let files =
            InMemory([("c".to_string(), apache_config), ("w".to_string(), balancer + &workers)].into());
        let started = Instant::now();
        let apache_bytes =
            apache::import(&["c".to_string()], &files, &ajp).map(|imported| imported.setup_xml().len());
        let apache_time = started.elapsed();
        let started = Instant::now();
        let mod_jk_bytes = mod_jk::import("w", None, &files, &ajp).map(|imported| imported.setup_xml().len());
        let mod_jk_time = started.elapsed();
        println!(
            "{member_count:>6} members: apache {apache_time:?} ({apache_bytes:?} bytes), \
             mod_jk {mod_jk_time:?} ({mod_jk_bytes:?} bytes)"
        );
    }
}
