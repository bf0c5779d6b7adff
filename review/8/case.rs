//! One zone loses its path to the targets, and desired states come in quick succession.

#[path = "../harness-2/standins.rs"]
#[allow(dead_code)]
mod standins;
#[path = "../harness-2/zone_cut.rs"]
mod zone_cut;

use std::time::Duration;

use zone_cut::Plan;

fn main() {
    let cut = Duration::from_secs(8);
    // 0: neither; "cut" or "storm": one of them alone, to compare.
    zone_cut::run(match std::env::var("TROUBLE").as_deref() {
        Ok("0") => Plan::default(),
        Ok("cut") => Plan { cut, ..Plan::default() },
        Ok("storm") => Plan { storms: true, ..Plan::default() },
        _ => Plan { cut, storms: true, ..Plan::default() },
    })
}
