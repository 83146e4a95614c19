//! Hosts postusher dispatchers on the simulator's wire: batches on standard input, replies on standard output.
//! It decides nothing.
#![forbid(unsafe_code)]

mod host;
mod wire;

use std::io::{self, BufReader, Read, Write};
use std::process::ExitCode;

/// Reads one frame; `None` at the end of input.
fn read_frame(input: &mut impl Read) -> Result<Option<Vec<u8>>, String> {
    let mut frame = Vec::with_capacity(4096);
    input.take(4).read_to_end(&mut frame).map_err(|e| format!("reading a frame's length: {e}"))?;
    if frame.is_empty() {
        return Ok(None);
    }
    let bytes: [u8; 4] =
        frame[..].try_into().map_err(|_| "input ends inside a frame's length".to_string())?;
    let len = u32::from_be_bytes(bytes) as usize;
    if !(wire::HEADER..=wire::MAX_FRAME).contains(&len) {
        return Err(format!("frame length {len} is outside {} to {}", wire::HEADER, wire::MAX_FRAME));
    }
    input.take(len as u64 - 4).read_to_end(&mut frame).map_err(|e| format!("reading a frame: {e}"))?;
    if frame.len() < len {
        return Err(format!("input ends after {} bytes of a frame of {len}", frame.len()));
    }
    Ok(Some(frame))
}

fn run(input: &mut impl Read, output: &mut impl Write) -> Result<(), String> {
    let mut host = host::Host::default();
    while let Some(frame) = read_frame(input)? {
        let batch = wire::decode(&frame).map_err(|e| format!("malformed batch: {e}"))?;
        output
            .write_all(&host.play(batch)?)
            .and_then(|()| output.flush())
            .map_err(|e| format!("reply: {e}"))?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match run(&mut BufReader::new(io::stdin().lock()), &mut io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("postusher-simulator-adapter: {e}");
            ExitCode::FAILURE
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn outcome(mut input: &[u8]) -> Result<Vec<u8>, String> {
        let mut output = Vec::new();
        run(&mut input, &mut output).map(|()| output)
    }

    #[test]
    fn the_end_of_input_ends_cleanly_and_batches_are_answered() {
        assert_eq!(outcome(b""), Ok(Vec::new()));
        let empty = [&12u32.to_be_bytes()[..], &[0; 8]].concat();
        assert_eq!(outcome(&empty), Ok(vec![0, 0, 0, 8, 0, 0, 0, 0]));
    }

    #[test]
    fn cut_and_oversized_frames_are_named() {
        assert!(outcome(&[0, 0]).unwrap_err().contains("inside a frame's length"));
        assert!(outcome(&[0, 0, 0, 12, 1]).unwrap_err().contains("after 5 bytes of a frame of 12"));
        assert!(outcome(&[255; 4]).unwrap_err().contains("outside 12 to"));
        assert!(outcome(&[0, 0, 0, 3]).unwrap_err().contains("outside 12 to"));
    }
}
