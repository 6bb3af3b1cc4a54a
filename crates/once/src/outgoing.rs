use cassiashunt_types::NodeId;

use crate::msg::Message;

/// A message to send. It may be lost, delayed or duplicated on the way.
#[derive(Debug, Clone, PartialEq)]
pub struct Outgoing {
    /// The receiver, which may be the sender.
    pub to: NodeId,
    /// The message.
    pub msg: Message,
}
