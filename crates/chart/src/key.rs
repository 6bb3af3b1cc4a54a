//! Small `Copy` keys into a chart.

macro_rules! key {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        ///
        /// A key is only meaningful to the chart that gave it.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub(crate) u16);

        impl $name {
            pub(crate) fn nth(index: usize) -> Self {
                Self(u16::try_from(index).expect("the number of names was checked by the parser"))
            }

            /// The position in the chart's list.
            #[must_use]
            pub fn index(self) -> usize {
                usize::from(self.0)
            }
        }
    };
}

key! {
    /// A state of a chart.
    State
}
key! {
    /// An event of a chart.
    Event
}
key! {
    /// A named action of a chart.
    Action
}
