//! The micro-kernel: lookup, end and failure of services.

use std::time::Duration;

use heatherfall::kernel::{IsRunning, ServiceKernel, ServiceName, ServiceTask, TaskService};
use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;

/// Time on the paused clock within which a failure must be detected.
const DETECTION_LIMIT: Duration = Duration::from_secs(5);

/// A task that ends when it is stopped, and panics when it is told to fail.
struct PanickingTask {
    fail: oneshot::Receiver<()>,
}

impl ServiceTask for PanickingTask {
    const NAME: ServiceName = ServiceName::Drain;

    async fn run(self, stop: CancellationToken) {
        if let Some(Ok(())) = stop.run_until_cancelled(self.fail).await {
            panic!("told to fail");
        }
    }
}

#[tokio::test(start_paused = true)]
async fn a_service_that_ends_by_itself_is_reported_as_failed() {
    let kernel = ServiceKernel::default();
    let (tx, fail) = oneshot::channel();
    kernel.start_task(PanickingTask { fail });
    assert_eq!(kernel.failed_services().await, []);
    tx.send(()).expect("the task waits for the signal");
    let detected = async {
        while kernel.failed_services().await.is_empty() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    assert!(
        tokio::time::timeout(DETECTION_LIMIT, detected).await.is_ok(),
        "the failure was not reported within {DETECTION_LIMIT:?}"
    );
    assert_eq!(kernel.failed_services().await, [ServiceName::Drain]);
}

#[tokio::test(start_paused = true)]
async fn a_service_is_found_by_name_until_it_is_stopped() {
    let kernel = ServiceKernel::default();
    let (_tx, fail) = oneshot::channel();
    kernel.start_task(PanickingTask { fail });
    let found = kernel.find::<TaskService<PanickingTask>>(ServiceName::Drain).expect("a service");
    assert!(found.ask(IsRunning).await.expect("the task replies"));
    kernel.stop().await;
    assert!(kernel.find::<TaskService<PanickingTask>>(ServiceName::Drain).is_none());
    assert_eq!(kernel.failed_services().await, []);
}
