//! Regenerates the committed tonic code: `cargo run --manifest-path crates/rpc/codegen/Cargo.toml`.

use std::path::Path;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let files = protox::compile([root.join("proto/tier.proto")], [root.join("proto")])?;
    tonic_prost_build::configure().out_dir(root.join("src/generated")).compile_fds(files)?;
    Ok(())
}
