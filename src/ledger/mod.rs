//! At-most-once claims: what the request plane asks before it dispatches a keyed request.

mod claim;

pub use self::claim::{
    ClaimDecision, ClaimEnd, ClaimIntent, ClaimLedger, ClaimTicket, StoredOutcome,
};
