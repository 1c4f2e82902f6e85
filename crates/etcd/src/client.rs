//! A client of one endpoint. It tries nothing twice: what to do about a failed call is its user's business.

use std::fmt;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tonic::metadata::{Ascii, MetadataValue};
use tonic::transport::{Certificate, Channel, ClientTlsConfig, Endpoint, Identity};
use tonic::{Code, Request, Response, Status, Streaming};

use crate::api::auth_client::AuthClient;
use crate::api::kv_client::KvClient;
use crate::api::lease_client::LeaseClient;
use crate::api::watch_client::WatchClient;
use crate::api::watch_request::RequestUnion;
use crate::api::{
    AuthenticateRequest, DeleteRangeRequest, DeleteRangeResponse, LeaseGrantRequest, LeaseKeepAliveRequest,
    LeaseRevokeRequest, PutRequest, PutResponse, RangeRequest, RangeResponse, TxnRequest, TxnResponse,
    WatchCreateRequest, WatchProgressRequest, WatchRequest, WatchResponse,
};

/// A connection must stand, with its TLS, after this time.
const CONNECT: Duration = Duration::from_secs(1);
/// Larger answers are not read.
const LARGEST: usize = 4 << 20;
/// The key of a user's token among a call's metadata.
const TOKEN: &str = "token";

/// How to reach a cluster.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Settings {
    /// Addresses as `http://127.0.0.1:2379`, or `https://` with TLS.
    pub endpoints: Vec<String>,
    /// For endpoints with `https://`.
    pub tls: Option<Tls>,
    /// Who calls, if the cluster asks for that.
    pub user: Option<User>,
}

/// TLS, in PEM.
#[derive(Clone, PartialEq, Default)]
pub struct Tls {
    /// Who may have signed the endpoints' certificates.
    pub ca: Vec<u8>,
    /// The caller's certificate and key, if the cluster asks for them.
    pub identity: Option<(Vec<u8>, Vec<u8>)>,
    /// The name in the endpoints' certificates, if it is not the address's.
    pub name: Option<String>,
}

/// A user of etcd.
#[derive(Clone, PartialEq)]
pub struct User {
    /// Its name.
    pub name: String,
    /// Its password.
    pub password: String,
}

impl fmt::Debug for Tls {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Tls").field("name", &self.name).finish_non_exhaustive()
    }
}

impl fmt::Debug for User {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("User").field("name", &self.name).finish_non_exhaustive()
    }
}

/// What kind of failure it was.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// No connection: the call was not sent.
    Unreached,
    /// The revision asked for has been compacted.
    Compacted,
    /// The answer was larger than is read.
    TooLarge,
    /// Anything else; a write may have been done.
    Failed,
}

/// A failed call.
#[derive(Debug, Clone)]
pub struct Error {
    /// Its kind.
    pub fault: Fault,
    /// In words.
    pub what: String,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.what)
    }
}

impl std::error::Error for Error {}

impl From<Status> for Error {
    fn from(status: Status) -> Self {
        let message = status.message();
        let fault = match status.code() {
            // Both have this code: etcd's own answer, and a message that the client would not decode.
            Code::OutOfRange if message.contains("compacted") => Fault::Compacted,
            Code::OutOfRange if message.contains("too large") => Fault::TooLarge,
            _ => Fault::Failed,
        };
        Error { fault, what: format!("{}: {message}", status.code()) }
    }
}

impl From<tonic::transport::Error> for Error {
    fn from(error: tonic::transport::Error) -> Self {
        // Its own words say only 'transport error'.
        let mut what = error.to_string();
        let mut cause = std::error::Error::source(&error);
        while let Some(error) = cause {
            what = error.to_string();
            cause = error.source();
        }
        Error { fault: Fault::Unreached, what }
    }
}

/// A connection to one endpoint.
#[derive(Clone)]
pub struct Client {
    channel: Channel,
    token: Option<MetadataValue<Ascii>>,
}

impl Settings {
    fn endpoint(&self, number: usize) -> Result<Endpoint, Error> {
        let at = self.endpoints.get(number).cloned().unwrap_or_default();
        let wrong = |what: String| Error { fault: Fault::Unreached, what };
        let endpoint = Endpoint::from_shared(at).map_err(|error| wrong(error.to_string()))?;
        let endpoint = endpoint.connect_timeout(CONNECT).tcp_nodelay(true);
        let Some(tls) = &self.tls else { return Ok(endpoint) };
        let mut config = ClientTlsConfig::new().ca_certificate(Certificate::from_pem(&tls.ca));
        if let Some((certificate, key)) = &tls.identity {
            config = config.identity(Identity::from_pem(certificate, key));
        }
        if let Some(name) = &tls.name {
            config = config.domain_name(name);
        }
        Ok(endpoint.tls_config(config)?)
    }
}

impl Client {
    /// Connects to the endpoint of this number, and tells it who calls.
    ///
    /// # Errors
    /// If there is no such endpoint, it is not reached, or it does not take the user.
    pub async fn connect(settings: &Settings, endpoint: usize) -> Result<Client, Error> {
        let channel = settings.endpoint(endpoint)?.connect().await?;
        let mut client = Client { channel, token: None };
        if let Some(User { name, password }) = settings.user.clone() {
            let asked = AuthenticateRequest { name, password };
            let told = AuthClient::new(client.channel.clone()).authenticate(asked).await?.into_inner();
            let token = told.token.parse().map_err(|_| Status::internal("a token that can't be sent"))?;
            client.token = Some(token);
        }
        Ok(client)
    }

    fn request<T>(&self, message: T) -> Request<T> {
        let mut request = Request::new(message);
        if let Some(token) = &self.token {
            request.metadata_mut().insert(TOKEN, token.clone());
        }
        request
    }

    fn kv(&self) -> KvClient<Channel> {
        KvClient::new(self.channel.clone()).max_decoding_message_size(LARGEST)
    }

    fn lease(&self) -> LeaseClient<Channel> {
        LeaseClient::new(self.channel.clone())
    }

    /// Reads keys.
    ///
    /// # Errors
    /// As the call's.
    pub async fn range(&self, asked: RangeRequest) -> Result<RangeResponse, Error> {
        Ok(self.kv().range(self.request(asked)).await.map(Response::into_inner)?)
    }

    /// Writes a key.
    ///
    /// # Errors
    /// As the call's.
    pub async fn put(&self, asked: PutRequest) -> Result<PutResponse, Error> {
        Ok(self.kv().put(self.request(asked)).await.map(Response::into_inner)?)
    }

    /// Deletes keys.
    ///
    /// # Errors
    /// As the call's.
    pub async fn delete(&self, asked: DeleteRangeRequest) -> Result<DeleteRangeResponse, Error> {
        Ok(self.kv().delete_range(self.request(asked)).await.map(Response::into_inner)?)
    }

    /// Does several operations in one revision, if all comparisons hold.
    ///
    /// # Errors
    /// As the call's.
    pub async fn txn(&self, asked: TxnRequest) -> Result<TxnResponse, Error> {
        Ok(self.kv().txn(self.request(asked)).await.map(Response::into_inner)?)
    }

    /// Takes a lease of so many seconds; tells its id.
    ///
    /// # Errors
    /// As the call's, or in etcd's words.
    pub async fn grant(&self, seconds: i64) -> Result<i64, Error> {
        let asked = self.request(LeaseGrantRequest { ttl: seconds, id: 0 });
        let told = self.lease().lease_grant(asked).await?.into_inner();
        match told.error.is_empty() {
            true => Ok(told.id),
            false => Err(Error { fault: Fault::Failed, what: told.error }),
        }
    }

    /// Ends a lease, and with it all keys that have it.
    ///
    /// # Errors
    /// As the call's.
    pub async fn revoke(&self, lease: i64) -> Result<(), Error> {
        self.lease().lease_revoke(self.request(LeaseRevokeRequest { id: lease })).await?;
        Ok(())
    }

    /// Renews a lease; tells the seconds that it has from now, 0 if it is gone.
    ///
    /// # Errors
    /// As the call's.
    pub async fn renew(&self, lease: i64) -> Result<i64, Error> {
        let asked = tokio_stream::once(LeaseKeepAliveRequest { id: lease });
        let mut told = self.lease().lease_keep_alive(self.request(asked)).await?.into_inner();
        Ok(told.message().await?.map_or(0, |told| told.ttl))
    }

    /// Opens a stream with one watch.
    ///
    /// # Errors
    /// As the call's.
    pub async fn watch(&self, asked: WatchCreateRequest) -> Result<WatchStream, Error> {
        let (to, orders) = mpsc::channel(4);
        let create = WatchRequest { request_union: Some(RequestUnion::CreateRequest(asked)) };
        to.try_send(create).map_err(|_| Status::internal("no room in a new stream"))?;
        let mut client = WatchClient::new(self.channel.clone()).max_decoding_message_size(LARGEST);
        let answers = client.watch(self.request(ReceiverStream::new(orders))).await?.into_inner();
        Ok(WatchStream { to, answers })
    }
}

/// An open stream of a watch. Dropped, it ends.
pub struct WatchStream {
    to: mpsc::Sender<WatchRequest>,
    answers: Streaming<WatchResponse>,
}

impl WatchStream {
    /// Where to ask how far the watch is; asking never waits.
    pub fn asker(&self) -> Asker {
        Asker { to: self.to.clone() }
    }

    /// The next answer.
    ///
    /// # Errors
    /// As the call's; also if the endpoint ends the stream.
    pub async fn next(&mut self) -> Result<WatchResponse, Error> {
        let ended = || Error { fault: Fault::Failed, what: "the stream has ended".into() };
        self.answers.message().await?.ok_or_else(ended)
    }
}

/// Asks how far a watch is.
pub struct Asker {
    to: mpsc::Sender<WatchRequest>,
}

impl Asker {
    /// Asks. Where no more can be asked, an answer is owed already.
    pub fn ask(&self) {
        let asked = RequestUnion::ProgressRequest(WatchProgressRequest {});
        let _ = self.to.try_send(WatchRequest { request_union: Some(asked) });
    }
}
