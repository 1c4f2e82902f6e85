//! Users and their authentication by SASL PLAIN (RFC 4616).

use sha2::{Digest, Sha256};
use subtle::{Choice, ConstantTimeEq};

/// User names, with SHA-256 digests of names and passwords; the passwords themselves are not kept.
#[derive(Debug, Clone, Default)]
pub struct Users(Vec<(String, [u8; 32], [u8; 32])>);

impl Users {
    /// Creates users from pairs of name and password.
    pub fn new(users: impl IntoIterator<Item = (String, String)>) -> Self {
        let entry = |(name, password): (String, String)| (name.clone(), digest(&name), digest(&password));
        Users(users.into_iter().map(entry).collect())
    }

    /// Checks a PLAIN message, `authzid NUL authcid NUL password`, and returns the user that it authenticates.
    ///
    /// The digests of name and password are compared in constant time with those of every user, so that the time taken
    /// reveals neither which of the two is right nor how much of it.
    pub fn authenticate(&self, message: &[u8]) -> Option<&str> {
        let parts: Vec<&[u8]> = message.split(|&b| b == 0).collect();
        let [authorization_id, name, password] = parts[..] else { return None };
        let (name_digest, password_digest) = (digest(name), digest(password));
        let mut found = None;
        for (user, known_name, known_password) in &self.0 {
            let matches: Choice = known_name.ct_eq(&name_digest) & known_password.ct_eq(&password_digest);
            found = if bool::from(matches) { Some(user.as_str()) } else { found };
        }
        // Acting on behalf of another user is not supported.
        found.filter(|user| authorization_id.is_empty() || authorization_id == user.as_bytes())
    }
}

fn digest(text: impl AsRef<[u8]>) -> [u8; 32] {
    Sha256::digest(text).into()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn only_the_right_password_of_the_right_user_authenticates() {
        let pair = |name: &str, password: &str| (name.to_owned(), password.to_owned());
        let users = Users::new([pair("ann", "one"), pair("bob", "two")]);
        assert_eq!(users.authenticate(b"\0ann\0one"), Some("ann"));
        assert_eq!(users.authenticate(b"bob\0bob\0two"), Some("bob"));
        let wrong: &[&[u8]] = &[
            b"\0ann\0two",
            b"\0ann\0on",
            b"\0ann\0",
            b"\0\0one",
            b"\0eve\0one",
            b"bob\0ann\0one",
            b"ann\0one",
            b"\0ann\0one\0",
            b"",
        ];
        assert!(wrong.iter().all(|message| users.authenticate(message).is_none()));
    }
}
