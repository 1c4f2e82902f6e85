//! Compiles `proto/etcd.proto` with a compiler written in Rust, so that building does not require protoc.

fn main() -> Result<(), Box<dyn std::error::Error>> {
    println!("cargo::rerun-if-changed=proto/etcd.proto");
    let files = protox::compile(["proto/etcd.proto"], ["proto"])?;
    tonic_prost_build::configure().compile_fds(files)?;
    Ok(())
}
