//! The client and the registry against a simulated etcd, and the client against a peer that is not etcd.

use std::sync::Arc;
use std::time::Duration;

use lilacquay_core::{ServerEntry, ServerState};
use lilacquay_etcd::api::{RangeRequest, WatchCreateRequest};
use lilacquay_etcd::{Client, ErrorKind, Settings, Tls, User};
use lilacquay_fleet::Clock;
use lilacquay_fleet::etcd::{Etcd, EtcdFaults, EtcdPlan};
use lilacquay_fleet::record::Log;
use lilacquay_members::etcd::registry::{Registry, RegistryError};
use rcgen::{CertifiedKey, generate_simple_self_signed};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio_rustls::rustls::pki_types::PrivateKeyDer;
use tokio_rustls::rustls::server::WebPkiClientVerifier;
use tokio_rustls::rustls::{RootCertStore, ServerConfig};

const PREFIX: &str = "/m/";

async fn start(plan: EtcdPlan) -> Etcd {
    let plan = EtcdPlan { endpoints: plan.endpoints.max(1), prefix: PREFIX.into(), ..plan };
    Etcd::start(plan, Log::new(Clock::default(), false)).await.unwrap()
}

fn settings(etcd: &Etcd, scheme: &str) -> Settings {
    let endpoints = etcd.endpoints.iter().map(|addr| format!("{scheme}://{addr}")).collect();
    Settings { endpoints, ..Settings::default() }
}

async fn registry(etcd: &Etcd) -> Registry {
    Registry::connect(&settings(etcd, "http"), PREFIX).await.unwrap()
}

fn entry(id: &str) -> ServerEntry {
    ServerEntry {
        id: id.into(),
        addr: ([127, 0, 0, 1], 7001).into(),
        zone: "a".into(),
        kind: "m".into(),
        cell: 0,
        state: ServerState::Serving,
        weight: Some(2.0),
        started_ms: 0.0,
    }
}

#[tokio::test]
async fn a_put_server_is_listed_and_a_drain_changes_only_its_state() {
    let etcd = start(EtcdPlan::default()).await;
    let registry = registry(&etcd).await;
    let lease = registry.grant_lease(60).await.unwrap();
    assert_eq!(registry.put(&entry("box-1"), lease).await.unwrap(), 2);
    assert_eq!(registry.set_state("box-1", ServerState::Draining).await.unwrap(), 3);
    let (revision, listed) = registry.list().await.unwrap();
    assert_eq!((revision, listed.len(), listed[0].revision, listed[0].lease), (3, 1, 3, lease));
    assert_eq!(listed[0].entry, Ok(ServerEntry { state: ServerState::Draining, ..entry("box-1") }));
    registry.revoke_lease(lease).await.unwrap();
    assert_eq!(registry.list().await.unwrap().1, []);
    registry.put(&entry("box-2"), 0).await.unwrap();
    registry.remove("box-2").await.unwrap();
    for error in [registry.remove("box-2").await, registry.set_state("box-2", ServerState::Draining).await] {
        assert!(matches!(error, Err(RegistryError::NotListed(id)) if id == "box-2"));
    }
    etcd.put("junk", "{}");
    assert!(matches!(
        registry.set_state("junk", ServerState::Draining).await,
        Err(RegistryError::Malformed(..))
    ));
    assert!(registry.list().await.unwrap().1[0].entry.is_err());
    for bad in
        [ServerEntry { weight: Some(-1.0), ..entry("b") }, ServerEntry { id: "a b".into(), ..entry("b") }]
    {
        assert!(matches!(registry.put(&bad, 0).await, Err(RegistryError::Malformed(..))));
    }
}

#[tokio::test]
async fn a_drain_does_not_overwrite_a_concurrent_change() {
    let etcd = Arc::new(start(EtcdPlan::default()).await);
    etcd.put("box-1", r#"{"addr":"127.0.0.1:1","state":"serving"}"#);
    // Every response is delayed, so that the other change falls between the read and the write.
    etcd.set_all_faults(&EtcdFaults { late_ms: 100, ..EtcdFaults::default() });
    let registry = registry(&etcd).await;
    let other_writer = etcd.clone();
    let changed = tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(150)).await;
        other_writer.put("box-1", r#"{"addr":"127.0.0.1:2","state":"serving"}"#);
    });
    registry.set_state("box-1", ServerState::Draining).await.unwrap();
    changed.await.unwrap();
    let listed = registry.list().await.unwrap().1.remove(0).entry.unwrap();
    assert_eq!((listed.addr.port(), listed.state), (2, ServerState::Draining));
}

#[tokio::test]
async fn a_long_list_is_read_in_pages_at_one_revision() {
    let etcd = start(EtcdPlan::default()).await;
    for n in 0..1201 {
        etcd.put(&format!("box-{n:04}"), r#"{"addr":"127.0.0.1:1","state":"serving"}"#);
    }
    let (revision, listed) = registry(&etcd).await.list().await.unwrap();
    assert_eq!((revision, listed.len()), (1202, 1201));
    assert!(listed.is_sorted_by(|a, b| a.id < b.id));
}

#[tokio::test]
async fn an_expired_lease_removes_its_server() {
    let etcd = start(EtcdPlan::default()).await;
    let registry = registry(&etcd).await;
    let lease = registry.grant_lease(1).await.unwrap();
    registry.put(&entry("box-1"), lease).await.unwrap();
    let client = Client::connect(&settings(&etcd, "http"), 0).await.unwrap();
    let (key, range_end) = (b"/m/".to_vec(), b"/m0".to_vec());
    let request = WatchCreateRequest { key, range_end, start_revision: 3, ..Default::default() };
    let mut watch = client.watch(request).await.unwrap();
    assert!(watch.next().await.unwrap().created);
    assert!(registry.renew_lease(lease).await.unwrap());
    let removal = watch.next().await.unwrap();
    assert_eq!((removal.events.len(), removal.events[0].r#type), (1, 1), "a deletion");
    assert!(!registry.renew_lease(lease).await.unwrap());
}

#[tokio::test]
async fn a_reachable_endpoint_is_used_and_all_unreachable_ones_are_named() {
    let etcd = start(EtcdPlan { endpoints: 3, ..EtcdPlan::default() }).await;
    let refuse = EtcdFaults { refuse: true, ..EtcdFaults::default() };
    etcd.set_faults(0, refuse.clone());
    etcd.set_faults(1, refuse.clone());
    while tokio::net::TcpStream::connect(etcd.endpoints[1]).await.is_ok() {}
    let settings = settings(&etcd, "http");
    let registry = Registry::connect(&settings, PREFIX).await.unwrap();
    assert_eq!(registry.endpoint, settings.endpoints[2]);
    etcd.set_faults(2, refuse);
    while tokio::net::TcpStream::connect(etcd.endpoints[2]).await.is_ok() {}
    let Err(RegistryError::Unreachable(reasons)) = Registry::connect(&settings, PREFIX).await else {
        panic!()
    };
    assert!(reasons.len() == 3 && reasons.iter().all(|reason| reason.contains("refused")), "{reasons:?}");
}

#[tokio::test]
async fn a_user_is_authenticated_and_a_wrong_password_rejected() {
    let user = ("node".to_owned(), "secret".to_owned());
    let etcd = start(EtcdPlan { user: Some(user), ..EtcdPlan::default() }).await;
    let settings = settings(&etcd, "http");
    let unauthenticated = Registry::connect(&settings, PREFIX).await.unwrap();
    assert!(
        matches!(unauthenticated.list().await, Err(RegistryError::Call(error)) if error.message.contains("token"))
    );
    let user = |password: &str| Some(User { name: "node".into(), password: password.into() });
    let good = Settings { user: user("secret"), ..settings.clone() };
    assert_eq!(Registry::connect(&good, PREFIX).await.unwrap().list().await.unwrap().1, []);
    let wrong = Settings { user: user("guess"), ..settings };
    let Err(RegistryError::Call(error)) = Registry::connect(&wrong, PREFIX).await else { panic!() };
    assert!(error.message.contains("invalid user ID or password"));
    assert!(!format!("{good:?}").contains("secret"));
}

fn certificate(name: &str) -> CertifiedKey<rcgen::KeyPair> {
    generate_simple_self_signed([name.to_owned()]).unwrap()
}

#[tokio::test]
async fn tls_requires_the_right_ca_server_name_and_client_certificate() {
    let (server, client) = (certificate("etcd.example"), certificate("node"));
    let mut client_roots = RootCertStore::empty();
    client_roots.add(client.cert.der().clone()).unwrap();
    let verifier = WebPkiClientVerifier::builder(client_roots.into()).build().unwrap();
    let key = PrivateKeyDer::try_from(server.signing_key.serialize_der()).unwrap();
    let config = ServerConfig::builder().with_client_cert_verifier(verifier);
    let mut config = config.with_single_cert(vec![server.cert.der().clone()], key).unwrap();
    config.alpn_protocols = vec![b"h2".to_vec()];
    let etcd = start(EtcdPlan { tls: Some(config.into()), ..EtcdPlan::default() }).await;
    let pem = |certified: &CertifiedKey<rcgen::KeyPair>| {
        (certified.cert.pem().into_bytes(), certified.signing_key.serialize_pem().into_bytes())
    };
    let valid = Tls { ca: pem(&server).0, identity: Some(pem(&client)), name: Some("etcd.example".into()) };
    let with = |tls: Tls| Settings { tls: Some(tls), ..settings(&etcd, "https") };
    let good = Registry::connect(&with(valid.clone()), PREFIX).await.unwrap();
    assert_eq!(good.put(&entry("box-1"), 0).await.unwrap(), 2);
    let wrong = [
        Tls { ca: pem(&client).0, ..valid.clone() },
        Tls { name: Some("other.example".into()), ..valid.clone() },
        Tls { identity: None, ..valid.clone() },
        Tls { ca: b"no certificate".to_vec(), ..valid.clone() },
    ];
    for tls in wrong {
        let listed = match Registry::connect(&with(tls.clone()), PREFIX).await {
            Ok(registry) => registry.list().await.map(drop),
            Err(error) => Err(error),
        };
        assert!(listed.is_err(), "{tls:?}");
    }
    let plain = Registry::connect(&settings(&etcd, "http"), PREFIX).await;
    let listed = match plain {
        Ok(registry) => registry.list().await.map(drop),
        Err(error) => Err(error),
    };
    assert!(listed.is_err(), "without TLS");
}

/// Frames with which an HTTP/2 server might start, followed by other frames and random bytes.
fn random_frames(rng: &mut fastrand::Rng) -> Vec<u8> {
    let frame = |kind: u8, flags: u8, stream: u32, body: &[u8]| {
        let length = (body.len() as u32).to_be_bytes();
        [&length[1..], &[kind, flags], &stream.to_be_bytes(), body].concat()
    };
    let mut bytes = if rng.u8(..4) > 0 { frame(4, 0, 0, &[]) } else { Vec::new() };
    for _ in 0..rng.usize(..8) {
        let body: Vec<u8> = (0..rng.usize(..60)).map(|_| rng.u8(..)).collect();
        let (kind, flags, stream) = (rng.u8(..11), rng.u8(..), rng.u32(..4));
        bytes.extend(match rng.u8(..4) {
            // Headers with status 200 and the gRPC content type, then a message with a wrong length.
            0 => frame(1, 4, 1, b"\x88\x5f\x10application/grpc"),
            1 => frame(0, 0, 1, &[&[0, 0xff, 0xff, 0xff, 0xff][..], &body].concat()),
            2 => frame(kind, flags, stream, &body),
            _ => body,
        });
    }
    bytes
}

#[tokio::test]
async fn invalid_frames_cause_no_panic_and_no_endless_wait() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let endpoints = vec![format!("http://{}", listener.local_addr().unwrap())];
    tokio::spawn(async move {
        let mut rng = fastrand::Rng::with_seed(5);
        while let Ok((mut stream, _)) = listener.accept().await {
            let (bytes, mut first) = (random_frames(&mut rng), [0; 24]);
            tokio::spawn(async move {
                let _ = stream.read_exact(&mut first).await;
                let _ = stream.write_all(&bytes).await;
                let _ = stream.shutdown().await;
                let _ = stream.read_to_end(&mut Vec::new()).await;
            });
        }
    });
    let settings = Settings { endpoints, ..Settings::default() };
    for n in 0..300 {
        let call = async {
            let client = Client::connect(&settings, 0).await?;
            match n % 2 {
                0 => client.range(RangeRequest::default()).await.map(drop),
                _ => client.watch(WatchCreateRequest::default()).await?.next().await.map(drop),
            }
        };
        let ended = tokio::time::timeout(Duration::from_secs(20), call).await.expect("the call ends");
        assert!(ended.is_err_and(|error| error.kind != ErrorKind::Compacted), "call {n}");
    }
}
