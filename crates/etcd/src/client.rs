//! A client of one etcd endpoint. It does not retry: failed calls are returned to the caller.

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

/// Timeout for establishing a connection, including the TLS handshake.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum size of a response in bytes; larger ones fail with [`ErrorKind::TooLarge`].
const MAX_RESPONSE_BYTES: usize = 4 << 20;
/// Metadata key that carries the authentication token of a call.
const TOKEN_KEY: &str = "token";

/// Connection settings of a cluster.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Settings {
    /// Endpoint URLs such as `http://127.0.0.1:2379`, or `https://` with TLS.
    pub endpoints: Vec<String>,
    /// TLS settings for `https://` endpoints.
    pub tls: Option<Tls>,
    /// Credentials, if the cluster requires authentication.
    pub user: Option<User>,
}

/// TLS settings; certificates and keys are in PEM.
#[derive(Clone, PartialEq, Default)]
pub struct Tls {
    /// Certificate authorities trusted to sign the endpoints' certificates.
    pub ca: Vec<u8>,
    /// Client certificate and key, if the cluster requires them.
    pub identity: Option<(Vec<u8>, Vec<u8>)>,
    /// Server name in the endpoints' certificates, if it differs from the host of the URL.
    pub name: Option<String>,
}

/// Credentials of an etcd user.
#[derive(Clone, PartialEq)]
pub struct User {
    /// User name.
    pub name: String,
    /// Password, left out of debug output.
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

/// Kind of a failed call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ErrorKind {
    /// There was no connection, so the call was not sent.
    Unreachable,
    /// The requested revision has been compacted.
    Compacted,
    /// The response exceeded the maximum size.
    TooLarge,
    /// Any other failure; a write may have been applied.
    Other,
}

/// A failed call.
#[derive(Debug, Clone)]
pub struct Error {
    /// Kind of the failure.
    pub kind: ErrorKind,
    /// Description of the failure.
    pub message: String,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl std::error::Error for Error {}

impl From<Status> for Error {
    fn from(status: Status) -> Self {
        let message = status.message();
        let kind = match status.code() {
            // Two failures have this code: etcd's own response, and a message too large for the client to decode.
            Code::OutOfRange if message.contains("compacted") => ErrorKind::Compacted,
            Code::OutOfRange if message.contains("too large") => ErrorKind::TooLarge,
            _ => ErrorKind::Other,
        };
        Error { kind, message: format!("{}: {message}", status.code()) }
    }
}

impl From<tonic::transport::Error> for Error {
    fn from(error: tonic::transport::Error) -> Self {
        // The outermost error says only 'transport error'; the innermost cause is reported.
        let mut message = error.to_string();
        let mut cause = std::error::Error::source(&error);
        while let Some(error) = cause {
            message = error.to_string();
            cause = error.source();
        }
        Error { kind: ErrorKind::Unreachable, message }
    }
}

/// A connection to one endpoint.
#[derive(Clone)]
pub struct Client {
    channel: Channel,
    token: Option<MetadataValue<Ascii>>,
}

impl Settings {
    fn endpoint(&self, index: usize) -> Result<Endpoint, Error> {
        let url = self.endpoints.get(index).cloned().unwrap_or_default();
        let invalid = |message: String| Error { kind: ErrorKind::Unreachable, message };
        let endpoint = Endpoint::from_shared(url).map_err(|error| invalid(error.to_string()))?;
        let endpoint = endpoint.connect_timeout(CONNECT_TIMEOUT).tcp_nodelay(true);
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
    /// Connects to the endpoint at this index, and authenticates if the settings name a user.
    ///
    /// # Errors
    /// If there is no such endpoint, it can't be reached, or it rejects the user.
    pub async fn connect(settings: &Settings, endpoint: usize) -> Result<Client, Error> {
        let channel = settings.endpoint(endpoint)?.connect().await?;
        let mut client = Client { channel, token: None };
        if let Some(User { name, password }) = settings.user.clone() {
            let request = AuthenticateRequest { name, password };
            let response = AuthClient::new(client.channel.clone()).authenticate(request).await?.into_inner();
            let token = response
                .token
                .parse()
                .map_err(|_| Status::internal("the token is not valid call metadata"))?;
            client.token = Some(token);
        }
        Ok(client)
    }

    fn request<T>(&self, message: T) -> Request<T> {
        let mut request = Request::new(message);
        if let Some(token) = &self.token {
            request.metadata_mut().insert(TOKEN_KEY, token.clone());
        }
        request
    }

    fn kv(&self) -> KvClient<Channel> {
        KvClient::new(self.channel.clone()).max_decoding_message_size(MAX_RESPONSE_BYTES)
    }

    fn lease(&self) -> LeaseClient<Channel> {
        LeaseClient::new(self.channel.clone())
    }

    /// Reads keys.
    ///
    /// # Errors
    /// If the call fails.
    pub async fn range(&self, request: RangeRequest) -> Result<RangeResponse, Error> {
        Ok(self.kv().range(self.request(request)).await.map(Response::into_inner)?)
    }

    /// Writes a key.
    ///
    /// # Errors
    /// If the call fails.
    pub async fn put(&self, request: PutRequest) -> Result<PutResponse, Error> {
        Ok(self.kv().put(self.request(request)).await.map(Response::into_inner)?)
    }

    /// Deletes keys.
    ///
    /// # Errors
    /// If the call fails.
    pub async fn delete(&self, request: DeleteRangeRequest) -> Result<DeleteRangeResponse, Error> {
        Ok(self.kv().delete_range(self.request(request)).await.map(Response::into_inner)?)
    }

    /// Applies several operations in one revision if all comparisons succeed.
    ///
    /// # Errors
    /// If the call fails.
    pub async fn txn(&self, request: TxnRequest) -> Result<TxnResponse, Error> {
        Ok(self.kv().txn(self.request(request)).await.map(Response::into_inner)?)
    }

    /// Grants a lease with a TTL in seconds and returns its id.
    ///
    /// # Errors
    /// If the call fails, or etcd reports an error in its response.
    pub async fn grant_lease(&self, seconds: i64) -> Result<i64, Error> {
        let request = self.request(LeaseGrantRequest { ttl: seconds, id: 0 });
        let response = self.lease().lease_grant(request).await?.into_inner();
        match response.error.is_empty() {
            true => Ok(response.id),
            false => Err(Error { kind: ErrorKind::Other, message: response.error }),
        }
    }

    /// Revokes a lease, which deletes all keys attached to it.
    ///
    /// # Errors
    /// If the call fails.
    pub async fn revoke_lease(&self, lease: i64) -> Result<(), Error> {
        self.lease().lease_revoke(self.request(LeaseRevokeRequest { id: lease })).await?;
        Ok(())
    }

    /// Renews a lease and returns its remaining seconds, 0 if it has expired.
    ///
    /// # Errors
    /// If the call fails.
    pub async fn renew_lease(&self, lease: i64) -> Result<i64, Error> {
        let request = tokio_stream::once(LeaseKeepAliveRequest { id: lease });
        let mut responses = self.lease().lease_keep_alive(self.request(request)).await?.into_inner();
        Ok(responses.message().await?.map_or(0, |response| response.ttl))
    }

    /// Opens a stream with one watch.
    ///
    /// # Errors
    /// If the call fails.
    pub async fn watch(&self, request: WatchCreateRequest) -> Result<WatchStream, Error> {
        let (requests, outgoing) = mpsc::channel(4);
        let create = WatchRequest { request_union: Some(RequestUnion::CreateRequest(request)) };
        requests.try_send(create).map_err(|_| Status::internal("the queue of a new watch stream is full"))?;
        let mut client = WatchClient::new(self.channel.clone()).max_decoding_message_size(MAX_RESPONSE_BYTES);
        let responses = client.watch(self.request(ReceiverStream::new(outgoing))).await?.into_inner();
        Ok(WatchStream { requests, responses })
    }
}

/// An open watch stream. Dropping it ends the watch.
pub struct WatchStream {
    requests: mpsc::Sender<WatchRequest>,
    responses: Streaming<WatchResponse>,
}

impl WatchStream {
    /// A handle for requesting progress notifications, which never blocks.
    pub fn progress_requester(&self) -> ProgressRequester {
        ProgressRequester { requests: self.requests.clone() }
    }

    /// The next response.
    ///
    /// # Errors
    /// If the call fails, or the endpoint ends the stream.
    pub async fn next(&mut self) -> Result<WatchResponse, Error> {
        let ended = || Error { kind: ErrorKind::Other, message: "the stream has ended".into() };
        self.responses.message().await?.ok_or_else(ended)
    }
}

/// Requests progress notifications, which tell up to which revision a watch has delivered all events.
pub struct ProgressRequester {
    requests: mpsc::Sender<WatchRequest>,
}

impl ProgressRequester {
    /// Requests a notification. If the queue is full, one has been requested already.
    pub fn request_progress(&self) {
        let request = RequestUnion::ProgressRequest(WatchProgressRequest {});
        let _ = self.requests.try_send(WatchRequest { request_union: Some(request) });
    }
}
