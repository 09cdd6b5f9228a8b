//! Health checks without end: the longest time without an answer shows when a process stood still.

use super::ledger::Ledger;
use crate::sidecar::{encode_frame, encode_health_check, read_frame, HEALTH};
use crate::sync::lock;
use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

/// The pause between an answer and the next check.
pub(super) const CHECK_INTERVAL: Duration = Duration::from_millis(1);
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);

/// Answers health checks, and does nothing else.
pub(super) fn serve_echo(mut from: TcpStream) -> Option<()> {
    from.set_nodelay(true).ok()?;
    loop {
        let check = read_frame(&mut from)?;
        from.write_all(&encode_frame(HEALTH, check.stream, &[0])).ok()?;
    }
}

/// Checks health again and again, until the load ends or the connection does. `floor`: the other side is a stand-in.
pub(super) fn check_repeatedly(mut to: TcpStream, ledger: &Ledger, is_echo: bool) -> Option<()> {
    to.set_read_timeout(Some(ANSWER_TIMEOUT)).ok()?;
    let (mut last_answer, mut stream, mut phase_before) = (Instant::now(), 0_u32, ledger.phase());
    while !ledger.is_stopped() {
        stream += 1;
        to.write_all(&encode_health_check(stream)).ok()?;
        let answered = await_answer(&mut to, stream);
        let (gap, phase) = (last_answer.elapsed(), ledger.phase());
        for phase in [phase_before, phase] {
            let mut stats = lock(&ledger.phases[phase]);
            let longest = if is_echo { &mut stats.gap_floor } else { &mut stats.gap };
            *longest = gap.max(*longest);
        }
        if !answered {
            return None;
        }
        (last_answer, phase_before) = (Instant::now(), phase);
        thread::sleep(CHECK_INTERVAL);
    }
    Some(())
}

fn await_answer(from: &mut TcpStream, stream: u32) -> bool {
    loop {
        match read_frame(from) {
            Some(frame) if frame.kind == HEALTH && frame.stream == stream => return true,
            Some(_) => {}
            None => return false,
        }
    }
}
