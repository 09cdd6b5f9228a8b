//! Minimal stubs of the services that a backend depends on: an upstream that answers each call at once, and a name
//! service that accepts every load report.
//!
//! Both listen on a port chosen by the system until the process ends.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};

/// Starts an upstream that answers each call at once with the body of the call.
pub fn start_echo_upstream() -> std::io::Result<SocketAddr> {
    accept_forever(echo_calls)
}

/// Starts an upstream that reads all calls and answers none.
pub fn start_silent_upstream() -> std::io::Result<SocketAddr> {
    accept_forever(|mut stream| std::io::copy(&mut stream, &mut std::io::sink()).ok().map(drop))
}

/// Starts a name service that accepts every load report.
pub fn start_name_service() -> std::io::Result<SocketAddr> {
    accept_forever(accept_reports)
}

fn accept_forever(serve: fn(TcpStream) -> Option<()>) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || serve(stream));
        }
    });
    Ok(address)
}

fn echo_calls(stream: TcpStream) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let (mut to, mut from) = (stream.try_clone().ok()?, BufReader::new(stream));
    loop {
        let mut line = String::new();
        if from.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let words: Vec<&str> = line.trim_end().split(' ').collect();
        if let ["OP", id, .., length] = words[..] {
            let mut body = vec![0; length.parse::<usize>().ok()? + 2];
            from.read_exact(&mut body).ok()?;
            to.write_all(format!("{id} DONE {}\r\n", body.len() - 2).as_bytes()).ok()?;
            to.write_all(&body).ok()?;
        }
    }
}

fn accept_reports(stream: TcpStream) -> Option<()> {
    let (mut to, mut from) = (stream.try_clone().ok()?, BufReader::new(stream));
    loop {
        HttpRequest::read(&mut from).ok()??;
        to.write_all(NO_CONTENT).ok()?;
    }
}

/// HTTP response to a load report.
pub const NO_CONTENT: &[u8] = b"HTTP/1.1 204 No Content\r\n\r\n";

/// HTTP request to the name service, with the parts that load reports use.
#[derive(Clone, Debug)]
pub struct HttpRequest {
    /// Request line with method and path.
    pub start: String,
    /// Body with the length from `Content-Length`.
    pub body: Vec<u8>,
}

impl HttpRequest {
    /// Reads one request. Returns `None` at the end of the connection, or for a request without a body.
    ///
    /// # Errors
    /// The connection breaks.
    pub fn read(from: &mut impl BufRead) -> std::io::Result<Option<HttpRequest>> {
        let (mut start, mut length, mut line) = (String::new(), 0, String::new());
        while from.read_line(&mut line)? > 2 {
            let content_length = line.strip_prefix("Content-Length: ").and_then(|n| n.trim().parse().ok());
            length = content_length.unwrap_or(length);
            if start.is_empty() {
                start.clone_from(&line);
            }
            line.clear();
        }
        if length == 0 {
            return Ok(None);
        }
        let mut body = vec![0; length];
        from.read_exact(&mut body)?;
        Ok(Some(HttpRequest { start, body }))
    }
}
