//! The `tonic` service for the exchange between entries.

use std::sync::Arc;

use tonic::{Request, Response, Status};

use crate::core::VmId;
use crate::membership::ControlNode;
use crate::peer::generated::peer::peer_exchange_server::PeerExchange;
use crate::peer::generated::peer::{ExchangeReply, ExchangeRequest};

/// Passes peers' exchange calls to a [`ControlNode`].
#[derive(Debug)]
pub struct ExchangeService {
    node: Arc<ControlNode>,
}

impl ExchangeService {
    /// Creates the service of `node`.
    pub fn new(node: Arc<ControlNode>) -> Self {
        Self { node }
    }
}

#[tonic::async_trait]
impl PeerExchange for ExchangeService {
    async fn exchange(
        &self,
        request: Request<ExchangeRequest>,
    ) -> Result<Response<ExchangeReply>, Status> {
        let signer = request.extensions().get::<VmId>().cloned();
        let request = request.into_inner();
        let claimed = request.sender.as_ref().map(|sender| sender.vm.as_str());
        // A node may send its own record only under the VM that signed the call.
        if signer.as_ref().map(VmId::as_str) != claimed {
            return Err(Status::permission_denied("sender is not the one that signed"));
        }
        Ok(Response::new(self.node.handle_exchange(request).await))
    }
}
