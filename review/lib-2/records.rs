//! Stand-in of the records service: answers each call after a while, or for a time never answers some of them.

use crate::harness::Step;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const CALL_TIME: Duration = Duration::from_millis(12);

#[derive(Clone)]
pub struct Records {
    pub address: SocketAddr,
    /// One call in this many is never answered; 0 for none.
    silent_every: Arc<AtomicU64>,
    pub calls: Arc<AtomicU64>,
    pub unanswered: Arc<AtomicU64>,
}

impl Records {
    pub fn start() -> Step<Records> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
        let address = listener.local_addr().map_err(|e| e.to_string())?;
        let records =
            Records { address, silent_every: Arc::default(), calls: Arc::default(), unanswered: Arc::default() };
        let acceptor = records.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let records = acceptor.clone();
                std::thread::spawn(move || records.serve(stream));
            }
        });
        Ok(records)
    }

    pub fn leave_unanswered(&self, every: u64) {
        self.silent_every.store(every, Ordering::Relaxed);
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let mut from = BufReader::new(stream.try_clone().ok()?);
        let to = Arc::new(Mutex::new(stream));
        loop {
            let mut line = String::new();
            if from.read_line(&mut line).ok()? == 0 {
                return None;
            }
            let words: Vec<&str> = line.trim_end().split(' ').collect();
            let ["OP", id, _, length] = words[..] else { continue };
            let mut body = vec![0; length.parse::<usize>().ok()? + 2];
            from.read_exact(&mut body).ok()?;
            body.truncate(body.len() - 2);
            let number = self.calls.fetch_add(1, Ordering::Relaxed) + 1;
            let every = self.silent_every.load(Ordering::Relaxed);
            if every > 0 && number % every == 0 {
                self.unanswered.fetch_add(1, Ordering::Relaxed);
                continue;
            }
            let (to, id) = (to.clone(), id.to_string());
            std::thread::spawn(move || {
                std::thread::sleep(CALL_TIME);
                let mut bytes = format!("{id} DONE {}\r\n", body.len()).into_bytes();
                bytes.extend_from_slice(&body);
                bytes.extend_from_slice(b"\r\n");
                let _ = to.lock().unwrap().write_all(&bytes);
            });
        }
    }
}
