//! Generates `src/peer/generated/` from `proto/`, with a protobuf compiler in pure Rust.
//!
//! The generated code is committed, and the build does not run this program. `--check` leaves the
//! committed code as it is and fails if it differs from what would be generated.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Protocol definitions, relative to the repository root.
const PROTO_FILES: [&str; 2] = ["proto/peer.proto", "proto/ledger.proto"];
/// Directory of the generated code, relative to the repository root.
const OUTPUT_DIR: &str = "src/peer/generated";

fn main() -> Result<ExitCode, Box<dyn std::error::Error>> {
    let is_check = std::env::args().any(|arg| arg == "--check");
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let committed = root.join(OUTPUT_DIR);
    if !is_check {
        std::fs::create_dir_all(&committed)?;
        generate(&root, &committed)?;
        return Ok(ExitCode::SUCCESS);
    }
    let scratch = root.join("target/codegen-check");
    std::fs::create_dir_all(&scratch)?;
    generate(&root, &scratch)?;
    let mut code = ExitCode::SUCCESS;
    for name in file_names(&scratch)? {
        let generated = std::fs::read(scratch.join(&name))?;
        let existing = std::fs::read(committed.join(&name)).unwrap_or_default();
        if generated != existing {
            eprintln!("{OUTPUT_DIR}/{name} is out of date with proto/; run heatherfall-codegen");
            code = ExitCode::FAILURE;
        }
    }
    Ok(code)
}

fn generate(root: &Path, output: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let files: Vec<PathBuf> = PROTO_FILES.iter().map(|file| root.join(file)).collect();
    let descriptors = protox::compile(&files, [root.join("proto")])?;
    tonic_prost_build::configure()
        .out_dir(output)
        .bytes(".")
        .build_transport(true)
        .compile_fds(descriptors)?;
    Ok(())
}

fn file_names(dir: &Path) -> std::io::Result<Vec<String>> {
    let mut names = Vec::new();
    for entry in std::fs::read_dir(dir)? {
        names.push(entry?.file_name().to_string_lossy().into_owned());
    }
    names.sort();
    Ok(names)
}
