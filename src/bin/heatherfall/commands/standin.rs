//! `heatherfall standin`.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Args, Subcommand};
use heatherfall_standins::platform::{self, StandinPlatform};
use heatherfall_standins::upstream::{self, StandinUpstream, UpstreamBehaviour};
use miette::{IntoDiagnostic, WrapErr};

/// Run a stand-in for the platform or an upstream, to try heatherfall by hand.
#[derive(Args, Debug)]
pub(crate) struct StandinArgs {
    #[command(subcommand)]
    kind: StandinKind,
}

#[derive(Debug, Subcommand)]
enum StandinKind {
    Platform(PlatformArgs),
    Upstream(UpstreamArgs),
}

/// Serve an empty platform: the object API and the VM list, held in memory.
///
/// `PUT /standin/vms` adds a VM record, `PUT /standin/faults` injects faults, `GET /standin/counts`
/// shows the number of calls. Runs until Ctrl-C.
#[derive(Args, Debug)]
struct PlatformArgs {
    /// Address to listen on.
    #[arg(long, default_value = "127.0.0.1:7000", value_name = "ADDRESS")]
    listen: SocketAddr,
}

/// Serve an upstream that echoes requests as JSON. Runs until Ctrl-C.
#[derive(Args, Debug)]
struct UpstreamArgs {
    /// Address to listen on.
    #[arg(long, value_name = "ADDRESS")]
    listen: SocketAddr,
    /// Name that its responses give.
    #[arg(long, default_value = "upstream")]
    name: String,
    /// Requests processed at the same time.
    #[arg(long, default_value_t = 4)]
    slots: usize,
    /// Requests that may wait for a slot; one more is shed.
    #[arg(long, default_value_t = 64)]
    queue: usize,
    /// Time for which one request occupies a slot.
    #[arg(long, default_value = "2ms", value_parser = humantime::parse_duration)]
    service_time: Duration,
}

impl StandinArgs {
    pub(crate) async fn exec(self) -> miette::Result<ExitCode> {
        let (server, role) = match self.kind {
            StandinKind::Platform(args) => {
                let result = platform::serve(StandinPlatform::default(), args.listen).await;
                (bind_result(result, args.listen)?, "platform".to_owned())
            }
            StandinKind::Upstream(args) => {
                let behaviour = UpstreamBehaviour {
                    slots: args.slots,
                    queue_limit: args.queue,
                    service_time: args.service_time,
                    ..UpstreamBehaviour::default()
                };
                let upstream = StandinUpstream::new(&args.name, behaviour);
                let result = upstream::serve(upstream, args.listen).await;
                (bind_result(result, args.listen)?, format!("upstream {}", args.name))
            }
        };
        println!("{role} stand-in listens on {}", server.addr());
        tokio::signal::ctrl_c().await.into_diagnostic()?;
        Ok(ExitCode::SUCCESS)
    }
}

fn bind_result<T>(result: std::io::Result<T>, addr: SocketAddr) -> miette::Result<T> {
    result.into_diagnostic().wrap_err_with(|| format!("cannot listen on {addr}"))
}
