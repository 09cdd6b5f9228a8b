//! One backend: the program as it is built, in a process of its own.

use crate::process::{cpu_ticks, status_kb_or_zero};
use crate::setup::{Placement, Services, Setup};
use std::io::Error;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

const LISTENS_WITHIN: Duration = Duration::from_secs(5);
const TICK_US: u64 = 10_000;

/// One backend, which ends and whose directory goes when this is dropped.
pub struct Node {
    /// Its process.
    pub child: Child,
    /// Where it listens for sidecars.
    pub address: SocketAddr,
    /// Where its files are.
    pub dir: PathBuf,
    log: PathBuf,
    program: PathBuf,
}

/// The program beside this one, or one directory above, where tests run.
pub fn daemon_program() -> Option<PathBuf> {
    let own = std::env::current_exe().ok()?;
    let dirs = [own.parent()?.to_path_buf(), own.parent()?.parent()?.to_path_buf()];
    dirs.into_iter().map(|dir| dir.join("asterrilld")).find(|path| path.exists())
}

impl Node {
    /// Starts one on a port that was free, and waits until it listens.
    pub fn start(setup: &Setup, services: &Services, password: &str) -> std::io::Result<Node> {
        let address = TcpListener::bind("127.0.0.1:0")?.local_addr()?;
        let placement = Placement { name: "n1".into(), address, placeholders: Vec::new() };
        let node = Node::spawn(setup, &placement, services, password)?;
        node.wait_until_listening()?;
        Ok(node)
    }

    /// The same for one of several, without waiting until it listens.
    pub fn spawn(
        setup: &Setup, placement: &Placement, services: &Services, password: &str,
    ) -> std::io::Result<Node> {
        let config = setup.platform_file(placement, services).to_string();
        let file = setup.operator_file(placement);
        Node::spawn_with_files(placement.address, &config, file.as_deref(), setup.program.clone(), password)
    }

    /// The same with files as they are given; in the operator's file `{password}` stands for the path of the password
    /// file, and `{dir}` for the directory of the node.
    pub fn spawn_with_files(
        address: SocketAddr, config: &str, file: Option<&str>, program: Option<PathBuf>, password: &str,
    ) -> std::io::Result<Node> {
        static NEXT: AtomicU64 = AtomicU64::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let dir = std::env::temp_dir().join(format!("asterrill-lab-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&dir)?;
        std::fs::write(dir.join("config.json"), config)?;
        let secret = dir.join("password");
        std::fs::write(&secret, password)?;
        std::fs::set_permissions(&secret, PermissionsExt::from_mode(0o600))?;
        let log = dir.join("log");
        let missing = || Error::other("asterrilld is not built beside this program");
        let program = program.or_else(daemon_program).ok_or_else(missing)?;
        if let Some(file) = file {
            let text = file.replace("{password}", &secret.display().to_string());
            std::fs::write(dir.join("asterrill.conf"), text.replace("{dir}", &dir.display().to_string()))?;
        }
        std::fs::File::create(&log)?;
        let child = spawn_process(&program, &dir, &log)?;
        Ok(Node { child, address, dir, log, program })
    }

    /// Kills the process where it stands, starts it again with the files as they are, and waits until it listens.
    pub fn kill_and_restart(&mut self) -> std::io::Result<()> {
        self.kill();
        self.restart()?;
        self.wait_until_listening()
    }

    /// Kills the process where it stands, by its id.
    pub fn kill(&mut self) {
        self.child.kill().unwrap_or_default();
        self.child.wait().map(drop).unwrap_or_default();
    }

    /// Starts it again with the files as they are.
    pub fn restart(&mut self) -> std::io::Result<()> {
        self.child = spawn_process(&self.program, &self.dir, &self.log)?;
        Ok(())
    }

    /// Waits until it listens.
    ///
    /// # Errors
    /// It does not within five seconds; the error has its log.
    pub fn wait_until_listening(&self) -> std::io::Result<()> {
        let until = Instant::now() + LISTENS_WITHIN;
        while TcpStream::connect(self.address).is_err() {
            if Instant::now() > until {
                return Err(Error::other(format!("it does not listen: {}", self.read_log())));
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        Ok(())
    }

    /// Sends a signal by its name without `SIG`.
    pub fn signal(&self, name: &str) {
        Command::new("kill").args(["-s", name, &self.child.id().to_string()]).status().ok();
    }

    /// CPU time so far, in microseconds, to the tick.
    pub fn cpu_us(&self) -> u64 {
        cpu_ticks(&self.process()).unwrap_or(0) * TICK_US
    }

    /// The most memory that was resident, in MB.
    pub fn memory_mb(&self) -> f64 {
        status_kb_or_zero(&self.process(), "VmHWM") / 1024.0
    }

    /// Its name in `/proc`.
    pub fn process(&self) -> String {
        self.child.id().to_string()
    }

    /// Its log so far.
    pub fn read_log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Waits for its end; its exit code, none if it was killed or does not end.
    pub fn wait_for_exit(&mut self, within: Duration) -> Option<i32> {
        let until = Instant::now() + within;
        loop {
            match self.child.try_wait() {
                Ok(Some(status)) => return status.code(),
                _ if Instant::now() > until => return None,
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
