//! What happens to a caller's request between the HTTP server and the request plane.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONNECTION, CONTENT_TYPE};
use http::{HeaderValue, Request, Response, Uri};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use tokio::time::Instant;

use crate::balance::UpstreamPicker;
use crate::core::{RESULT_CODE_HEADER, ResultCode};
use crate::ledger::ClaimLedger;
use crate::membership::AddressBook;
use crate::request::{
    AnswerBody, PlaneAnswer, RequestClass, RequestPlane, UpstreamClient, refusal,
};
use crate::serve::latency_metrics::LatencyMetrics;

/// Path under which callers ask for entry addresses.
const ADDRESSES_PATH: &str = "/.heatherfall/addresses";

/// Limits on callers' requests.
#[derive(Clone, Debug)]
pub struct FrontSettings {
    /// Largest request body, in bytes.
    pub max_body_bytes: usize,
    /// Longest time for a request body to arrive.
    pub body_timeout: Duration,
}

impl Default for FrontSettings {
    fn default() -> Self {
        Self { max_body_bytes: 8 << 20, body_timeout: Duration::from_secs(30) }
    }
}

/// Tells a [`FrontService`] that its node is leaving; clones share the state.
#[derive(Clone, Debug, Default)]
pub struct LeaveSwitch(Arc<AtomicBool>);

impl LeaveSwitch {
    /// From now on answers tell callers on HTTP/1.1 to close their connection.
    pub fn set_leaving(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    fn is_leaving(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// Answers callers' requests.
#[derive(Debug)]
pub struct FrontService<C, P, L> {
    plane: RequestPlane<C, P, L>,
    addresses: Arc<AddressBook>,
    metrics: LatencyMetrics,
    settings: FrontSettings,
    leave_switch: LeaveSwitch,
}

impl<C: UpstreamClient, P: UpstreamPicker, L: ClaimLedger> FrontService<C, P, L> {
    /// Creates the service.
    pub fn new(
        plane: RequestPlane<C, P, L>,
        addresses: Arc<AddressBook>,
        metrics: LatencyMetrics,
        settings: FrontSettings,
    ) -> Self {
        Self { plane, addresses, metrics, settings, leave_switch: LeaveSwitch::default() }
    }

    /// Tells the service that the node is leaving.
    pub fn leave_switch(&self) -> LeaveSwitch {
        self.leave_switch.clone()
    }

    pub(super) async fn answer(
        &self,
        request: Request<Incoming>,
    ) -> Result<PlaneAnswer<C>, Infallible> {
        let version = request.version();
        let mut response = self.respond(request).await;
        let closes = self.leave_switch.is_leaving() && version < http::Version::HTTP_2;
        if closes {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        Ok(response)
    }

    async fn respond(&self, request: Request<Incoming>) -> PlaneAnswer<C> {
        if request.uri().path() == ADDRESSES_PATH {
            return self.address_answer(request.uri());
        }
        let (parts, body) = request.into_parts();
        let admission = match self.plane.admit(&parts) {
            Ok(admission) => admission,
            Err(code) => return refusal(code),
        };
        let (class, started) = (admission.class.clone(), admission.started);
        let response = match self.read_body(body).await {
            Ok(body) => self.plane.run(admission, parts, body).await,
            Err(code) => refusal(code),
        };
        self.record(&class, &response, started);
        response
    }

    async fn read_body(&self, body: Incoming) -> Result<Bytes, ResultCode> {
        let whole = Limited::new(body, self.settings.max_body_bytes).collect();
        match tokio::time::timeout(self.settings.body_timeout, whole).await {
            Ok(Ok(body)) => Ok(body.to_bytes()),
            Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
                Err(ResultCode::RequestTooLarge)
            }
            Ok(Err(_)) | Err(_) => Err(ResultCode::MalformedRequest),
        }
    }

    fn address_answer(&self, uri: &Uri) -> PlaneAnswer<C> {
        let body = self.addresses.answer(uri.query().unwrap_or_default());
        let mut response = Response::new(AnswerBody::Own(Some(body)));
        let value = HeaderValue::from_static("application/json");
        response.headers_mut().insert(CONTENT_TYPE, value);
        response
    }

    fn record(&self, class: &RequestClass, response: &PlaneAnswer<C>, started: Instant) {
        let code = response.headers().get(RESULT_CODE_HEADER);
        let result = code.and_then(|value| value.to_str().ok()).unwrap_or("ok");
        self.metrics.record(class.tenant.as_str(), &class.class, result, started.elapsed());
    }
}
