//! `whinspindle-bench-adapter`: plays the decisions on the bench's wire, from standard input to standard output.

#![allow(clippy::too_many_lines, reason = "functions from before the limit, to be split")]

mod link;
mod wire;

use std::io::{self, BufReader, BufWriter, Read, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    let input = BufReader::with_capacity(1 << 16, io::stdin().lock());
    let output = BufWriter::with_capacity(1 << 16, io::stdout().lock());
    match play(input, output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("whinspindle-benchlink: {fault}");
            ExitCode::FAILURE
        }
    }
}

/// Answers batch after batch until the input ends.
fn play(mut input: impl Read, mut output: impl Write) -> Result<(), String> {
    let mut fleet = link::Fleet::default();
    let mut body = Vec::new();
    loop {
        let mut head = [0u8; 16];
        match read_full(&mut input, &mut head)? {
            0 => return Ok(()),
            16 => {}
            n => return Err(format!("batch header: {n} bytes of 16")),
        }
        let mut fields = wire::Reader::new("batch header", &head);
        let number = fields.u32("number")?;
        let now = fields.u64("clock")? / 1000;
        let length = fields.u32("length")? as usize;
        body.clear();
        let read =
            input.by_ref().take(length as u64).read_to_end(&mut body).map_err(|e| format!("input: {e}"))?;
        if read != length {
            return Err(format!("batch {number}: {read} bytes of {length}"));
        }
        let reply = fleet.batch(now, &body)?;
        let size = u32::try_from(reply.len()).map_err(|_| format!("batch {number}: reply too long"))?;
        let sent = output
            .write_all(&number.to_le_bytes())
            .and_then(|()| output.write_all(&size.to_le_bytes()))
            .and_then(|()| output.write_all(&reply))
            .and_then(|()| output.flush());
        sent.map_err(|e| format!("output: {e}"))?;
    }
}

fn read_full(input: &mut impl Read, buffer: &mut [u8]) -> Result<usize, String> {
    let mut filled = 0;
    while filled < buffer.len() {
        match input.read(&mut buffer[filled..]) {
            Ok(0) => break,
            Ok(n) => filled += n,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(format!("input: {e}")),
        }
    }
    Ok(filled)
}
