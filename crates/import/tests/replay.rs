//! The fuzz targets' corpus replayed, and pieces of it put together at random: what must hold of any text holds.

use postusher_import::replay;
use proptest::prelude::*;

mod common;

fn corpus() -> Vec<String> {
    common::texts(&common::samples()).into_iter().map(|(_, text)| text).collect()
}

#[test]
fn corpus_is_imported_or_rejected_with_a_place() {
    for text in corpus() {
        replay::apache(&text);
        replay::mod_jk(&text);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn shuffled_corpus_lines_are_imported_or_rejected_with_a_place(picks in prop::collection::vec((any::<prop::sample::Index>(), any::<prop::sample::Index>(), 0u8..9), 1..25)) {
        let lines: Vec<String> = corpus().iter().flat_map(|t| t.lines().map(String::from).collect::<Vec<_>>()).collect();
        let mut text = String::new();
        for (line, cut, how) in picks {
            let line = line.get(&lines);
            let at = cut.index(line.len() + 1);
            match how {
                // Most lines are whole, some are cut off.
                0 if line.is_char_boundary(at) => text += &line[..at],
                1 if line.is_char_boundary(at) => text += &line[at..],
                _ => text += line,
            }
            text.push('\n');
        }
        replay::apache(&text);
        replay::mod_jk(&text);
    }
}
