//! Continuous health checks: the longest time without an answer reveals a stall of the process.

use super::ledger::Ledger;
use crate::sidecar::{encode_frame, encode_health_check, read_frame, HEALTH};
use crate::sync::lock;
use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

/// Interval between an answer and the next check.
pub(super) const CHECK_INTERVAL: Duration = Duration::from_millis(1);
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);

/// Answers every frame as a health check.
pub(super) fn serve_echo(mut from: TcpStream) -> Option<()> {
    from.set_nodelay(true).ok()?;
    loop {
        let check = read_frame(&mut from)?;
        from.write_all(&encode_frame(HEALTH, check.stream, &[0])).ok()?;
    }
}

/// Checks health repeatedly until the load is stopped or the connection closes. `is_echo` is set for the echo server.
pub(super) fn check_repeatedly(mut to: TcpStream, ledger: &Ledger, is_echo: bool) -> Option<()> {
    to.set_read_timeout(Some(ANSWER_TIMEOUT)).ok()?;
    let (mut last_answer, mut stream, mut previous_phase) = (Instant::now(), 0_u32, ledger.phase());
    while !ledger.is_stopped() {
        stream += 1;
        to.write_all(&encode_health_check(stream)).ok()?;
        let is_answered = await_answer(&mut to, stream);
        let (gap, phase) = (last_answer.elapsed(), ledger.phase());
        for phase in [previous_phase, phase] {
            let mut stats = lock(&ledger.phases[phase]);
            let longest = if is_echo { &mut stats.gap_floor } else { &mut stats.gap };
            *longest = gap.max(*longest);
        }
        if !is_answered {
            return None;
        }
        (last_answer, previous_phase) = (Instant::now(), phase);
        thread::sleep(CHECK_INTERVAL);
    }
    Some(())
}

/// Waits for the answer to a check. Returns `false` if the connection closed or timed out.
fn await_answer(from: &mut TcpStream, stream: u32) -> bool {
    loop {
        match read_frame(from) {
            Some(frame) if frame.kind == HEALTH && frame.stream == stream => return true,
            Some(_) => {}
            None => return false,
        }
    }
}
