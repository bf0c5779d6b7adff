//! Responses of the HTTP ports for operators and the platform.

use bytes::Bytes;
use http::{Response, StatusCode};
use http_body_util::Full;
use prometheus::{Encoder, Registry, TextEncoder};

/// A response with a status and a body, and no headers of its own.
pub(crate) fn plain_response(status: StatusCode, body: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response
}

/// The metrics in Prometheus text format.
pub(crate) fn metrics_response(registry: &Registry) -> Response<Full<Bytes>> {
    let mut buffer = Vec::new();
    match TextEncoder::new().encode(&registry.gather(), &mut buffer) {
        Ok(()) => plain_response(StatusCode::OK, buffer.into()),
        Err(error) => plain_response(StatusCode::INTERNAL_SERVER_ERROR, error.to_string().into()),
    }
}
