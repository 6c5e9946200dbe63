//! Connects the balancer to the bench: reads batches of events from standard input and writes decisions to
//! standard output.

mod error;
mod host;
mod instances;
mod wire;

use std::io::{self, BufReader, BufWriter, Read, Write};
use std::process::ExitCode;

use crate::error::AdapterError;
use crate::host::NANOS_PER_MICRO;
use crate::instances::Instances;

/// Bytes of the header of a batch: number, clock and length.
const HEADER_SIZE: usize = 16;
/// Buffer size of the input and the output, in bytes.
const BUFFER_SIZE: usize = 1 << 16;

fn main() -> ExitCode {
    let input = BufReader::with_capacity(BUFFER_SIZE, io::stdin().lock());
    let output = BufWriter::with_capacity(BUFFER_SIZE, io::stdout().lock());
    match run(input, output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("whinspindle-benchlink: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Answers batch after batch until the input ends.
fn run(mut input: impl Read, mut output: impl Write) -> Result<(), AdapterError> {
    let mut instances = Instances::default();
    let mut body = Vec::new();
    loop {
        let mut header = [0u8; HEADER_SIZE];
        match read_full(&mut input, &mut header)? {
            0 => return Ok(()),
            HEADER_SIZE => {}
            read => return Err(AdapterError::TruncatedHeader(read)),
        }
        let mut fields = wire::Reader::new("batch header", &header);
        let number = fields.u32("number")?;
        let now = fields.u64("clock")? / NANOS_PER_MICRO;
        let length = fields.u32("length")? as usize;
        body.clear();
        let read = input.by_ref().take(length as u64).read_to_end(&mut body).map_err(AdapterError::Input)?;
        if read != length {
            return Err(AdapterError::TruncatedBatch { number, read, length });
        }
        let reply = instances.batch(now, &body)?;
        let size = u32::try_from(reply.len()).map_err(|_| AdapterError::ReplyTooLong(number))?;
        let result = output
            .write_all(&number.to_le_bytes())
            .and_then(|()| output.write_all(&size.to_le_bytes()))
            .and_then(|()| output.write_all(&reply))
            .and_then(|()| output.flush());
        result.map_err(AdapterError::Output)?;
    }
}

/// Fills the buffer, or returns fewer bytes at the end of the input.
fn read_full(input: &mut impl Read, buffer: &mut [u8]) -> Result<usize, AdapterError> {
    let mut filled = 0;
    while filled < buffer.len() {
        match input.read(&mut buffer[filled..]) {
            Ok(0) => break,
            Ok(n) => filled += n,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(AdapterError::Input(e)),
        }
    }
    Ok(filled)
}
