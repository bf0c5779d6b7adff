//! `heatherfall dev`.

use std::process::ExitCode;

use clap::Args;
use heatherfall::ops::dev::{DevDeployment, DevSettings};
use heatherfall::ops::node_settings::LogSettings;
use heatherfall::ops::{log_output, smoke};
use miette::IntoDiagnostic;

/// Run a complete deployment in one process: platform and upstream stand-ins, three entry nodes.
#[derive(Args, Debug)]
pub(crate) struct DevArgs {
    /// Send one request of every class, check the responses and exit.
    #[arg(long)]
    smoke: bool,
    /// Port of the first entry node; 0 picks free ports.
    #[arg(long, default_value_t = 8081)]
    port: u16,
}

impl DevArgs {
    pub(crate) async fn exec(self) -> miette::Result<ExitCode> {
        let level = if self.smoke { log::LevelFilter::Warn } else { log::LevelFilter::Info };
        log_output::install(&LogSettings { level, ..LogSettings::default() }).into_diagnostic()?;
        let first_port = if self.smoke { 0 } else { self.port };
        let settings = DevSettings { first_port, ..DevSettings::default() };
        let deployment = DevDeployment::start(&settings).await?;
        if self.smoke {
            let report = smoke::run(&deployment).await?;
            deployment.stop().await;
            println!("smoke: {} passed, {} failed", report.passed, report.failed);
            return Ok(if report.failed == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE });
        }
        print_guide(&deployment);
        tokio::signal::ctrl_c().await.into_diagnostic()?;
        println!("stopping: requests in flight finish first");
        deployment.stop().await;
        Ok(ExitCode::SUCCESS)
    }
}

fn print_guide(deployment: &DevDeployment) {
    println!("platform stand-in  {}", deployment.platform_addr());
    for node in &deployment.nodes {
        println!("entry node         {}  admin {}", node.caller_addr(), node.admin_addr());
    }
    let Some(first) = deployment.nodes.first() else { return };
    let entry = first.caller_addr();
    println!("\nentry addresses for a service:");
    println!("  curl 'http://{entry}/.heatherfall/addresses?service=lookups&failure_domain=fd-a'");
    println!("a lookup, a donation, a clone:");
    println!("  curl http://{entry}/cau-noi/lookup/where-is-the-market");
    println!("  curl -X POST -d '{{\"amount\":5}}' http://{entry}/cau-noi/donations");
    println!("  curl http://{entry}/kitabghar/repos/algebra");
    println!("metrics and status:");
    println!("  curl http://{}/metrics", first.admin_addr());
    println!("  heatherfall status --node {}", first.admin_addr());
    println!("objects:");
    println!("  heatherfall --platform {} get Route", deployment.platform_addr());
    println!("\nCtrl-C stops gracefully.");
}
