//! A home, its backup and a client, with messages delivered at once and without loss.

use std::collections::VecDeque;

use cassiashunt_once::{
    Backup, Client, Home, InitialState, Outgoing, Role, home::Options, msg::Body,
};
use cassiashunt_types::{Epoch, NodeId, ShardId, Time};

pub const SHARD: ShardId = ShardId(0);
pub const HOME: NodeId = NodeId(1);
pub const BACKUP: NodeId = NodeId(2);
pub const OWNER: NodeId = NodeId(3);

pub struct Pair {
    pub home: Home,
    pub backup: Backup,
    pub client: Client,
    pub messages: usize,
    pub bytes: usize,
}

impl Pair {
    pub fn new(options: Options) -> Self {
        let epoch = Epoch(1);
        let home = Home::new(
            HOME,
            SHARD,
            epoch,
            Some(BACKUP),
            InitialState::first(),
            options,
        );
        let mut client = Client::new(OWNER, Default::default());
        client.follow_home(SHARD, epoch, HOME);
        let backup = Backup::new(BACKUP, SHARD);
        Self {
            home,
            backup,
            client,
            messages: 0,
            bytes: 0,
        }
    }

    /// Delivers messages until none is left, as sent by the client, the home and the backup.
    pub fn deliver_all(&mut self, now: Time) {
        let mut queue: VecDeque<Outgoing> = self.client.poll(now).into();
        queue.extend(self.home.tick(now));
        while let Some(send) = queue.pop_front() {
            self.messages += 1;
            self.bytes += prost::Message::encoded_len(&send.msg);
            match send.msg.body {
                Some(Body::Reply(_)) => self.client.handle_message(now, &send.msg),
                Some(Body::Copy(_)) => queue.extend(self.backup.handle_message(now, &send.msg)),
                _ => queue.extend(self.home.handle_message(now, &send.msg, Role::Active)),
            }
        }
    }
}

impl Pair {
    /// Replaces the home by one without a backup.
    #[allow(dead_code, reason = "only used by the cost example")]
    pub fn remove_backup(&mut self, options: Options) {
        self.home = Home::new(HOME, SHARD, Epoch(1), None, InitialState::first(), options);
    }
}
