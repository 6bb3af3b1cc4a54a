//! Header lines in the order in which they came.

/// One header line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Header {
    /// The name as sent.
    pub name: String,
    /// The value.
    pub value: String,
}

/// The header lines of a request or an answer.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Headers(Vec<Header>);

impl Headers {
    /// Adds a line at the end.
    pub fn push(&mut self, name: impl Into<String>, value: impl Into<String>) {
        self.0.push(Header {
            name: name.into(),
            value: value.into(),
        });
    }

    /// The first value of `name`, in any case.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&str> {
        let line = self
            .0
            .iter()
            .find(|line| line.name.eq_ignore_ascii_case(name));
        line.map(|line| line.value.as_str())
    }

    /// All values of `name`, in any case.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        let named = self
            .0
            .iter()
            .filter(move |line| line.name.eq_ignore_ascii_case(name));
        named.map(|line| line.value.as_str())
    }

    /// Whether a comma-separated value of `name` contains `token`, in any case.
    #[must_use]
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.all(name).any(|value| {
            let mut parts = value.split(',');
            parts.any(|part| part.trim().eq_ignore_ascii_case(token))
        })
    }

    /// Keeps the lines that `keep` says.
    pub fn retain(&mut self, keep: impl FnMut(&Header) -> bool) {
        self.0.retain(keep);
    }

    /// The lines in order.
    pub fn iter(&self) -> std::slice::Iter<'_, Header> {
        self.0.iter()
    }
}

impl FromIterator<Header> for Headers {
    fn from_iter<I: IntoIterator<Item = Header>>(lines: I) -> Self {
        Self(lines.into_iter().collect())
    }
}

impl IntoIterator for Headers {
    type Item = Header;
    type IntoIter = std::vec::IntoIter<Header>;

    fn into_iter(self) -> Self::IntoIter {
        self.0.into_iter()
    }
}

impl<'a> IntoIterator for &'a Headers {
    type Item = &'a Header;
    type IntoIter = std::slice::Iter<'a, Header>;

    fn into_iter(self) -> Self::IntoIter {
        self.iter()
    }
}
