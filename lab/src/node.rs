//! A backend process: the daemon as it is built, started with its own files.

use crate::process::{cpu_ticks, status_kb_or_zero};
use crate::setup::{Placement, Services, Setup};
use std::io::Error;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

const LISTEN_TIMEOUT: Duration = Duration::from_secs(5);
const TICK_US: u64 = 10_000;

/// A backend process. When it is dropped, the process is killed and its directory is removed.
pub struct Node {
    /// Process of the backend.
    pub child: Child,
    /// Address on which it listens for sidecars.
    pub address: SocketAddr,
    /// Directory of its files.
    pub dir: PathBuf,
    log: PathBuf,
    program: PathBuf,
}

/// Finds the daemon in the directory of this program, or in the parent directory, as tests need it.
pub fn daemon_program() -> Option<PathBuf> {
    let own = std::env::current_exe().ok()?;
    let dirs = [own.parent()?.to_path_buf(), own.parent()?.parent()?.to_path_buf()];
    dirs.into_iter().map(|dir| dir.join("asterrilld")).find(|path| path.exists())
}

impl Node {
    /// Starts a backend on a free port, and waits until it listens.
    pub fn start(setup: &Setup, services: &Services, password: &str) -> std::io::Result<Node> {
        let address = TcpListener::bind("127.0.0.1:0")?.local_addr()?;
        let placement = Placement { name: "n1".into(), address, placeholders: Vec::new() };
        let node = Node::spawn(setup, &placement, services, password)?;
        node.wait_until_listening()?;
        Ok(node)
    }

    /// Starts a backend at a given placement without waiting until it listens.
    pub fn spawn(
        setup: &Setup, placement: &Placement, services: &Services, password: &str,
    ) -> std::io::Result<Node> {
        let config = setup.platform_file(placement, services).to_string();
        let file = setup.operator_file(placement);
        Node::spawn_with_files(placement.address, &config, file.as_deref(), setup.program.clone(), password)
    }

    /// Starts a backend with the given files without waiting until it listens. In the operator's file `{password}`
    /// stands for the path of the password file, and `{dir}` for the directory of the node.
    pub fn spawn_with_files(
        address: SocketAddr, config: &str, file: Option<&str>, program: Option<PathBuf>, password: &str,
    ) -> std::io::Result<Node> {
        static NEXT_NODE: AtomicU64 = AtomicU64::new(0);
        let number = NEXT_NODE.fetch_add(1, Ordering::Relaxed);
        let dir = std::env::temp_dir().join(format!("asterrill-lab-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&dir)?;
        std::fs::write(dir.join("config.json"), config)?;
        let secret = dir.join("password");
        std::fs::write(&secret, password)?;
        std::fs::set_permissions(&secret, PermissionsExt::from_mode(0o600))?;
        let log = dir.join("log");
        let not_built = || {
            Error::other(
                "asterrilld not found in the directory of asterrill-lab or its parent; build it first",
            )
        };
        let program = program.or_else(daemon_program).ok_or_else(not_built)?;
        if let Some(file) = file {
            let text = file.replace("{password}", &secret.display().to_string());
            std::fs::write(dir.join("asterrill.conf"), text.replace("{dir}", &dir.display().to_string()))?;
        }
        std::fs::File::create(&log)?;
        let child = spawn_process(&program, &dir, &log)?;
        Ok(Node { child, address, dir, log, program })
    }

    /// Kills the process, restarts it with its current files, and waits until it listens.
    pub fn kill_and_restart(&mut self) -> std::io::Result<()> {
        self.kill();
        self.restart()?;
        self.wait_until_listening()
    }

    /// Kills the process with SIGKILL and waits for its end.
    pub fn kill(&mut self) {
        self.child.kill().unwrap_or_default();
        self.child.wait().map(drop).unwrap_or_default();
    }

    /// Restarts the process with its current files.
    pub fn restart(&mut self) -> std::io::Result<()> {
        self.child = spawn_process(&self.program, &self.dir, &self.log)?;
        Ok(())
    }

    /// Waits until the process listens.
    ///
    /// # Errors
    /// The process does not listen within five seconds; the error contains its log.
    pub fn wait_until_listening(&self) -> std::io::Result<()> {
        let deadline = Instant::now() + LISTEN_TIMEOUT;
        while TcpStream::connect(self.address).is_err() {
            if Instant::now() > deadline {
                return Err(Error::other(format!(
                    "asterrilld did not listen on {} within 5 s; its log: {}",
                    self.address,
                    self.read_log()
                )));
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        Ok(())
    }

    /// Sends a signal, named without `SIG`.
    pub fn signal(&self, name: &str) {
        Command::new("kill").args(["-s", name, &self.child.id().to_string()]).status().ok();
    }

    /// Returns the CPU time used so far in microseconds, at the resolution of a clock tick.
    pub fn cpu_us(&self) -> u64 {
        cpu_ticks(&self.process()).unwrap_or(0) * TICK_US
    }

    /// Returns the peak resident memory in MB.
    pub fn memory_mb(&self) -> f64 {
        status_kb_or_zero(&self.process(), "VmHWM") / 1024.0
    }

    /// Returns the process id, which is the name of its directory in `/proc`.
    pub fn process(&self) -> String {
        self.child.id().to_string()
    }

    /// Reads the log written so far.
    pub fn read_log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Returns a counter of the statistics that the process logged last; 0 without such a counter.
    pub fn logged_count(&self, name: &str) -> u64 {
        let log = self.read_log();
        let counters = log.lines().rev().find(|line| line.contains("counters")).unwrap_or("");
        // The counters of queues, which may have the same names, come after those of the process.
        let value = counters.split(&format!(" {name}=")).nth(1).unwrap_or("");
        value.split(|c: char| !c.is_ascii_digit()).next().and_then(|n| n.parse().ok()).unwrap_or(0)
    }

    /// Waits for the process to exit and returns its exit code, or `None` if it was killed or does not exit in time.
    pub fn wait_for_exit(&mut self, timeout: Duration) -> Option<i32> {
        let deadline = Instant::now() + timeout;
        loop {
            match self.child.try_wait() {
                Ok(Some(status)) => return status.code(),
                _ if Instant::now() > deadline => return None,
                _ => std::thread::sleep(Duration::from_millis(2)),
            }
        }
    }
}

fn spawn_process(program: &Path, dir: &Path, log: &Path) -> std::io::Result<Child> {
    let mut command = Command::new(program);
    command.env("GW_CONFIG", dir.join("config.json")).stdin(Stdio::null()).stdout(Stdio::null());
    if dir.join("asterrill.conf").exists() {
        command.arg("--file").arg(dir.join("asterrill.conf"));
    }
    command.stderr(std::fs::File::options().append(true).open(log)?).spawn()
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
        if self.dir.starts_with(std::env::temp_dir()) {
            std::fs::remove_dir_all(&self.dir).unwrap_or_default();
        }
    }
}
