//! The list as those see it who write it: read, put, drain and remove servers.

use std::fmt;
use std::time::Duration;

use lilacquay_core::{Entry, State};
use lilacquay_etcd::api::compare::{CompareResult, CompareTarget, TargetUnion};
use lilacquay_etcd::api::request_op::Request;
use lilacquay_etcd::api::{
    Compare, DeleteRangeRequest, KeyValue, PutRequest, RangeRequest, RequestOp, TxnRequest,
};
use lilacquay_etcd::{Client, Error, Fault, Settings, end_of};
use tokio::time::timeout;

use super::layout::{self, Malformed};

/// A call that takes longer has failed.
const CALL: Duration = Duration::from_secs(5);
const PAGE: i64 = 500;
/// A change that another's change came before is tried so often.
const TRIES: usize = 5;

/// Why the list could not be read or written.
#[derive(Debug)]
pub enum RegistryError {
    /// No endpoint could be reached; nothing was sent. Why not, of each.
    Unreachable(Vec<String>),
    /// A call failed; a write may have been done.
    Call(Error),
    /// No answer came in time; a write may have been done.
    Timeout,
    /// No such server is listed.
    NotListed(String),
    /// Its value, or an id, can't be read.
    Malformed(String, Malformed),
    /// Others change the server as fast.
    Contended(String),
}

impl fmt::Display for RegistryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RegistryError::Unreachable(why) => write!(f, "no endpoint can be reached: {}", why.join("; ")),
            RegistryError::Call(error) => write!(f, "{error}"),
            RegistryError::Timeout => {
                write!(f, "no answer in {} s; look at the list before trying again", CALL.as_secs())
            }
            RegistryError::NotListed(id) => write!(f, "no server {id} is listed; `members list` shows all"),
            RegistryError::Malformed(id, why) => write!(f, "{id}: {why}; `members put` writes it anew"),
            RegistryError::Contended(id) => write!(f, "{id} changes too fast; try again"),
        }
    }
}

impl std::error::Error for RegistryError {}

impl From<Error> for RegistryError {
    fn from(error: Error) -> Self {
        RegistryError::Call(error)
    }
}

/// A server as it is listed.
#[derive(Debug, Clone, PartialEq)]
pub struct RegistryEntry {
    /// Its id.
    pub id: String,
    /// What its value says.
    pub entry: Result<Entry, Malformed>,
    /// The revision in which it changed last.
    pub revision: i64,
    /// Its lease; 0 for none.
    pub lease: i64,
}

/// The list in a store.
pub struct Registry {
    client: Client,
    /// The address that answered.
    pub endpoint: String,
    prefix: String,
}

async fn in_time<T>(call: impl Future<Output = Result<T, Error>>) -> Result<T, RegistryError> {
    Ok(timeout(CALL, call).await.map_err(|_| RegistryError::Timeout)??)
}

impl Registry {
    /// Connects to the first endpoint that can be reached.
    ///
    /// # Errors
    /// If none can, or the first that can refuses the caller.
    pub async fn connect(settings: &Settings, prefix: &str) -> Result<Registry, RegistryError> {
        let mut why = Vec::new();
        for (number, endpoint) in settings.endpoints.iter().enumerate() {
            match in_time(Client::connect(settings, number)).await {
                Ok(client) => {
                    let (endpoint, prefix) = (endpoint.clone(), prefix.to_owned());
                    return Ok(Registry { client, endpoint, prefix });
                }
                Err(RegistryError::Call(error)) if error.fault == Fault::Unreached => {
                    why.push(format!("{endpoint}: {error}"));
                }
                Err(RegistryError::Timeout) => why.push(format!("{endpoint}: no answer")),
                Err(other) => return Err(other),
            }
        }
        Err(RegistryError::Unreachable(why))
    }

    /// The whole list with its revision.
    ///
    /// # Errors
    /// As the calls'.
    pub async fn list(&self) -> Result<(i64, Vec<RegistryEntry>), RegistryError> {
        let (mut revision, mut listed) = (0, Vec::new());
        let mut key = self.prefix.clone().into_bytes();
        loop {
            let range_end = end_of(self.prefix.as_bytes());
            let asked = RangeRequest { key, range_end, limit: PAGE, revision };
            let page = in_time(self.client.range(asked)).await?;
            if revision == 0 {
                revision = page.header.map_or(0, |header| header.revision);
            }
            listed.extend(page.kvs.iter().map(|kv| self.listed(kv)));
            match page.kvs.into_iter().next_back().filter(|_| page.more) {
                Some(last) => {
                    key = last.key;
                    key.push(0);
                }
                None => return Ok((revision, listed)),
            }
        }
    }

    fn listed(&self, kv: &KeyValue) -> RegistryEntry {
        let rest = kv.key.get(self.prefix.len()..).unwrap_or_default();
        let id = layout::parse_id(rest).map(str::to_owned);
        let entry = id.as_ref().map_err(Malformed::clone).and_then(|id| layout::parse_value(id, &kv.value));
        let id = id.unwrap_or_else(|_| String::from_utf8_lossy(rest).escape_debug().to_string());
        RegistryEntry { id, entry, revision: kv.mod_revision, lease: kv.lease }
    }

    fn key(&self, id: &str) -> Result<Vec<u8>, RegistryError> {
        layout::parse_id(id.as_bytes()).map_err(|why| RegistryError::Malformed(format!("{id:?}"), why))?;
        Ok(format!("{}{id}", self.prefix).into_bytes())
    }

    /// Writes a server, whatever was there; 0 is no lease. Tells the revision.
    ///
    /// # Errors
    /// If the id or the entry is one that nodes would not read, and as the call's.
    pub async fn put(&self, entry: &Entry, lease: i64) -> Result<i64, RegistryError> {
        let (key, value) = (self.key(&entry.id)?, layout::encode_value(entry));
        layout::parse_value(&entry.id, &value)
            .map_err(|why| RegistryError::Malformed(entry.id.clone(), why))?;
        let told = in_time(self.client.put(PutRequest { key, value, lease, ignore_lease: false })).await?;
        Ok(told.header.map_or(0, |header| header.revision))
    }

    /// Changes a server's state and nothing else; its lease stays. Tells the revision.
    ///
    /// # Errors
    /// If it is not listed or can't be read, if others change it at the same time, and as the calls'.
    pub async fn set_state(&self, id: &str, state: State) -> Result<i64, RegistryError> {
        let key = self.key(id)?;
        for _ in 0..TRIES {
            let (limit, revision, range_end) = (1, 0, Vec::new());
            let asked = RangeRequest { key: key.clone(), range_end, limit, revision };
            let found = in_time(self.client.range(asked)).await?.kvs.into_iter().next();
            let kv = found.ok_or_else(|| RegistryError::NotListed(id.to_owned()))?;
            let entry = layout::parse_value(id, &kv.value);
            let entry = entry.map_err(|why| RegistryError::Malformed(id.to_owned(), why))?;
            let value = layout::encode_value(&Entry { state, ..entry });
            // Guards against: a change that another made between the reading and the writing.
            let unchanged = Compare {
                result: CompareResult::Equal.into(),
                target: CompareTarget::Mod.into(),
                key: key.clone(),
                target_union: Some(TargetUnion::ModRevision(kv.mod_revision)),
            };
            let put = PutRequest { key: key.clone(), value, lease: 0, ignore_lease: true };
            let success = vec![RequestOp { request: Some(Request::RequestPut(put)) }];
            let asked = TxnRequest { compare: vec![unchanged], success, failure: Vec::new() };
            let told = in_time(self.client.txn(asked)).await?;
            if told.succeeded {
                return Ok(told.header.map_or(0, |header| header.revision));
            }
        }
        Err(RegistryError::Contended(id.to_owned()))
    }

    /// Removes a server. Tells the revision.
    ///
    /// # Errors
    /// If it is not listed, and as the call's.
    pub async fn remove(&self, id: &str) -> Result<i64, RegistryError> {
        let asked = DeleteRangeRequest { key: self.key(id)?, range_end: Vec::new() };
        let told = in_time(self.client.delete(asked)).await?;
        match told.deleted {
            0 => Err(RegistryError::NotListed(id.to_owned())),
            _ => Ok(told.header.map_or(0, |header| header.revision)),
        }
    }

    /// Takes a lease of so many seconds.
    ///
    /// # Errors
    /// As the call's.
    pub async fn grant_lease(&self, seconds: i64) -> Result<i64, RegistryError> {
        in_time(self.client.grant(seconds)).await
    }

    /// Renews a lease; false if it is gone.
    ///
    /// # Errors
    /// As the call's.
    pub async fn renew_lease(&self, lease: i64) -> Result<bool, RegistryError> {
        Ok(in_time(self.client.renew(lease)).await? > 0)
    }

    /// Ends a lease, and with it its servers.
    ///
    /// # Errors
    /// As the call's.
    pub async fn revoke_lease(&self, lease: i64) -> Result<(), RegistryError> {
        in_time(self.client.revoke(lease)).await
    }
}
