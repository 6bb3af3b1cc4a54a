//! Mutual authentication of a connection between two nodes.
//!
//! The dialer sends [`Hello`], the listener answers [`Welcome`] with a code over both nonces, and
//! the dialer sends [`Proof`]. Both sides show that they hold the secret without sending it.

use std::fmt;

use cassiashunt_types::NodeId;
use prost::Message;

use crate::Secret;

/// Bytes of a nonce.
const NONCE_BYTES: usize = 16;
/// The protocol's version.
const VERSION: u32 = 1;

/// First message, from the dialer.
#[derive(Clone, PartialEq, Message)]
pub struct Hello {
    /// The protocol's version.
    #[prost(uint32, tag = "1")]
    pub version: u32,
    /// The dialing node.
    #[prost(uint64, tag = "2")]
    pub node: u64,
    /// The dialer's nonce.
    #[prost(bytes = "vec", tag = "3")]
    pub nonce: Vec<u8>,
}

/// Second message, from the listener.
#[derive(Clone, PartialEq, Message)]
pub struct Welcome {
    /// The listening node.
    #[prost(uint64, tag = "1")]
    pub node: u64,
    /// The listener's nonce.
    #[prost(bytes = "vec", tag = "2")]
    pub nonce: Vec<u8>,
    /// The listener's code.
    #[prost(bytes = "vec", tag = "3")]
    pub code: Vec<u8>,
}

/// Third message, from the dialer.
#[derive(Clone, PartialEq, Message)]
pub struct Proof {
    /// The dialer's code.
    #[prost(bytes = "vec", tag = "1")]
    pub code: Vec<u8>,
}

/// Why a connection was not accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HandshakeError {
    /// The peer speaks another version of the protocol.
    Version,
    /// The peer does not hold the fleet's secret.
    Credential,
}

impl fmt::Display for HandshakeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Version => "the peer speaks another version of the protocol",
            Self::Credential => "the peer does not hold the fleet's secret",
        })
    }
}

impl std::error::Error for HandshakeError {}

fn nonce() -> Vec<u8> {
    let mut buf = vec![0; NONCE_BYTES];
    getrandom::fill(&mut buf).expect("the operating system gives randomness once it is up");
    buf
}

/// What both codes are taken over.
struct Transcript<'a> {
    hello: &'a Hello,
    listener: u64,
    nonce: &'a [u8],
}

impl Transcript<'_> {
    fn parts<'a>(&'a self, role: &'a [u8], buf: &'a [[u8; 8]; 2]) -> [&'a [u8]; 5] {
        [role, &buf[0], &buf[1], &self.hello.nonce, self.nonce]
    }

    fn ids(&self) -> [[u8; 8]; 2] {
        [self.hello.node.to_be_bytes(), self.listener.to_be_bytes()]
    }

    fn code(&self, secret: &Secret, role: &[u8]) -> Vec<u8> {
        secret.mac(&self.parts(role, &self.ids())).to_vec()
    }

    fn verify(&self, secret: &Secret, role: &[u8], code: &[u8]) -> bool {
        secret.verify(&self.parts(role, &self.ids()), code)
    }
}

/// The dialing side.
#[derive(Debug)]
pub struct Dialer {
    hello: Hello,
}

impl Dialer {
    /// Starts a handshake in the name of `node`.
    #[must_use]
    pub fn new(node: NodeId) -> Self {
        Self {
            hello: Hello {
                version: VERSION,
                node: node.0,
                nonce: nonce(),
            },
        }
    }

    /// The first message.
    #[must_use]
    pub fn hello(&self) -> &Hello {
        &self.hello
    }

    /// Checks the listener's message and gives its node with the last message.
    ///
    /// # Errors
    ///
    /// [`HandshakeError::Credential`] where the listener does not hold the secret.
    pub fn finish(
        self,
        secret: &Secret,
        welcome: &Welcome,
    ) -> Result<(NodeId, Proof), HandshakeError> {
        let transcript = Transcript {
            hello: &self.hello,
            listener: welcome.node,
            nonce: &welcome.nonce,
        };
        if !transcript.verify(secret, b"listener", &welcome.code) {
            return Err(HandshakeError::Credential);
        }
        let code = transcript.code(secret, b"dialer");
        Ok((NodeId(welcome.node), Proof { code }))
    }
}

/// The listening side.
#[derive(Debug)]
pub struct Listener {
    hello: Hello,
    welcome: Welcome,
}

impl Listener {
    /// Answers `hello` in the name of `node`.
    ///
    /// # Errors
    ///
    /// [`HandshakeError::Version`] where the dialer speaks another version.
    pub fn new(node: NodeId, secret: &Secret, hello: Hello) -> Result<Self, HandshakeError> {
        if hello.version != VERSION {
            return Err(HandshakeError::Version);
        }
        let nonce = nonce();
        let transcript = Transcript {
            hello: &hello,
            listener: node.0,
            nonce: &nonce,
        };
        let code = transcript.code(secret, b"listener");
        let welcome = Welcome {
            node: node.0,
            nonce,
            code,
        };
        Ok(Self { hello, welcome })
    }

    /// The second message.
    #[must_use]
    pub fn welcome(&self) -> &Welcome {
        &self.welcome
    }

    /// Checks the dialer's last message and gives its node.
    ///
    /// # Errors
    ///
    /// [`HandshakeError::Credential`] where the dialer does not hold the secret.
    pub fn finish(self, secret: &Secret, proof: &Proof) -> Result<NodeId, HandshakeError> {
        let transcript = Transcript {
            hello: &self.hello,
            listener: self.welcome.node,
            nonce: &self.welcome.nonce,
        };
        if !transcript.verify(secret, b"dialer", &proof.code) {
            return Err(HandshakeError::Credential);
        }
        Ok(NodeId(self.hello.node))
    }
}
