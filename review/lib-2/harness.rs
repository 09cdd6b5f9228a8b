//! What all cases share: the record, a temporary folder, the program as a separate process, the operators' command line.

use std::fmt::Write as _;
use std::fs;
use std::io::Write as _;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::ExitStatusExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Result of a step of a case; an error means that the case could not be played.
pub type Step<T> = Result<T, String>;

/// Returns the Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

/// What was sent, answered and run, in the order in which it was seen.
#[derive(Clone)]
pub struct Record {
    lines: Arc<Mutex<Vec<String>>>,
    start: Instant,
    path: Arc<PathBuf>,
}

impl Record {
    pub fn new(path: PathBuf) -> Record {
        Record { lines: Arc::default(), start: Instant::now(), path: Arc::new(path) }
    }

    /// Adds a line with the time since the start of the case.
    pub fn add(&self, text: impl AsRef<str>) {
        let line = format!("{:>7} ms  {}", self.start.elapsed().as_millis(), text.as_ref());
        self.lines.lock().unwrap().push(line);
    }

    /// Adds a line and prints it.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.add(text);
    }

    pub fn elapsed(&self) -> Duration {
        self.start.elapsed()
    }

    /// Writes the file.
    pub fn write(&self) {
        let mut text = String::new();
        for line in self.lines.lock().unwrap().iter() {
            let _ = writeln!(text, "{line}");
        }
        let _ = fs::write(&*self.path, text);
    }
}

/// A folder that is removed at the end.
pub struct TempDir(pub PathBuf);

impl TempDir {
    pub fn new(case: &str) -> Step<TempDir> {
        let name = format!("ast-{case}-{}-{}", std::process::id(), unix_ms() % 1_000_000);
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(&path).map_err(|e| format!("temporary folder: {e}"))?;
        Ok(TempDir(path))
    }

    /// Writes a file that only its owner may read, and returns its path.
    pub fn file(&self, name: &str, text: &str) -> Step<PathBuf> {
        use std::os::unix::fs::PermissionsExt;
        let path = self.0.join(name);
        let temporary = self.0.join(format!("{name}.new"));
        fs::write(&temporary, text).map_err(|e| format!("{name}: {e}"))?;
        fs::set_permissions(&temporary, fs::Permissions::from_mode(0o600)).map_err(|e| format!("{name}: {e}"))?;
        fs::rename(&temporary, &path).map_err(|e| format!("{name}: {e}"))?;
        Ok(path)
    }

    pub fn path(&self, name: &str) -> String {
        self.0.join(name).display().to_string()
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Returns a loopback address whose port is free.
pub fn free_address() -> Step<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| format!("no free port: {e}"))?;
    listener.local_addr().map_err(|e| format!("no free port: {e}"))
}

/// Returns the command `run` of the deploy file.
fn run_command(root: &Path) -> Step<String> {
    let text = fs::read_to_string(root.join("deploy/balancer.toml")).map_err(|e| format!("deploy file: {e}"))?;
    let line = text.lines().find(|line| line.trim_start().starts_with("run ")).ok_or("deploy file: no run")?;
    let mut parts = line.split('"');
    parts.next();
    parts.next().map(str::to_string).ok_or_else(|| "deploy file: no command in run".into())
}

/// The backend as a separate process.
pub struct Backend {
    child: Child,
    ended: Option<String>,
}

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: usize, a: usize, b: usize, c: usize) -> i32;
}

/// Ends a process with this one, also when this one is killed.
fn end_with_this_process(command: &mut Command) {
    use std::os::unix::process::CommandExt;
    const PR_SET_PDEATHSIG: i32 = 1;
    const SIGKILL: usize = 9;
    unsafe {
        command.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, SIGKILL, 0, 0, 0);
            Ok(())
        });
    }
}

pub const SIGTERM: i32 = 15;

impl Backend {
    /// Starts the backend with the command of the deploy file and waits until it listens.
    pub fn start(
        root: &Path, dir: &TempDir, config: &Path, operator_file: Option<&Path>, address: SocketAddr, log: &str,
    ) -> Step<Backend> {
        let mut command = run_command(root)?;
        if let Some(file) = operator_file {
            let _ = write!(command, " --file {}", file.display());
        }
        let log = fs::File::options().create(true).append(true).open(dir.0.join(log)).map_err(|e| e.to_string())?;
        let mut shell = Command::new("/bin/sh");
        shell
            .args(["-c", &command])
            .current_dir(root)
            .env("GW_CONFIG", config)
            .env("GW_LISTEN", address.to_string())
            .stdin(Stdio::null())
            .stdout(log.try_clone().map_err(|e| e.to_string())?)
            .stderr(log);
        end_with_this_process(&mut shell);
        let child = shell.spawn().map_err(|e| format!("the backend doesn't start: {e}"))?;
        let mut backend = Backend { child, ended: None };
        let deadline = Instant::now() + Duration::from_secs(10);
        while TcpStream::connect(address).is_err() {
            if let Some(end) = backend.end() {
                return Err(format!("the backend ended at its start: {end}"));
            }
            if Instant::now() > deadline {
                return Err("the backend does not listen".into());
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        Ok(backend)
    }

    pub fn signal(&self, signal: i32) {
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// Returns how the process ended, if it has.
    pub fn end(&mut self) -> Option<String> {
        if self.ended.is_none() {
            if let Ok(Some(status)) = self.child.try_wait() {
                self.ended = Some(match (status.code(), status.signal()) {
                    (Some(code), _) => format!("exit code {code}"),
                    (None, signal) => format!("signal {}", signal.unwrap_or(0)),
                });
            }
        }
        self.ended.clone()
    }

    /// Waits for the end of the process.
    pub fn wait(&mut self, timeout: Duration) -> Option<String> {
        let deadline = Instant::now() + timeout;
        while self.end().is_none() && Instant::now() < deadline {
            std::thread::sleep(Duration::from_millis(2));
        }
        self.end()
    }
}

impl Drop for Backend {
    fn drop(&mut self) {
        if self.end().is_none() {
            let _ = self.child.kill();
            let _ = self.child.wait();
        }
    }
}

/// Output of the operators' command line.
pub struct Told {
    pub code: i32,
    pub text: String,
}

/// Runs the operators' command line.
pub fn operator(root: &Path, socket: &str, record: &Record, arguments: &[&str]) -> Step<Told> {
    let output = Command::new(root.join("target/release/asterrill"))
        .args(arguments)
        .current_dir(root)
        .env("ASTERRILL_SOCKET", socket)
        .stdin(Stdio::null())
        .output()
        .map_err(|e| format!("asterrill doesn't start: {e}"))?;
    let mut text = String::from_utf8_lossy(&output.stdout).into_owned();
    text.push_str(&String::from_utf8_lossy(&output.stderr));
    let code = output.status.code().unwrap_or(-1);
    let shown: Vec<&str> =
        arguments.iter().map(|a| if a.starts_with('/') { a.rsplit('/').next().unwrap_or(a) } else { a }).collect();
    record.add(format!("operator: asterrill {} -> exit code {code}", shown.join(" ")));
    for line in text.lines() {
        record.add(format!("    {line}"));
    }
    Ok(Told { code, text })
}

/// Copies lines of the backend's log that hold one of these words into the record.
pub fn copy_log(dir: &TempDir, log: &str, record: &Record, words: &[&str]) {
    let text = fs::read_to_string(dir.0.join(log)).unwrap_or_default();
    let mut left = 60;
    for line in text.lines().filter(|line| words.iter().any(|word| line.contains(word))) {
        let line = line.replace(&dir.0.display().to_string(), "DIR");
        record.add(format!("log: {line}"));
        left -= 1;
        if left == 0 {
            record.add("log: (more lines)");
            break;
        }
    }
}

/// Serves the name service: every report is answered 204.
pub fn start_name_service() -> Step<SocketAddr> {
    use std::io::Read;
    let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
    let address = listener.local_addr().map_err(|e| e.to_string())?;
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            std::thread::spawn(move || {
                let (mut seen, mut bytes) = (Vec::new(), [0; 2048]);
                while let Ok(n) = stream.read(&mut bytes) {
                    if n == 0 {
                        return;
                    }
                    seen.extend_from_slice(&bytes[..n]);
                    // A report is complete once its body, which ends with a brace, has arrived.
                    if seen.ends_with(b"}") {
                        seen.clear();
                        if stream.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").is_err() {
                            return;
                        }
                    }
                }
            });
        }
    });
    Ok(address)
}
