//! A bare relay: for each client a connection to one server, and bytes copied both ways. What a proxy can't do
//! without. `relay SERVER` listens on a free port of loopback and says which.

use std::error::Error;
use std::net::{Ipv4Addr, SocketAddr};

use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream};

fn main() -> Result<(), Box<dyn Error>> {
    let server: SocketAddr = std::env::args().nth(1).ok_or("usage: relay SERVER")?.parse()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        eprintln!("listening on {}", listener.local_addr()?);
        loop {
            let (client, _) = listener.accept().await?;
            tokio::spawn(relay(client, server));
        }
    })
}

async fn relay(mut client: TcpStream, server: SocketAddr) -> std::io::Result<()> {
    let mut server = TcpStream::connect(server).await?;
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    copy_bidirectional(&mut client, &mut server).await?;
    Ok(())
}
