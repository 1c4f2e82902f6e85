//! The list for tools that write it: reads, puts, drains and removes servers.

use std::fmt;
use std::time::Duration;

use lilacquay_core::{ServerEntry, ServerState};
use lilacquay_etcd::api::compare::{CompareResult, CompareTarget, TargetUnion};
use lilacquay_etcd::api::request_op::Request;
use lilacquay_etcd::api::{
    Compare, DeleteRangeRequest, KeyValue, PutRequest, RangeRequest, RequestOp, TxnRequest,
};
use lilacquay_etcd::{Client, Error, ErrorKind, Settings, prefix_range_end};
use tokio::time::timeout;

use super::layout::{self, Malformed};

/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Number of keys read per call.
const PAGE_SIZE: i64 = 500;
/// Maximum number of attempts of a change that conflicts with concurrent changes.
const MAX_ATTEMPTS: usize = 5;

/// Why the list could not be read or written.
#[derive(Debug)]
pub enum RegistryError {
    /// No endpoint could be reached, so nothing was sent. Holds the reason for each endpoint.
    Unreachable(Vec<String>),
    /// A call failed; a write may have been applied.
    Call(Error),
    /// No response arrived in time; a write may have been applied.
    Timeout,
    /// The server is not in the list.
    NotListed(String),
    /// The value of this server, or its id, is malformed.
    Malformed(String, Malformed),
    /// Concurrent changes to the server made all attempts fail.
    Contended(String),
}

impl fmt::Display for RegistryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RegistryError::Unreachable(reasons) => {
                write!(f, "no endpoint can be reached: {}", reasons.join("; "))
            }
            RegistryError::Call(error) => write!(f, "{error}"),
            RegistryError::Timeout => {
                write!(
                    f,
                    "no response within {} s; check the list before trying again",
                    CALL_TIMEOUT.as_secs()
                )
            }
            RegistryError::NotListed(id) => write!(f, "no server {id} is listed; `members list` shows all"),
            RegistryError::Malformed(id, reason) => write!(f, "{id}: {reason}; `members put` rewrites it"),
            RegistryError::Contended(id) => write!(f, "{id} is being changed concurrently; try again"),
        }
    }
}

impl std::error::Error for RegistryError {}

impl From<Error> for RegistryError {
    fn from(error: Error) -> Self {
        RegistryError::Call(error)
    }
}

/// A server in the list.
#[derive(Debug, Clone, PartialEq)]
pub struct RegistryEntry {
    /// Id of the server.
    pub id: String,
    /// The parsed value.
    pub entry: Result<ServerEntry, Malformed>,
    /// Revision of its last change.
    pub revision: i64,
    /// Id of its lease; 0 for none.
    pub lease: i64,
}

/// The server list in an etcd cluster.
pub struct Registry {
    client: Client,
    /// URL of the connected endpoint.
    pub endpoint: String,
    prefix: String,
}

/// Applies the call timeout.
async fn with_timeout<T>(call: impl Future<Output = Result<T, Error>>) -> Result<T, RegistryError> {
    Ok(timeout(CALL_TIMEOUT, call).await.map_err(|_| RegistryError::Timeout)??)
}

impl Registry {
    /// Connects to the first endpoint that can be reached.
    ///
    /// # Errors
    /// If no endpoint can be reached, or the first reachable one rejects the credentials.
    pub async fn connect(settings: &Settings, prefix: &str) -> Result<Registry, RegistryError> {
        let mut reasons = Vec::new();
        for (index, endpoint) in settings.endpoints.iter().enumerate() {
            match with_timeout(Client::connect(settings, index)).await {
                Ok(client) => {
                    let (endpoint, prefix) = (endpoint.clone(), prefix.to_owned());
                    return Ok(Registry { client, endpoint, prefix });
                }
                Err(RegistryError::Call(error)) if error.kind == ErrorKind::Unreachable => {
                    reasons.push(format!("{endpoint}: {error}"));
                }
                Err(RegistryError::Timeout) => reasons.push(format!("{endpoint}: no response")),
                Err(other) => return Err(other),
            }
        }
        Err(RegistryError::Unreachable(reasons))
    }

    /// The full list with its revision.
    ///
    /// # Errors
    /// If a call fails.
    pub async fn list(&self) -> Result<(i64, Vec<RegistryEntry>), RegistryError> {
        let (mut revision, mut listed) = (0, Vec::new());
        let mut key = self.prefix.clone().into_bytes();
        loop {
            let range_end = prefix_range_end(self.prefix.as_bytes());
            let request = RangeRequest { key, range_end, limit: PAGE_SIZE, revision };
            let page = with_timeout(self.client.range(request)).await?;
            if revision == 0 {
                revision = page.header.map_or(0, |header| header.revision);
            }
            listed.extend(page.kvs.iter().map(|kv| self.parse_entry(kv)));
            match page.kvs.into_iter().next_back().filter(|_| page.more) {
                Some(last) => {
                    key = last.key;
                    key.push(0);
                }
                None => return Ok((revision, listed)),
            }
        }
    }

    fn parse_entry(&self, kv: &KeyValue) -> RegistryEntry {
        let id_bytes = kv.key.get(self.prefix.len()..).unwrap_or_default();
        let id = layout::parse_id(id_bytes).map(str::to_owned);
        let entry = id.as_ref().map_err(Malformed::clone).and_then(|id| layout::parse_value(id, &kv.value));
        let id = id.unwrap_or_else(|_| String::from_utf8_lossy(id_bytes).escape_debug().to_string());
        RegistryEntry { id, entry, revision: kv.mod_revision, lease: kv.lease }
    }

    fn key(&self, id: &str) -> Result<Vec<u8>, RegistryError> {
        layout::parse_id(id.as_bytes())
            .map_err(|reason| RegistryError::Malformed(format!("{id:?}"), reason))?;
        Ok(format!("{}{id}", self.prefix).into_bytes())
    }

    /// Writes a server, replacing any existing value, and returns the new revision. A `lease` of 0 means none.
    ///
    /// # Errors
    /// If nodes would reject the id or the entry, or the call fails.
    pub async fn put(&self, entry: &ServerEntry, lease: i64) -> Result<i64, RegistryError> {
        let (key, value) = (self.key(&entry.id)?, layout::encode_value(entry));
        layout::parse_value(&entry.id, &value)
            .map_err(|reason| RegistryError::Malformed(entry.id.clone(), reason))?;
        let response =
            with_timeout(self.client.put(PutRequest { key, value, lease, ignore_lease: false })).await?;
        Ok(response.header.map_or(0, |header| header.revision))
    }

    /// Changes only the state of a server, keeps its lease, and returns the new revision.
    ///
    /// # Errors
    /// If the server is not listed or malformed, concurrent changes make all attempts fail, or a call fails.
    pub async fn set_state(&self, id: &str, state: ServerState) -> Result<i64, RegistryError> {
        let key = self.key(id)?;
        for _ in 0..MAX_ATTEMPTS {
            let (limit, revision, range_end) = (1, 0, Vec::new());
            let request = RangeRequest { key: key.clone(), range_end, limit, revision };
            let found = with_timeout(self.client.range(request)).await?.kvs.into_iter().next();
            let kv = found.ok_or_else(|| RegistryError::NotListed(id.to_owned()))?;
            let entry = layout::parse_value(id, &kv.value);
            let entry = entry.map_err(|reason| RegistryError::Malformed(id.to_owned(), reason))?;
            let value = layout::encode_value(&ServerEntry { state, ..entry });
            // The write applies only if the key has not changed since it was read.
            let unchanged = Compare {
                result: CompareResult::Equal.into(),
                target: CompareTarget::Mod.into(),
                key: key.clone(),
                target_union: Some(TargetUnion::ModRevision(kv.mod_revision)),
            };
            let put = PutRequest { key: key.clone(), value, lease: 0, ignore_lease: true };
            let success = vec![RequestOp { request: Some(Request::RequestPut(put)) }];
            let request = TxnRequest { compare: vec![unchanged], success, failure: Vec::new() };
            let response = with_timeout(self.client.txn(request)).await?;
            if response.succeeded {
                return Ok(response.header.map_or(0, |header| header.revision));
            }
        }
        Err(RegistryError::Contended(id.to_owned()))
    }

    /// Removes a server and returns the new revision.
    ///
    /// # Errors
    /// If it is not listed, or the call fails.
    pub async fn remove(&self, id: &str) -> Result<i64, RegistryError> {
        let request = DeleteRangeRequest { key: self.key(id)?, range_end: Vec::new() };
        let response = with_timeout(self.client.delete(request)).await?;
        match response.deleted {
            0 => Err(RegistryError::NotListed(id.to_owned())),
            _ => Ok(response.header.map_or(0, |header| header.revision)),
        }
    }

    /// Grants a lease with a TTL in seconds and returns its id.
    ///
    /// # Errors
    /// If the call fails.
    pub async fn grant_lease(&self, seconds: i64) -> Result<i64, RegistryError> {
        with_timeout(self.client.grant_lease(seconds)).await
    }

    /// Renews a lease; false if it has expired.
    ///
    /// # Errors
    /// If the call fails.
    pub async fn renew_lease(&self, lease: i64) -> Result<bool, RegistryError> {
        Ok(with_timeout(self.client.renew_lease(lease)).await? > 0)
    }

    /// Revokes a lease, which removes the servers attached to it.
    ///
    /// # Errors
    /// If the call fails.
    pub async fn revoke_lease(&self, lease: i64) -> Result<(), RegistryError> {
        with_timeout(self.client.revoke_lease(lease)).await
    }
}
