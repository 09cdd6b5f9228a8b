//! `reused-ids`: a sidecar uses the ids of RPCs again that are open or remembered, beside a sidecar that retries RPCs
//! as it should.

use crate::backend::Backend;
use crate::method::{Method, STOCK_UPDATE};
use crate::report::{Report, ScenarioError};
use crate::setup::Setup;
use crate::sidecar::{read_frame, Answer, RpcHeader, ABORTED, ANSWER, OK};
use crate::time::ms;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::json;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::time::Duration;

const ROUNDS: u64 = 100;
const CORES: usize = 2;
const WORK: Duration = ms(5);
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
const EXIT_TIMEOUT: Duration = Duration::from_secs(6);
/// Beginning of the bodies that the sound sidecar sends.
const SOUND_PREFIX: &str = "sound";

/// A connection of a sidecar.
struct Connection {
    stream: TcpStream,
    last_stream: u32,
}

impl Connection {
    fn open(address: SocketAddr) -> std::io::Result<Connection> {
        let stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(ANSWER_TIMEOUT))?;
        Ok(Connection { stream, last_stream: 0 })
    }

    /// Sends an RPC and returns its stream.
    fn send(&mut self, trace: u64, body: &str) -> std::io::Result<u32> {
        self.last_stream += 1;
        let header =
            RpcHeader { method: STOCK_UPDATE.name, trace, caller: 1, timeout: ANSWER_TIMEOUT, tenant: None };
        self.stream.write_all(&header.encode(self.last_stream, body.as_bytes()))?;
        Ok(self.last_stream)
    }

    /// Returns the answer on a stream, or none if the connection ends before.
    fn answer(&mut self, stream: u32) -> Option<Answer> {
        loop {
            let frame = read_frame(&mut self.stream)?;
            if frame.kind == ANSWER && frame.stream == stream {
                return Answer::parse(&frame.payload);
            }
        }
    }

    fn call(&mut self, trace: u64, body: &str) -> std::io::Result<Option<Answer>> {
        let stream = self.send(trace, body)?;
        Ok(self.answer(stream))
    }

    /// Reports whether an RPC is aborted.
    fn is_refused(&mut self, trace: u64, body: &str) -> std::io::Result<bool> {
        Ok(self.call(trace, body)?.is_some_and(|answer| answer.code == ABORTED))
    }
}

/// Outcomes that broke a rule.
#[derive(Default)]
struct Faults {
    /// RPCs with a used id that were not aborted.
    accepted_ids: u64,
    /// RPCs of the sound sidecar without a result of their own.
    lost: u64,
    /// Retries of the sound sidecar that did not get the result of the run.
    wrong_retries: u64,
}

/// Runs the scenario, with another build of the daemon if there is one.
pub fn scenario(report: &mut Report, seed: u64, other: Option<&Path>) -> Result<(), ScenarioError> {
    let mut rng = StdRng::seed_from_u64(seed);
    let methods = [Method { work: WORK, ..STOCK_UPDATE }];
    let setup = Setup { program: other.map(Path::to_path_buf), ..Setup::new(&methods, CORES) };
    let mut backend = Backend::start(&setup, "")?;
    let mut sound = Connection::open(backend.node.address)?;
    let mut faults = Faults::default();
    for round in 0..ROUNDS {
        play_round(&mut faults, &backend, &mut sound, round, &mut rng)?;
    }
    report_counters(report, &mut backend);
    report.set("rounds", json!(ROUNDS));
    let repeated = backend.agent.repeated_runs(SOUND_PREFIX);
    report.set("runs_twice", json!(repeated));
    report.rule("an RPC ran twice", repeated == 0);
    report.rule("an RPC of the sound sidecar did not get its result", faults.lost == 0);
    report.rule("a retry did not get the result of the run", faults.wrong_retries == 0);
    report.rule("an RPC with an id in use was not aborted", faults.accepted_ids == 0);
    Ok(())
}

/// The sound sidecar sends an RPC; another one uses its id while it is open or remembered; the sound one retries.
fn play_round(
    faults: &mut Faults, backend: &Backend, sound: &mut Connection, round: u64, rng: &mut StdRng,
) -> std::io::Result<()> {
    let (trace, body) = (rng.random(), format!("{SOUND_PREFIX} {round}"));
    let stream = sound.send(trace, &body)?;
    let mut faulty = Connection::open(backend.node.address)?;
    let reused_while_open = round.is_multiple_of(2);
    if reused_while_open {
        std::thread::sleep(WORK / 2);
        faults.accepted_ids += u64::from(!faulty.is_refused(trace, "other")?);
    }
    let first = sound.answer(stream).filter(|answer| answer.code == OK);
    faults.lost += u64::from(first.is_none());
    if !reused_while_open {
        faults.accepted_ids += u64::from(!faulty.is_refused(trace, &format!("other {round}"))?);
    }
    let retry = sound.call(rng.random(), &body)?;
    let result = |answer: Option<Answer>| answer.map(|answer| (answer.code, answer.body));
    faults.wrong_retries += u64::from(result(retry) != result(first));
    Ok(())
}

fn report_counters(report: &mut Report, backend: &mut Backend) {
    backend.node.signal("TERM");
    let code = backend.node.wait_for_exit(EXIT_TIMEOUT);
    report.rule("asterrilld did not exit with code 0 within 6 s", code == Some(0));
    let count = backend.node.logged_count("reused_ids");
    report.set("reused_ids", json!(count));
    report.rule("a used id was not counted", count == ROUNDS);
    report.rule("a process panicked", !backend.node.read_log().contains("panicked"));
}
