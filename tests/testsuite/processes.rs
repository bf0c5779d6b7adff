//! Separate `heatherfalld` processes on one served platform stand-in.

use std::net::{Ipv4Addr, SocketAddr};

use heatherfall::core::ObjectKind;
use heatherfall::ops::load::{self, ClassLoad, LoadSettings, WorkloadKind};
use heatherfall::ops::objects::{self, ObjectManifest};
use heatherfall_standins::platform::{self, FaultSettings, StandinPlatform};
use heatherfall_standins::upstream::{self, StandinUpstream, UpstreamBehaviour};
use http::Method;

use crate::support::{DaemonProcess, TestCaller};

const SAMPLE_OBJECTS: &str = include_str!("../../examples/both-users.jsonc");

fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

fn lookup_class() -> ClassLoad {
    let classes = WorkloadKind::CauNoi.classes();
    classes.into_iter().find(|class| class.name == "lookup").expect("lookups are in the mix")
}

async fn wait_ready(daemon: &DaemonProcess) {
    let caller = TestCaller::new();
    loop {
        let reply = caller.send(daemon.admin_addr, Method::GET, "/readyz", &[]).await;
        if reply.is_ok_and(|reply| reply.status.is_success()) {
            return;
        }
        tokio::time::sleep(std::time::Duration::from_millis(10)).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_terminated_process_cuts_off_nothing() {
    let platform = StandinPlatform::default();
    let server = platform::serve(platform.clone(), any_port()).await.expect("platform is served");
    for manifest in objects::parse_manifests(SAMPLE_OBJECTS).expect("sample parses") {
        objects::apply(&platform, manifest).await.expect("sample applies");
    }
    let mut upstreams = Vec::new();
    for index in 0..4 {
        let name = format!("lookups-{index}");
        let upstream = StandinUpstream::new(&name, UpstreamBehaviour::default());
        let served = upstream::serve(upstream, any_port()).await.expect("upstream is served");
        let spec =
            serde_json::json!({ "address": served.addr().to_string(), "failure_domain": "fd-a" });
        let labels = [("app".to_owned(), "lookups".to_owned())].into();
        let manifest = ObjectManifest { kind: ObjectKind::Upstream, name, labels, spec };
        objects::apply(&platform, manifest).await.expect("upstream applies");
        upstreams.push(served);
    }
    let mut daemons = Vec::new();
    for (vm, failure_domain) in [("entry-1", "fd-a"), ("entry-2", "fd-b"), ("entry-3", "fd-c")] {
        let daemon = DaemonProcess::start(vm, failure_domain, server.addr());
        wait_ready(&daemon).await;
        daemons.push(daemon);
    }
    let staying = LoadSettings {
        targets: vec![daemons[0].caller_addr, daemons[1].caller_addr],
        classes: vec![lookup_class()],
        rate: 200.0,
        duration: std::time::Duration::from_secs(2),
        ..LoadSettings::default()
    };
    let staying = tokio::spawn(async move { load::run(&staying, &()).await });

    // Requests in flight at the leaving node when the signal arrives: slow enough to be there.
    let caller = TestCaller::new();
    let leaving = daemons[2].caller_addr;
    let mut in_flight = tokio::task::JoinSet::new();
    for _ in 0..8 {
        let caller = caller.clone();
        in_flight.spawn(async move {
            caller.send(leaving, Method::GET, "/cau-noi/lookup/hello", &[]).await
        });
    }
    daemons[2].terminate();
    while let Some(reply) = in_flight.join_next().await {
        let reply = reply.expect("task ends").expect("a whole answer");
        assert!(reply.status.is_success());
    }
    assert!(daemons[2].wait(), "the daemon ended with an error");
    let report = staying.await.expect("load ends").expect("load runs");
    assert_eq!(report.failed(), 0, "{report}");
    assert!(report.answered() > 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_second_signal_and_a_platform_that_is_down_do_not_keep_a_process_from_leaving_cleanly() {
    let platform = StandinPlatform::default();
    let server = platform::serve(platform.clone(), any_port()).await.expect("platform is served");
    for manifest in objects::parse_manifests(SAMPLE_OBJECTS).expect("sample parses") {
        objects::apply(&platform, manifest).await.expect("sample applies");
    }
    let mut daemon = DaemonProcess::start("entry-1", "fd-a", server.addr());
    wait_ready(&daemon).await;
    platform.set_faults(FaultSettings { down: true, ..FaultSettings::default() });
    daemon.terminate();
    daemon.terminate();
    assert!(daemon.wait(), "the daemon ended with an error");
}
