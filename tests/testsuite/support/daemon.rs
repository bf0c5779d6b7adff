//! A `heatherfalld` process.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, ChildStdout, Command, Stdio};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

/// A `heatherfalld` process on loopback; killed when dropped.
pub(crate) struct DaemonProcess {
    child: Child,
    log: BufReader<ChildStdout>,
    pub(crate) caller_addr: SocketAddr,
    pub(crate) admin_addr: SocketAddr,
    _keys: tempfile::NamedTempFile,
    _settings: tempfile::NamedTempFile,
}

impl DaemonProcess {
    /// Starts a daemon on free ports and waits until it logs its addresses.
    pub(crate) fn start(vm: &str, failure_domain: &str, platform: SocketAddr) -> Self {
        let keys = tempfile::NamedTempFile::new().expect("temporary file");
        std::fs::write(keys.path(), "a key for the tests of heatherfalld\n").expect("keys written");
        let key_file = keys.path().display();
        let settings = format!(
            r#"{{ "vm": "{vm}", "failure_domain": "{failure_domain}",
                 "listen": {{ "callers": "127.0.0.1:0", "admin": "127.0.0.1:0",
                              "peers": "127.0.0.1:0" }},
                 "platform": {{ "address": "{platform}" }},
                 "peers": {{ "key_file": "{key_file}" }},
                 "shutdown": {{ "announce": "300ms" }} }}"#
        );
        let file = tempfile::NamedTempFile::new().expect("temporary file");
        std::fs::write(file.path(), settings).expect("settings written");
        let mut child = Command::new(env!("CARGO_BIN_EXE_heatherfalld"))
            .arg("--config")
            .arg(file.path())
            .stdout(Stdio::piped())
            .spawn()
            .expect("daemon starts");
        let mut log = BufReader::new(child.stdout.take().expect("stdout is piped"));
        let started = read_line_containing(&mut log, "node: started");
        Self {
            child,
            log,
            caller_addr: parse_addr_after(&started, "callers="),
            admin_addr: parse_addr_after(&started, "admin="),
            _keys: keys,
            _settings: file,
        }
    }

    pub(crate) fn terminate(&self) {
        kill(Pid::from_raw(self.child.id() as i32), Signal::SIGTERM).expect("daemon is running");
    }

    /// Reads the log to its end, waits for the process to exit and returns whether it exited with
    /// status 0.
    pub(crate) fn wait(&mut self) -> bool {
        let mut line = String::new();
        while self.log.read_line(&mut line).is_ok_and(|bytes| bytes > 0) {
            line.clear();
        }
        self.child.wait().expect("daemon ends").success()
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn read_line_containing(log: &mut BufReader<ChildStdout>, text: &str) -> String {
    let mut line = String::new();
    loop {
        line.clear();
        let bytes = log.read_line(&mut line).expect("log is readable");
        assert!(bytes > 0, "daemon ended before logging {text:?}");
        if line.contains(text) {
            return line;
        }
    }
}

fn parse_addr_after(line: &str, prefix: &str) -> SocketAddr {
    let (_, rest) = line.split_once(prefix).expect("log line names the address");
    rest.split_whitespace().next().expect("address").parse().expect("address")
}
