use super::run;

fn outcome(mut input: &[u8]) -> Result<Vec<u8>, String> {
    let mut output = Vec::new();
    run(&mut input, &mut output).map(|()| output).map_err(|error| error.to_string())
}

#[test]
fn end_of_input_is_clean_and_batches_are_answered() {
    assert_eq!(outcome(b""), Ok(Vec::new()));
    let empty = [&12u32.to_be_bytes()[..], &[0; 8]].concat();
    assert_eq!(outcome(&empty), Ok(vec![0, 0, 0, 8, 0, 0, 0, 0]));
}

#[test]
fn truncated_and_oversized_frames_are_errors() {
    assert!(outcome(&[0, 0]).unwrap_err().contains("inside a frame's length"));
    assert!(outcome(&[0, 0, 0, 12, 1]).unwrap_err().contains("after 5 bytes of a frame of 12"));
    assert!(outcome(&[255; 4]).unwrap_err().contains("outside 12 to"));
    assert!(outcome(&[0, 0, 0, 3]).unwrap_err().contains("outside 12 to"));
}
