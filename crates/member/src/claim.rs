//! What one node says about another.

/// A claim about a member, the stronger the later in this list for the same incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Claim {
    /// It answers; only the member itself raises its incarnation.
    Alive,
    /// It did not answer.
    Suspect,
    /// It was suspected for long and did not refute it.
    Unreachable,
    /// It left, or another process has its address; final whatever the incarnation.
    Departed,
}

impl Claim {
    const ALL: [Self; 4] = [
        Self::Alive,
        Self::Suspect,
        Self::Unreachable,
        Self::Departed,
    ];

    /// The number between nodes.
    #[must_use]
    pub const fn number(self) -> u32 {
        self as u32
    }

    /// The claim with this number.
    #[must_use]
    pub fn from_number(number: u32) -> Option<Self> {
        Self::ALL.into_iter().find(|claim| claim.number() == number)
    }
}
