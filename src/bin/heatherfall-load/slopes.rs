//! `heatherfall-load slopes`.

use std::process::ExitCode;

use clap::Args;
use comfy_table::Table;
use comfy_table::presets::NOTHING;
use heatherfall::ops::scaling_bench::{self, ScalingReport};
use miette::IntoDiagnostic;

/// Arguments of `slopes`.
#[derive(Args, Debug)]
pub(crate) struct SlopesArgs {
    /// Print JSON in place of tables.
    #[arg(long)]
    json: bool,
}

pub(crate) fn execute(args: &SlopesArgs) -> miette::Result<ExitCode> {
    let report = scaling_bench::run();
    if args.json {
        println!("{}", serde_json::to_string_pretty(&report).into_diagnostic()?);
    } else {
        print_tables(&report);
    }
    Ok(ExitCode::SUCCESS)
}

fn print_tables(report: &ScalingReport) {
    let mut table = Table::new();
    table.load_style(NOTHING);
    table.set_header(["SERVICES", "TARGETS", "OBJECT BYTES", "COMPILE US"]);
    for point in &report.targets {
        table.add_row([
            point.services.to_string(),
            point.targets.to_string(),
            point.object_bytes.to_string(),
            format!("{:.0}", point.compile_us),
        ]);
    }
    println!("{table}\n");
    let mut table = Table::new();
    table.load_style(NOTHING).set_header(["RULES", "CLASSIFY NS"]);
    for point in &report.rules {
        table.add_row([point.rules.to_string(), format!("{:.0}", point.classify_ns)]);
    }
    println!("{table}\n");
    let mut table = Table::new();
    let header = ["ROUTES", "CLASSIFY NS", "RECOMPILE US", "LIMITS US", "SNAPSHOT KB"];
    table.load_style(NOTHING).set_header(header);
    for point in &report.routes {
        table.add_row([
            point.routes.to_string(),
            format!("{:.0}", point.classify_ns),
            format!("{:.0}", point.recompile_us),
            format!("{:.0}", point.limits_us),
            format!("{:.0}", point.snapshot_kb),
        ]);
    }
    println!("{table}");
}
