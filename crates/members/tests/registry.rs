//! The client and the registry against a stand-in etcd; and the client against what is no etcd.

use std::sync::Arc;
use std::time::Duration;

use lilacquay_core::{Entry, State};
use lilacquay_etcd::api::{RangeRequest, WatchCreateRequest};
use lilacquay_etcd::{Client, Fault, Settings, Tls, User};
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

fn entry(id: &str) -> Entry {
    Entry {
        id: id.into(),
        addr: ([127, 0, 0, 1], 7001).into(),
        zone: "a".into(),
        kind: "m".into(),
        cell: 0,
        state: State::Serving,
        weight: Some(2.0),
        started_ms: 0.0,
    }
}

#[tokio::test]
async fn what_is_put_is_listed_and_what_is_drained_keeps_all_else() {
    let etcd = start(EtcdPlan::default()).await;
    let registry = registry(&etcd).await;
    let lease = registry.grant_lease(60).await.unwrap();
    assert_eq!(registry.put(&entry("box-1"), lease).await.unwrap(), 2);
    assert_eq!(registry.set_state("box-1", State::Draining).await.unwrap(), 3);
    let (revision, listed) = registry.list().await.unwrap();
    assert_eq!((revision, listed.len(), listed[0].revision, listed[0].lease), (3, 1, 3, lease));
    assert_eq!(listed[0].entry, Ok(Entry { state: State::Draining, ..entry("box-1") }));
    registry.revoke_lease(lease).await.unwrap();
    assert_eq!(registry.list().await.unwrap().1, []);
    registry.put(&entry("box-2"), 0).await.unwrap();
    registry.remove("box-2").await.unwrap();
    for error in [registry.remove("box-2").await, registry.set_state("box-2", State::Draining).await] {
        assert!(matches!(error, Err(RegistryError::NotListed(id)) if id == "box-2"));
    }
    etcd.put("junk", "{}");
    assert!(matches!(registry.set_state("junk", State::Draining).await, Err(RegistryError::Malformed(..))));
    assert!(registry.list().await.unwrap().1[0].entry.is_err());
    for bad in [Entry { weight: Some(-1.0), ..entry("b") }, Entry { id: "a b".into(), ..entry("b") }] {
        assert!(matches!(registry.put(&bad, 0).await, Err(RegistryError::Malformed(..))));
    }
}

#[tokio::test]
async fn a_drain_does_not_undo_what_another_changes_meanwhile() {
    let etcd = Arc::new(start(EtcdPlan::default()).await);
    etcd.put("box-1", r#"{"addr":"127.0.0.1:1","state":"serving"}"#);
    // Each answer is late, so that the change falls between the reading and the writing.
    etcd.set_all_faults(&EtcdFaults { late_ms: 100, ..EtcdFaults::default() });
    let one = registry(&etcd).await;
    let other = etcd.clone();
    let changed = tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(150)).await;
        other.put("box-1", r#"{"addr":"127.0.0.1:2","state":"serving"}"#);
    });
    one.set_state("box-1", State::Draining).await.unwrap();
    changed.await.unwrap();
    let listed = one.list().await.unwrap().1.remove(0).entry.unwrap();
    assert_eq!((listed.addr.port(), listed.state), (2, State::Draining));
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
async fn a_lease_that_is_not_renewed_takes_its_server_along() {
    let etcd = start(EtcdPlan::default()).await;
    let registry = registry(&etcd).await;
    let lease = registry.grant_lease(1).await.unwrap();
    registry.put(&entry("box-1"), lease).await.unwrap();
    let client = Client::connect(&settings(&etcd, "http"), 0).await.unwrap();
    let (key, range_end) = (b"/m/".to_vec(), b"/m0".to_vec());
    let asked = WatchCreateRequest { key, range_end, start_revision: 3, ..Default::default() };
    let mut watch = client.watch(asked).await.unwrap();
    assert!(watch.next().await.unwrap().created);
    assert!(registry.renew_lease(lease).await.unwrap());
    let gone = watch.next().await.unwrap();
    assert_eq!((gone.events.len(), gone.events[0].r#type), (1, 1), "a deletion");
    assert!(!registry.renew_lease(lease).await.unwrap());
}

#[tokio::test]
async fn any_endpoint_that_answers_is_used_and_all_that_fail_are_named() {
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
    let Err(RegistryError::Unreachable(why)) = Registry::connect(&settings, PREFIX).await else { panic!() };
    assert!(why.len() == 3 && why.iter().all(|why| why.contains("refused")), "{why:?}");
}

#[tokio::test]
async fn a_user_is_told_and_a_wrong_password_refused() {
    let user = ("node".to_owned(), "secret".to_owned());
    let etcd = start(EtcdPlan { user: Some(user), ..EtcdPlan::default() }).await;
    let settings = settings(&etcd, "http");
    let without = Registry::connect(&settings, PREFIX).await.unwrap();
    assert!(matches!(without.list().await, Err(RegistryError::Call(error)) if error.what.contains("token")));
    let user = |password: &str| Some(User { name: "node".into(), password: password.into() });
    let good = Settings { user: user("secret"), ..settings.clone() };
    assert_eq!(Registry::connect(&good, PREFIX).await.unwrap().list().await.unwrap().1, []);
    let wrong = Settings { user: user("guess"), ..settings };
    let Err(RegistryError::Call(error)) = Registry::connect(&wrong, PREFIX).await else { panic!() };
    assert!(error.what.contains("invalid user ID or password"));
    assert!(!format!("{good:?}").contains("secret"));
}

fn certificate(name: &str) -> CertifiedKey<rcgen::KeyPair> {
    generate_simple_self_signed([name.to_owned()]).unwrap()
}

#[tokio::test]
async fn tls_takes_the_right_ca_and_name_and_certificate() {
    let (server, client) = (certificate("etcd.example"), certificate("node"));
    let mut callers = RootCertStore::empty();
    callers.add(client.cert.der().clone()).unwrap();
    let verifier = WebPkiClientVerifier::builder(callers.into()).build().unwrap();
    let key = PrivateKeyDer::try_from(server.signing_key.serialize_der()).unwrap();
    let config = ServerConfig::builder().with_client_cert_verifier(verifier);
    let mut config = config.with_single_cert(vec![server.cert.der().clone()], key).unwrap();
    config.alpn_protocols = vec![b"h2".to_vec()];
    let etcd = start(EtcdPlan { tls: Some(config.into()), ..EtcdPlan::default() }).await;
    let pem = |one: &CertifiedKey<rcgen::KeyPair>| {
        (one.cert.pem().into_bytes(), one.signing_key.serialize_pem().into_bytes())
    };
    let right = Tls { ca: pem(&server).0, identity: Some(pem(&client)), name: Some("etcd.example".into()) };
    let with = |tls: Tls| Settings { tls: Some(tls), ..settings(&etcd, "https") };
    let good = Registry::connect(&with(right.clone()), PREFIX).await.unwrap();
    assert_eq!(good.put(&entry("box-1"), 0).await.unwrap(), 2);
    let wrong = [
        Tls { ca: pem(&client).0, ..right.clone() },
        Tls { name: Some("other.example".into()), ..right.clone() },
        Tls { identity: None, ..right.clone() },
        Tls { ca: b"no certificate".to_vec(), ..right.clone() },
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

/// Frames as an HTTP/2 server might begin with, followed by others and by junk.
fn junk(rng: &mut fastrand::Rng) -> Vec<u8> {
    let frame = |kind: u8, flags: u8, stream: u32, body: &[u8]| {
        let length = (body.len() as u32).to_be_bytes();
        [&length[1..], &[kind, flags], &stream.to_be_bytes(), body].concat()
    };
    let mut bytes = if rng.u8(..4) > 0 { frame(4, 0, 0, &[]) } else { Vec::new() };
    for _ in 0..rng.usize(..8) {
        let body: Vec<u8> = (0..rng.usize(..60)).map(|_| rng.u8(..)).collect();
        let (kind, flags, stream) = (rng.u8(..11), rng.u8(..), rng.u32(..4));
        bytes.extend(match rng.u8(..4) {
            // Headers that say 200 and grpc, then a message of a length that is a lie.
            0 => frame(1, 4, 1, b"\x88\x5f\x10application/grpc"),
            1 => frame(0, 0, 1, &[&[0, 0xff, 0xff, 0xff, 0xff][..], &body].concat()),
            2 => frame(kind, flags, stream, &body),
            _ => body,
        });
    }
    bytes
}

#[tokio::test]
async fn no_frames_panic_the_client_or_keep_it_waiting_for_what_cannot_come() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let endpoints = vec![format!("http://{}", listener.local_addr().unwrap())];
    tokio::spawn(async move {
        let mut rng = fastrand::Rng::with_seed(5);
        while let Ok((mut stream, _)) = listener.accept().await {
            let (bytes, mut first) = (junk(&mut rng), [0; 24]);
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
        let ended = tokio::time::timeout(Duration::from_secs(20), call).await.expect("an end");
        assert!(ended.is_err_and(|error| error.fault != Fault::Compacted), "call {n}");
    }
}
