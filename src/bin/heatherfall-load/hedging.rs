//! `heatherfall-load hedging`.

use std::process::ExitCode;
use std::time::Duration;

use clap::Args;
use heatherfall::balance::LimitedHedgeSettings;
use heatherfall::limits::{HedgeAllowance, HedgeEvent};
use heatherfall::ops::experiment::hedging::{
    HedgeTrialSettings, HedgeTrialStats, HedgeTrigger, run_trial,
};

/// Arguments of `hedging`.
#[derive(Args, Debug)]
pub(crate) struct HedgingArgs {
    /// First seed.
    #[arg(long, default_value_t = 1)]
    first_seed: u64,
    /// Number of seeds; the results of all seeds are added.
    #[arg(long, default_value_t = 3)]
    seeds: u64,
    /// Arrival rate as a share of the capacity.
    #[arg(long, default_value_t = 0.6)]
    load: f64,
    /// Entry VMs.
    #[arg(long, default_value_t = 24)]
    entries: usize,
    /// Simulated time of each run in seconds.
    #[arg(long, default_value_t = 60)]
    seconds: u64,
    /// Hedges as a share of the requests.
    #[arg(long, default_value_t = 0.05)]
    share: f64,
    /// Least gains to compare.
    #[arg(long, value_delimiter = ',', default_value = "0.1,0.2,0.3")]
    gains: Vec<f32>,
    /// Overdue factors to compare.
    #[arg(long, value_delimiter = ',', default_value = "1.6,2.0,2.4")]
    overdue: Vec<f32>,
    /// Leave out the triggers that the daemon doesn't have.
    #[arg(long)]
    gains_only: bool,
    /// Share of the slots in use from which on no limited hedge is sent.
    #[arg(long, default_value_t = 0.75)]
    max_occupancy: f32,
}

/// Simulates rules for hedges and prints a row for each.
pub(crate) fn execute(args: &HedgingArgs) -> miette::Result<ExitCode> {
    let defaults = HedgeTrialSettings {
        load: args.load,
        entries: args.entries,
        duration: Duration::from_secs(args.seconds),
        ..HedgeTrialSettings::default()
    };
    let allowance = |share| Some(HedgeAllowance { max_share: share, max_service_share: share });
    let limited = HedgeTrialSettings {
        hedging: allowance(args.share),
        limited_hedge: LimitedHedgeSettings {
            max_occupancy: args.max_occupancy,
            ..LimitedHedgeSettings::default()
        },
        ..defaults.clone()
    };
    let mut rules = vec![
        (
            "no hedges".to_owned(),
            HedgeTrialSettings { hedging: allowance(0.0), ..defaults.clone() },
        ),
        ("without a limit".to_owned(), defaults),
    ];
    for overdue_factor in &args.overdue {
        for min_gain in &args.gains {
            let limited_hedge = LimitedHedgeSettings {
                min_gain: *min_gain,
                overdue_factor: *overdue_factor,
                ..limited.limited_hedge.clone()
            };
            let settings = HedgeTrialSettings { limited_hedge, ..limited.clone() };
            rules.push((format!("gain {min_gain}, overdue {overdue_factor}"), settings));
        }
    }
    for delay_ms in [0, 120, 200] {
        let trigger = HedgeTrigger::Delay(Duration::from_millis(delay_ms));
        rules.push((format!("{delay_ms} ms"), HedgeTrialSettings { trigger, ..limited.clone() }));
    }
    for quantile in [0.9, 0.95] {
        let trigger = HedgeTrigger::Quantile(quantile);
        rules.push((format!("q {quantile}"), HedgeTrialSettings { trigger, ..limited.clone() }));
    }
    let trigger = HedgeTrigger::Slowdown(2.0);
    rules.push(("load report".to_owned(), HedgeTrialSettings { trigger, ..limited }));
    if args.gains_only {
        rules.truncate(2 + args.gains.len() * args.overdue.len());
    }
    println!(
        "| rule | hedges % | won % | extra busy % | p50 | p99 | p99.9 | in goal % | refused % | \
         limit | shared | no gain | full |\n|{}",
        " --- |".repeat(13)
    );
    let mut base_busy = None;
    for (name, settings) in rules {
        let stats = run_seeds(&settings, args.first_seed, args.seeds)?;
        let busy = stats.busy.as_secs_f64();
        let base_busy = *base_busy.get_or_insert(busy);
        println!("| {name} {}", row(&stats, 100.0 * (busy / base_busy - 1.0)));
    }
    Ok(ExitCode::SUCCESS)
}

fn run_seeds(
    settings: &HedgeTrialSettings,
    first_seed: u64,
    seeds: u64,
) -> miette::Result<HedgeTrialStats> {
    let mut total = run_trial(&HedgeTrialSettings { seed: first_seed, ..settings.clone() })?;
    for seed in first_seed + 1..first_seed + seeds {
        total.add(&run_trial(&HedgeTrialSettings { seed, ..settings.clone() })?);
    }
    Ok(total)
}

fn row(stats: &HedgeTrialStats, extra_percent: f64) -> String {
    let percent = |count: u64, all: u64| 100.0 * count as f64 / all.max(1) as f64;
    let count = |event| stats.hedge_count(event);
    format!(
        "| {:.2} | {:.0} | {extra_percent:.1} | {:.0} | {:.0} | {:.0} | {:.2} | {:.3} | {} | {} | {} | {} |",
        100.0 * stats.hedge_share(),
        percent(count(HedgeEvent::Won), count(HedgeEvent::Started)),
        stats.latency_ms(0.5),
        stats.latency_ms(0.99),
        stats.latency_ms(0.999),
        percent(stats.within_goal, stats.requests),
        percent(stats.refused, stats.requests),
        count(HedgeEvent::Limit),
        count(HedgeEvent::SharedBudget),
        count(HedgeEvent::NoGain),
        count(HedgeEvent::Full),
    )
}
