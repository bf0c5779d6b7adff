//! Admits requests by their heads.

use std::sync::Arc;
use std::time::Duration;

use http::request::Parts;
use tokio::time::Instant;

use crate::balance::UpstreamPicker;
use crate::core::{ConfigSnapshot, Criticality, ResultCode};
use crate::ledger::ClaimLedger;
use crate::limits::RouteLimits;
use crate::request::attempt::UpstreamClient;
use crate::request::authentication::{TenantSource, authenticate};
use crate::request::classify::{RequestClass, RequestHead, classify};
use crate::request::data_plane::{DataPlane, header_u64};
use crate::request::execution_state::ConfigConfirmation;
use crate::request::forward_gate::{ForwardAdmissionError, ForwardRefusal};
use crate::request::forward_header::ForwardedRequest;
use crate::request::head_validation::validate_head;
use crate::request::refusal_log::RefusedRequest;

/// A request whose head has been admitted.
#[derive(Clone, Debug)]
pub struct AdmittedRequest {
    /// Configuration under which the request was admitted.
    pub snapshot: Arc<ConfigSnapshot>,
    /// Whether that configuration is confirmed.
    pub confirmation: ConfigConfirmation,
    /// Class of the request under that configuration.
    pub class: RequestClass,
    /// Limits of the route.
    pub limits: Arc<RouteLimits>,
    /// Order of load shedding: the least critical requests are shed first.
    pub criticality: Criticality,
    /// Time of admission.
    pub started: Instant,
    /// Time by which the response must be complete.
    pub deadline: Instant,
}

impl<C: UpstreamClient, P: UpstreamPicker, L: ClaimLedger> DataPlane<C, P, L> {
    /// Admits a request by its head.
    ///
    /// # Errors
    ///
    /// Returns the result code of the error response; the request did not run.
    pub fn admit(&self, parts: &Parts) -> Result<AdmittedRequest, ResultCode> {
        self.admit_from(parts, TenantSource::ApiKey)
    }

    /// Admits a request that a peer forwards by its head. Its signature must be verified before it is
    /// run.
    ///
    /// # Errors
    ///
    /// Returns the refusal; the request did not run.
    pub fn admit_forwarded(
        &self,
        parts: &Parts,
        forwarded: ForwardedRequest,
    ) -> Result<AdmittedRequest, ForwardAdmissionError> {
        let generation = self.snapshot.load().as_deref().map(|snapshot| snapshot.generation);
        self.admit_from(parts, TenantSource::Peer).map_err(|code| match generation {
            Some(generation) if generation == forwarded.generation => {
                ForwardAdmissionError::Failed(code)
            }
            // The sender's generation admits it.
            _ => ForwardAdmissionError::Refused(ForwardRefusal::OtherGeneration),
        })
    }

    fn admit_from(
        &self,
        parts: &Parts,
        tenant_source: TenantSource,
    ) -> Result<AdmittedRequest, ResultCode> {
        let started = Instant::now();
        // Before the snapshot is loaded, which may be replaced and confirmed in between.
        let confirmation = match self.core.freshness.covers(started) {
            true => ConfigConfirmation::Confirmed,
            false => ConfigConfirmation::Unconfirmed,
        };
        let snapshot = self.snapshot.load_full().ok_or(ResultCode::NotReady)?;
        self.admit_under(snapshot, confirmation, started, parts, tenant_source)
            .map_err(|code| confirmed_refusal(code, confirmation))
    }

    fn admit_under(
        &self,
        snapshot: Arc<ConfigSnapshot>,
        confirmation: ConfigConfirmation,
        started: Instant,
        parts: &Parts,
        tenant_source: TenantSource,
    ) -> Result<AdmittedRequest, ResultCode> {
        validate_head(parts)?;
        let head = RequestHead { method: &parts.method, uri: &parts.uri, headers: &parts.headers };
        let mut class = classify(&snapshot, head);
        let key = class.route.ok_or(ResultCode::NoRoute)?;
        let route = snapshot.route(key).ok_or(ResultCode::NoRoute)?;
        let header_names = &self.core.settings.headers;
        class.authenticated =
            authenticate(&snapshot, &route.spec, &parts.headers, header_names, tenant_source)?;
        let tenant_rank = class.authenticated.as_ref().and_then(|tenant| tenant.rank);
        class.rank = tenant_rank.unwrap_or(class.rank);
        let limits = self.limits.get(&snapshot, key).ok_or(ResultCode::NoRoute)?;
        let configured = route.spec.deadline;
        let requested =
            header_u64(&parts.headers, &header_names.deadline).map(Duration::from_millis);
        let deadline = started + requested.unwrap_or(configured).min(configured);
        let criticality = route.spec.criticality;
        Ok(AdmittedRequest {
            snapshot,
            confirmation,
            class,
            limits,
            criticality,
            started,
            deadline,
        })
    }

    /// Logs that a request was refused by its head; false if such lines are too many already.
    pub fn log_refusal(&self, parts: &Parts, code: ResultCode) -> bool {
        self.refusal_log.write(RefusedRequest {
            parts,
            id_header: &self.core.settings.headers.request_id,
            generation: self.snapshot.load().as_ref().map(|snapshot| snapshot.generation),
            config_age: self.core.freshness.read_age(),
            code,
        })
    }
}

/// The code of a refusal under a configuration with this confirmation.
///
/// Callers don't send a request again that has no route or no valid key, so that is said only while no
/// newer configuration can be in force that has them.
fn confirmed_refusal(code: ResultCode, confirmation: ConfigConfirmation) -> ResultCode {
    let is_by_config = matches!(code, ResultCode::NoRoute | ResultCode::Unauthenticated);
    match confirmation {
        ConfigConfirmation::Unconfirmed if is_by_config => ResultCode::ConfigUnconfirmed,
        ConfigConfirmation::Confirmed | ConfigConfirmation::Unconfirmed => code,
    }
}
