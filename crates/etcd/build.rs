//! Compiles `proto/etcd.proto` with a compiler in Rust, so that a new machine needs no protoc.

fn main() -> Result<(), Box<dyn std::error::Error>> {
    println!("cargo::rerun-if-changed=proto/etcd.proto");
    let files = protox::compile(["proto/etcd.proto"], ["proto"])?;
    tonic_prost_build::configure().compile_fds(files)?;
    Ok(())
}
