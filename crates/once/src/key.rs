use cassiashunt_types::{Epoch, ShardId, Workspace};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// The shards of idempotency keys in a fleet.
pub const HOME_SHARDS: u64 = 8;

/// How a key that a node issued begins.
const ISSUED_PREFIX: &str = "cassiashunt-idem-";
/// Bytes of the digest that are kept.
const DIGEST_BYTES: usize = 16;

/// An idempotency key of a workspace, digested so that it is small and `Copy`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Key {
    pub(crate) workspace: Workspace,
    pub(crate) digest: [u8; DIGEST_BYTES],
    pub(crate) shard: ShardId,
    pub(crate) issued: Option<Epoch>,
}

impl Key {
    /// Digests the key that a caller of this workspace sent.
    #[must_use]
    pub fn new(workspace: Workspace, text: &str) -> Self {
        let hash = Sha256::new()
            .chain_update(workspace.as_str())
            .chain_update([0])
            .chain_update(text)
            .finalize();
        let mut digest = [0; DIGEST_BYTES];
        digest.copy_from_slice(&hash[..DIGEST_BYTES]);
        let named = parse(text);
        let hashed = u64::from(digest[0]) % HOME_SHARDS;
        Self {
            workspace,
            digest,
            shard: named.map_or(ShardId(hashed), |named| named.0),
            issued: named.map(|named| named.1),
        }
    }

    /// The shard whose home has its record.
    #[must_use]
    pub fn shard(&self) -> ShardId {
        self.shard
    }

    /// The epoch under which a node issued it; nothing for a key that its caller invented.
    #[must_use]
    pub fn issued(&self) -> Option<Epoch> {
        self.issued
    }
}

/// The shard whose home has the record of this key.
#[must_use]
pub fn shard_of(workspace: Workspace, text: &str) -> ShardId {
    Key::new(workspace, text).shard()
}

/// A key to give to a caller beforehand; it names the epoch that `shard` is at, so that it can be
/// used at once after records were lost. `random` must never have been used before.
#[must_use]
pub fn issue(shard: ShardId, epoch: Epoch, random: u128) -> String {
    format!("{ISSUED_PREFIX}{shard}-{epoch}-{random:032x}")
}

fn parse(text: &str) -> Option<(ShardId, Epoch)> {
    let mut parts = text.strip_prefix(ISSUED_PREFIX)?.split('-');
    let shard = u64::from_str_radix(parts.next()?, 16).ok()?;
    let epoch = u64::from_str_radix(parts.next()?, 16).ok()?;
    let random = parts.next()?;
    let is_whole = parts.next().is_none() && random.len() == 32;
    (is_whole && shard < HOME_SHARDS).then_some((ShardId(shard), Epoch(epoch)))
}
