use cassiashunt_types::{Epoch, ShardId, Workspace};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Number of shards into which a fleet divides its idempotency keys.
pub const HOME_SHARDS: u64 = 8;

/// Prefix of keys issued by a node.
const ISSUED_PREFIX: &str = "cassiashunt-idem-";
/// Length to which the SHA-256 digest is truncated, in bytes.
const DIGEST_BYTES: usize = 16;

/// An idempotency key of a workspace, hashed so that it is small and `Copy`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Key {
    pub(crate) workspace: Workspace,
    pub(crate) digest: [u8; DIGEST_BYTES],
    pub(crate) shard: ShardId,
    pub(crate) issued: Option<Epoch>,
}

impl Key {
    /// Hashes the key sent by a caller of this workspace.
    #[must_use]
    pub fn new(workspace: Workspace, text: &str) -> Self {
        let hash = Sha256::new()
            .chain_update(workspace.as_str())
            .chain_update([0])
            .chain_update(text)
            .finalize();
        let mut digest = [0; DIGEST_BYTES];
        digest.copy_from_slice(&hash[..DIGEST_BYTES]);
        let parsed = parse_issued(text);
        let hashed = u64::from(digest[0]) % HOME_SHARDS;
        Self {
            workspace,
            digest,
            shard: parsed.map_or(ShardId(hashed), |parsed| parsed.0),
            issued: parsed.map(|parsed| parsed.1),
        }
    }

    /// The shard whose home stores the record of this key.
    #[must_use]
    pub fn shard(&self) -> ShardId {
        self.shard
    }

    /// The epoch under which a node issued the key; `None` for a key chosen by the caller.
    #[must_use]
    pub fn issued(&self) -> Option<Epoch> {
        self.issued
    }
}

/// The shard whose home stores the record of this key.
#[must_use]
pub fn shard_of(workspace: Workspace, text: &str) -> ShardId {
    Key::new(workspace, text).shard()
}

/// Creates a key to give to a caller in advance. It contains the current epoch of `shard`, so that
/// it can be used at once after a loss of records. `random` must never have been used before.
#[must_use]
pub fn issue(shard: ShardId, epoch: Epoch, random: u128) -> String {
    format!("{ISSUED_PREFIX}{shard}-{epoch}-{random:032x}")
}

fn parse_issued(text: &str) -> Option<(ShardId, Epoch)> {
    let mut parts = text.strip_prefix(ISSUED_PREFIX)?.split('-');
    let shard = u64::from_str_radix(parts.next()?, 16).ok()?;
    let epoch = u64::from_str_radix(parts.next()?, 16).ok()?;
    let random = parts.next()?;
    let is_well_formed = parts.next().is_none() && random.len() == 32;
    (is_well_formed && shard < HOME_SHARDS).then_some((ShardId(shard), Epoch(epoch)))
}
