//! `heatherfall-load ledger`.

use std::process::ExitCode;
use std::time::Duration;

use clap::Args;
use comfy_table::Table;
use comfy_table::presets::NOTHING;
use heatherfall::ops::ledger_bench::{self, LedgerBenchReport};
use miette::IntoDiagnostic;

/// Arguments of `ledger`.
#[derive(Args, Debug)]
pub(crate) struct LedgerArgs {
    /// Delay of each call to the platform stand-in, in milliseconds.
    #[arg(long, default_value_t = 5)]
    platform_ms: u64,
    /// Print JSON in place of tables.
    #[arg(long)]
    json: bool,
}

pub(crate) fn execute(args: &LedgerArgs) -> miette::Result<ExitCode> {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_time().build().into_diagnostic()?;
    let report = runtime.block_on(ledger_bench::run(Duration::from_millis(args.platform_ms)));
    if args.json {
        println!("{}", serde_json::to_string_pretty(&report).into_diagnostic()?);
    } else {
        print_tables(&report);
    }
    Ok(ExitCode::SUCCESS)
}

fn print_tables(report: &LedgerBenchReport) {
    let mut table = Table::new();
    table.load_style(NOTHING);
    table.set_header(["CLAIMS/S", "GRANTED", "WRITES/S", "BYTES/CLAIM", "P50 MS", "P99 MS"]);
    for point in &report.rates {
        table.add_row([
            point.claims_per_second.to_string(),
            format!("{:.4}", point.granted),
            format!("{:.1}", point.writes_per_second),
            format!("{:.0}", point.bytes_per_claim),
            format!("{:.1}", point.p50_ms),
            format!("{:.1}", point.p99_ms),
        ]);
    }
    println!("{table}\n");
    let mut table = Table::new();
    table.load_style(NOTHING);
    table.set_header(["KEYS", "SEGMENTS", "ARCHIVES", "REPLAY MS", "BYTES/KEY"]);
    for point in &report.replays {
        table.add_row([
            point.keys.to_string(),
            point.segments.to_string(),
            point.archives.to_string(),
            format!("{:.0}", point.replay_ms),
            format!("{:.0}", point.bytes_per_key),
        ]);
    }
    println!("{table}");
}
