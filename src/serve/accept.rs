//! Accepts connections of a listener.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// Pause after a failed attempt. Without descriptors every attempt fails at once, and the queue of
/// the listener keeps connections for longer than this.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Waits for the next connection. Failures are logged when their number reaches a power of two.
pub(crate) async fn accept_connection(listener: &TcpListener) -> (TcpStream, SocketAddr) {
    let mut failures = 0_u64;
    loop {
        match listener.accept().await {
            Ok(accepted) => return accepted,
            Err(error) => {
                failures += 1;
                if failures.is_power_of_two() {
                    log::warn!(
                        target: "node",
                        "cannot accept a connection, retrying reason={error} failures={failures}",
                    );
                }
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}
