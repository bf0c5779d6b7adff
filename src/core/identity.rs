//! Identities of VMs, failure domains, tenants and configuration generations.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

macro_rules! text_identity {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Creates the identity with this text.
            pub fn new(text: &str) -> Self {
                Self(Arc::from(text))
            }

            /// The text of the identity.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

text_identity! {
    /// Identity of a VM.
    VmId
}

text_identity! {
    /// Name of a failure domain.
    FailureDomain
}

text_identity! {
    /// Name of a tenant.
    TenantId
}

/// Number of a configuration generation; newer generations have higher numbers.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct GenerationNumber(pub u64);

impl fmt::Display for GenerationNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}
