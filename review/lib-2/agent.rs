//! Stand-in of the agent: runs what it is told to, each run for the time that its class takes, and keeps a ledger.

use crate::harness::{Record, Step};
use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

#[derive(Default)]
struct State {
    notices: Vec<Vec<u8>>,
    link: Option<TcpStream>,
    running: BTreeMap<String, u64>,
    over: BTreeSet<String>,
    /// Number of runs that began, by body.
    starts: BTreeMap<String, u64>,
    links: u64,
    started: u64,
    last_run: u64,
    /// Body of each run, and the time that it works without a pause.
    bodies: BTreeMap<String, (Vec<u8>, Duration)>,
    /// Runs that wait for the reply to their call.
    at_call: BTreeMap<String, u64>,
}

impl State {
    fn send(&mut self, bytes: &[u8]) {
        if self.link.as_mut().is_some_and(|link| link.write_all(bytes).is_err()) {
            self.link = None;
        }
    }

    /// Numbers a notice, keeps it, and sends it.
    fn notice(&mut self, kind: &str, rest: &str, body: Option<&[u8]>) {
        let mut bytes = format!("{kind} {} {rest}\r\n", self.notices.len() + 1).into_bytes();
        if let Some(body) = body {
            bytes.extend_from_slice(body);
            bytes.extend_from_slice(b"\r\n");
        }
        self.notices.push(bytes.clone());
        self.send(&bytes);
    }
}

/// The agent. Clones share it.
#[derive(Clone)]
pub struct Agent {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    work: Arc<BTreeMap<String, Duration>>,
    /// Class whose runs make one call halfway, if any.
    calling: Option<String>,
    record: Record,
    /// Whether each run is written to the record.
    quiet: bool,
}

impl Agent {
    /// Starts an agent whose classes take these times and make no calls.
    pub fn start(work: &[(&str, u64)], record: &Record, quiet: bool) -> Step<Agent> {
        Agent::start_with_calls(work, None, record, quiet)
    }

    /// Starts an agent; the runs of one class make a call halfway.
    pub fn start_with_calls(
        work: &[(&str, u64)], calling: Option<&str>, record: &Record, quiet: bool,
    ) -> Step<Agent> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
        let address = listener.local_addr().map_err(|e| e.to_string())?;
        let work = work.iter().map(|(name, ms)| (name.to_string(), Duration::from_millis(*ms))).collect();
        let agent = Agent {
            address,
            state: Arc::default(),
            work: Arc::new(work),
            calling: calling.map(str::to_string),
            record: record.clone(),
            quiet,
        };
        let acceptor = agent.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let agent = acceptor.clone();
                std::thread::spawn(move || agent.serve(stream));
            }
        });
        Ok(agent)
    }

    /// Returns how often runs with this body began.
    pub fn starts(&self, body: &str) -> u64 {
        self.state.lock().unwrap().starts.get(body).copied().unwrap_or(0)
    }

    pub fn started(&self) -> u64 {
        self.state.lock().unwrap().started
    }

    /// Returns how many runs wait for the reply to their call.
    pub fn waiting_for_calls(&self) -> usize {
        self.state.lock().unwrap().at_call.len()
    }

    /// Returns how many links the backend has opened.
    pub fn links(&self) -> u64 {
        self.state.lock().unwrap().links
    }

    /// Sends a remark that has no meaning.
    pub fn remark(&self, text: &str) {
        self.record.add(format!("agent: aside with a text of {} bytes", text.len()));
        self.state.lock().unwrap().notice("aside", text, None);
    }

    /// The backend is started again, and the agent with it: notices are numbered from 1, nothing runs. The ledger stays.
    pub fn backend_restarts(&self) {
        let mut state = self.state.lock().unwrap();
        state.notices.clear();
        state.running.clear();
        state.bodies.clear();
        state.at_call.clear();
        state.over.clear();
        state.link = None;
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let mut from = BufReader::new(stream.try_clone().ok()?);
        loop {
            let mut line = String::new();
            if from.read_line(&mut line).ok()? == 0 {
                return None;
            }
            let words: Vec<&str> = line.trim_end().split(' ').collect();
            let mut body = Vec::new();
            if ["launch", "deliver"].contains(&words[0]) {
                body = vec![0; words.last()?.parse::<usize>().ok()? + 2];
                from.read_exact(&mut body).ok()?;
                body.truncate(body.len() - 2);
            }
            let mut state = self.state.lock().unwrap();
            match words[..] {
                ["subscribe", last] => {
                    let last: usize = last.parse().ok()?;
                    state.links += 1;
                    if state.links <= 20 {
                        self.record.add(format!("agent: link {} subscribes after notice {last}", state.links));
                    }
                    // A new link replaces the previous one.
                    if let Some(old) = state.link.replace(stream.try_clone().ok()?) {
                        let _ = old.shutdown(std::net::Shutdown::Both);
                    }
                    state.send(b"greeting LOADED 3600000\r\n");
                    let missed: Vec<Vec<u8>> = state.notices.iter().skip(last).cloned().collect();
                    for notice in missed {
                        state.send(&notice);
                    }
                }
                ["launch", id, class, _] => self.launch(&mut state, id, class, body),
                ["deliver", id, _] => {
                    if let Some(run) = state.at_call.remove(id) {
                        self.work_on(&mut state, id, run, false);
                    }
                }
                // A site whose runs can't be stopped allows no such command.
                ["freeze", id] if self.calling.is_some() => {
                    state.send(format!("refusal freeze {id}\r\n").as_bytes())
                }
                ["freeze", id] => {
                    if state.running.remove(id).is_some() {
                        state.over.insert(id.to_string());
                        self.tell(format!("agent: run {id} stopped"));
                        state.notice("outcome", &format!("{id} KILLED 1 0"), Some(b""));
                    }
                }
                ["sample", tag] => {
                    let running = state.running.len();
                    state.send(format!("sampled {tag} 0.3 {running} 0.2 8\r\n").as_bytes());
                }
                ["exercise", tag] => state.send(format!("exercised {tag} PASS\r\n").as_bytes()),
                _ => {}
            }
        }
    }

    fn tell(&self, text: String) {
        if !self.quiet {
            self.record.add(text);
        }
    }

    fn launch(&self, state: &mut State, id: &str, class: &str, body: Vec<u8>) {
        let Some(work) = self.work.get(class).copied() else {
            return state.send(format!("refusal launch {id}\r\n").as_bytes());
        };
        if state.running.contains_key(id) {
            return;
        }
        if state.over.contains(id) {
            return state.notice("outcome", &format!("{id} NOOP 0 0"), Some(b""));
        }
        state.last_run += 1;
        state.started += 1;
        let run = state.last_run;
        state.running.insert(id.to_string(), run);
        let text = String::from_utf8_lossy(&body).into_owned();
        let starts = state.starts.entry(text.clone()).or_default();
        *starts += 1;
        self.tell(format!("agent: run of {class}, body {text:?}, begins: run {starts} of this body"));
        let calls = self.calling.as_deref() == Some(class);
        state.bodies.insert(id.to_string(), (body, if calls { work / 2 } else { work }));
        self.work_on(state, id, run, calls);
    }

    /// Lets a run work to its call, or to its end.
    fn work_on(&self, state: &mut State, id: &str, run: u64, calls: bool) {
        let Some((body, work)) = state.bodies.get(id).cloned() else { return };
        let (agent, id) = (self.clone(), id.to_string());
        std::thread::spawn(move || {
            std::thread::sleep(work);
            let mut state = agent.state.lock().unwrap();
            if state.running.get(&id) != Some(&run) {
                return;
            }
            if calls {
                state.at_call.insert(id.clone(), run);
                return state.notice("request", &format!("{id} {}", body.len()), Some(&body));
            }
            state.running.remove(&id);
            state.bodies.remove(&id);
            state.over.insert(id.clone());
            agent.tell(format!("agent: run with body {:?} ends ok", String::from_utf8_lossy(&body)));
            let result = [b"did ", &body[..]].concat();
            let rest = format!("{id} PASS {} {}", work.as_millis(), result.len());
            state.notice("outcome", &rest, Some(&result));
        });
    }
}
