//! Load balancer daemon of an entry VM.

use std::path::PathBuf;
use std::sync::Arc;

use clap::Parser;
use heatherfall::ops::node_settings::NodeSettings;
use heatherfall::ops::{log_output, node};
use heatherfall::platform::{HttpStore, HttpStoreSettings};
use heatherfall::util::settings_file;
use miette::IntoDiagnostic;
use tokio::signal::unix::{SignalKind, signal};

/// Load balancer daemon, the same on every entry VM.
#[derive(Debug, Parser)]
#[command(version)]
struct DaemonArgs {
    /// Settings file, JSON with comments.
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
    /// Validate the settings file and exit.
    #[arg(long)]
    check: bool,
}

#[tokio::main]
async fn main() -> miette::Result<()> {
    let args = DaemonArgs::parse();
    let settings: NodeSettings =
        settings_file::load(&args.config).map_err(|error| miette::Report::new(*error))?;
    if args.check {
        println!("{}: settings are valid", args.config.display());
        return Ok(());
    }
    let flush_handle = log_output::install(&settings.log).into_diagnostic()?;
    let mut terminate = signal(SignalKind::terminate()).into_diagnostic()?;
    let mut interrupt = signal(SignalKind::interrupt()).into_diagnostic()?;
    let store = HttpStore::new(HttpStoreSettings {
        address: settings.platform.address,
        timeout: settings.platform.timeout,
    });
    let node = node::start(settings, Arc::new(store)).await?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    node.leave().await;
    flush_handle.wait_until_written(log_output::LOG_FLUSH_TIMEOUT);
    Ok(())
}
