//! etcd's v3 API: the messages and services that `proto/etcd.proto` names, and a [`Client`].
//!
//! What the keys mean is its users' business.

/// Messages, clients and servers, generated from `proto/etcd.proto`, which has their words.
#[allow(missing_docs, clippy::all)]
pub mod api {
    tonic::include_proto!("etcdserverpb");
}
mod client;

pub use client::{Asker, Client, Error, Fault, Settings, Tls, User, WatchStream};

/// The end of the range of all keys that begin with a prefix: the prefix with its last byte raised (etcd
/// documentation, "API: range"). Empty bytes stand for 'no end' in the API as `\0`.
pub fn end_of(prefix: &[u8]) -> Vec<u8> {
    let mut end = prefix.to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return end;
        }
    }
    vec![0]
}

#[cfg(test)]
mod tests {
    use super::end_of;

    #[test]
    fn a_prefix_ends_where_no_key_begins_with_it() {
        assert_eq!(end_of(b"/a/"), b"/a0");
        assert_eq!(end_of(b"a\xff"), b"b");
        assert_eq!(end_of(b"\xff"), b"\0");
        assert_eq!(end_of(b""), b"\0");
    }
}
