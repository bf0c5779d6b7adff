//! Authenticates requests by the API keys of tenants.
//!
//! ```text
//! caller -- API key --> tenant of the configuration -- name --> upstream
//! peer that forwards -- signed tenant name --> tenant of the configuration -- name --> upstream
//! ```
//!
//! The key stays at the entry that the caller has sent it to. Each request is checked against the
//! configuration that is active when it is admitted, also on open connections.

use std::sync::Arc;

use http::{HeaderMap, HeaderName, HeaderValue};

use crate::core::{ConfigSnapshot, HeaderNames, ResultCode, RouteSpec, TenantRecord};

/// Who names the tenant of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum TenantSource {
    /// The caller, by an API key.
    ApiKey,
    /// A peer, by a name that its signature covers, or by the caller's key if the peer runs a version
    /// that knows no tenants.
    Peer,
}

/// The tenant of a request; `None` if it needs none and has no valid key.
///
/// # Errors
///
/// Returns HF-1030 if the route is not public and the key is missing, repeated or unknown.
pub(super) fn authenticate(
    snapshot: &ConfigSnapshot,
    route: &RouteSpec,
    headers: &HeaderMap,
    header_names: &HeaderNames,
    source: TenantSource,
) -> Result<Option<Arc<TenantRecord>>, ResultCode> {
    let Some(tenants) = &snapshot.tenants else { return Ok(None) };
    let has_key = header_names.api_key.as_ref().is_some_and(|name| headers.contains_key(name));
    let found = if source == TenantSource::ApiKey || has_key {
        single_value(headers, header_names.api_key.as_ref()).and_then(|key| tenants.find(key))
    } else {
        let name = single_value(headers, header_names.tenant.as_ref());
        let name = name.and_then(|name| std::str::from_utf8(name).ok());
        name.and_then(|name| tenants.find_by_name(name))
    };
    match found {
        Some(tenant) => Ok(Some(Arc::clone(tenant))),
        None if route.public => Ok(None),
        None => Err(ResultCode::Unauthenticated),
    }
}

/// Replaces the API key and the caller's tenant header by the name of the tenant. Without tenants in
/// the configuration the headers are not touched.
pub(super) fn set_tenant_headers(
    headers: &mut HeaderMap,
    header_names: &HeaderNames,
    snapshot: &ConfigSnapshot,
    tenant: Option<&TenantRecord>,
) {
    if snapshot.tenants.is_none() {
        return;
    }
    if let Some(name) = &header_names.api_key {
        headers.remove(name);
    }
    let Some(name) = &header_names.tenant else { return };
    headers.remove(name);
    let value = tenant.and_then(|tenant| HeaderValue::from_str(tenant.name.as_str()).ok());
    if let Some(value) = value {
        headers.insert(name, value);
    }
}

/// The value of a header that occurs exactly once.
fn single_value<'a>(headers: &'a HeaderMap, name: Option<&HeaderName>) -> Option<&'a [u8]> {
    let mut values = headers.get_all(name?).iter();
    let value = values.next()?;
    values.next().is_none().then(|| value.as_bytes())
}
