//! The etcd v3 API: the messages and services of `proto/etcd.proto`, and a [`Client`].
//!
//! This crate is independent of the meaning of keys and values.

/// Messages, clients and servers, generated from `proto/etcd.proto`, which documents them.
#[allow(missing_docs, clippy::all)]
pub mod api {
    tonic::include_proto!("etcdserverpb");
}
mod client;

pub use client::{Client, Error, ErrorKind, ProgressRequester, Settings, Tls, User, WatchStream};

/// The exclusive end of the range of keys that start with a prefix: the prefix with its last byte incremented (etcd
/// documentation, "API: range"). For a prefix without an end this is `\0`, which the API reads as 'no end'.
pub fn prefix_range_end(prefix: &[u8]) -> Vec<u8> {
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
    use super::prefix_range_end;

    #[test]
    fn the_range_of_a_prefix_ends_after_its_last_key() {
        assert_eq!(prefix_range_end(b"/a/"), b"/a0");
        assert_eq!(prefix_range_end(b"a\xff"), b"b");
        assert_eq!(prefix_range_end(b"\xff"), b"\0");
        assert_eq!(prefix_range_end(b""), b"\0");
    }
}
