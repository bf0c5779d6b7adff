//! The `tonic` service that answers peers' exchanges.

use std::sync::Arc;

use tonic::{Request, Response, Status};

use crate::core::VmId;
use crate::membership::ControlNode;
use crate::peer::generated::peer::peer_exchange_server::PeerExchange;
use crate::peer::generated::peer::{ExchangeReply, ExchangeRequest};

/// Answers with what a [`ControlNode`] knows.
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
        let verified = request.extensions().get::<VmId>().cloned();
        let request = request.into_inner();
        let named = request.sender.as_ref().map(|sender| sender.vm.as_str());
        // A node speaks for itself only under the name that its call is signed with.
        if verified.as_ref().map(VmId::as_str) != named {
            return Err(Status::permission_denied("sender is not the one that signed"));
        }
        Ok(Response::new(self.node.handle_exchange(request).await))
    }
}
