//! `heatherfall status`

use std::net::SocketAddr;
use std::process::ExitCode;

use clap::Args;
use heatherfall::ops::node_status;

/// Show the status of a node.
#[derive(Args, Debug)]
pub(crate) struct StatusArgs {
    /// Admin address of the node.
    #[arg(long, value_name = "ADDRESS")]
    node: SocketAddr,
}

impl StatusArgs {
    pub(crate) async fn exec(self) -> miette::Result<ExitCode> {
        println!("{}", node_status::fetch(self.node).await?);
        Ok(ExitCode::SUCCESS)
    }
}
