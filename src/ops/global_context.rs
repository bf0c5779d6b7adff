//! Context that is passed to every command in place of global state.

use std::net::SocketAddr;
use std::time::Duration;

use crate::platform::{HttpStore, HttpStoreSettings};

/// Options common to all commands.
#[derive(Clone, Debug)]
pub struct GlobalContext {
    /// Address of the platform's object API.
    pub platform: SocketAddr,
    /// Timeout of one platform call.
    pub timeout: Duration,
    /// Whether output is JSON rather than tables.
    pub is_json: bool,
}

impl GlobalContext {
    /// Creates a client of the platform.
    pub fn store(&self) -> HttpStore {
        HttpStore::new(HttpStoreSettings { address: self.platform, timeout: self.timeout })
    }
}
