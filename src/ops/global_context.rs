//! What every command needs, passed along instead of being global.

use std::net::SocketAddr;
use std::time::Duration;

use crate::platform::{HttpStore, HttpStoreSettings};

/// Context of one command.
#[derive(Clone, Debug)]
pub struct GlobalContext {
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Time for one platform call.
    pub timeout: Duration,
    /// Whether output is JSON in place of a table.
    pub is_json: bool,
}

impl GlobalContext {
    /// Client of the platform.
    pub fn store(&self) -> HttpStore {
        HttpStore::new(HttpStoreSettings { address: self.platform, timeout: self.timeout })
    }
}
