use cassiashunt_types::NodeId;

use crate::msg::Message;

/// A message to send; it may be lost, late or doubled.
#[derive(Debug, Clone, PartialEq)]
pub struct Outgoing {
    /// The receiver, which may be the sender.
    pub to: NodeId,
    /// The message.
    pub msg: Message,
}
