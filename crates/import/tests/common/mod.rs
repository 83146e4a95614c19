//! The samples, for the tests that run over them.

use std::path::{Path, PathBuf};

/// Where the samples lie.
pub fn samples() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("samples")
}

/// All files below a folder, in order, each with its text.
pub fn texts(folder: &Path) -> Vec<(PathBuf, String)> {
    let (mut next, mut all) = (vec![folder.to_path_buf()], Vec::new());
    while let Some(at) = next.pop() {
        for entry in std::fs::read_dir(at).unwrap() {
            let path = entry.unwrap().path();
            if path.is_dir() {
                next.push(path);
            } else {
                let text = std::fs::read_to_string(&path).unwrap();
                all.push((path, text));
            }
        }
    }
    all.sort();
    all
}
