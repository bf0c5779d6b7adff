//! Subcommands, one per file.

mod apply;
mod delete;
mod dev;
mod diff;
mod explain;
mod explain_request;
mod get;
mod standin;
mod status;
mod watch;

use std::process::ExitCode;

use clap::Subcommand;
use heatherfall::ops::GlobalContext;

/// Subcommands of the client.
#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    Apply(apply::ApplyArgs),
    Delete(delete::DeleteArgs),
    Dev(dev::DevArgs),
    Diff(diff::DiffArgs),
    Explain(explain::ExplainArgs),
    ExplainRequest(explain_request::ExplainRequestArgs),
    Get(get::GetArgs),
    Standin(standin::StandinArgs),
    Status(status::StatusArgs),
    Watch(watch::WatchArgs),
}

impl Command {
    pub(crate) async fn exec(self, ctx: &GlobalContext) -> miette::Result<ExitCode> {
        match self {
            Self::Apply(args) => args.exec(ctx).await,
            Self::Delete(args) => args.exec(ctx).await,
            Self::Dev(args) => args.exec().await,
            Self::Diff(args) => args.exec(ctx).await,
            Self::Explain(args) => args.exec(ctx).await,
            Self::ExplainRequest(args) => args.exec(ctx).await,
            Self::Get(args) => args.exec(ctx).await,
            Self::Standin(args) => args.exec().await,
            Self::Status(args) => args.exec(ctx).await,
            Self::Watch(args) => args.exec(ctx).await,
        }
    }
}
