//! A node's assertion about the state of another.

/// A claim about a member; for the same incarnation, a later variant overrides an earlier one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Claim {
    /// The member answers. Only the member itself raises its incarnation.
    Alive,
    /// The member did not answer a probe.
    Suspect,
    /// The member was suspected for [`Options::suspect_for`](crate::Options::suspect_for) and did
    /// not refute it.
    Unreachable,
    /// The member left, or another process has its address; final for every incarnation.
    Departed,
}

impl Claim {
    const ALL: [Self; 4] = [
        Self::Alive,
        Self::Suspect,
        Self::Unreachable,
        Self::Departed,
    ];

    /// The number that is sent between nodes.
    #[must_use]
    pub const fn number(self) -> u32 {
        self as u32
    }

    /// The claim with this number; `None` for an unknown number.
    #[must_use]
    pub fn from_number(number: u32) -> Option<Self> {
        Self::ALL.into_iter().find(|claim| claim.number() == number)
    }
}
