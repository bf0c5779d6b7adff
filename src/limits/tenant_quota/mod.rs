//! Quotas of tenants over all entries together.
//!
//! ```text
//! request -> kept permit? -> grantors of the domain -> grantors of other domains -> reserve -> 429
//!                              (this entry first)
//! ```
//!
//! A few entries of each failure domain, the grantors, hold static shares of each tenant's quota.
//! An entry obtains a permit from one of them for every request that it is about to run. A small
//! reserve is divided among the entries without messages. The shares add up to the bound of the
//! deployment, whichever entries can communicate; `docs/design/quotas.md` has the proof.
//!
//! This module decides, on the runtime's clock and without sockets: `QuotaTerms` divides a quota,
//! `grantor_role` and `grantor_bucket` hold the shares of a grantor, `reserve_share` that of an entry,
//! `quota_state` decides whom to ask, and [`QuotaTable`] is the interface for the request path and
//! for `fleet::permit_exchange`, which sends and receives the messages.

mod grantor_bucket;
mod grantor_role;
mod permit_peers;
mod quota_state;
mod quota_table;
mod quota_terms;
mod reserve_share;
mod tenant_permits;

pub use self::permit_peers::{PermitAnswer, PermitGrantor, PermitPeers, PermitRequest};
pub use self::quota_table::{QuotaTable, QuotaUsage, TenantPermit};
pub use self::quota_terms::{
    GrantorLimits, MAX_GRANTORS, PERMIT_LIFETIME, QuotaAllowance, QuotaTerms,
};
pub use self::reserve_share::reserve_share;
