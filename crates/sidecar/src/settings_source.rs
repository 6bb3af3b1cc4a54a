//! Where a node's settings come from: a file, and values that stand on the command line.

use std::path::{Path, PathBuf};

use tokio::sync::oneshot;
use toml::{Table, Value};

use crate::settings::{Reading, Settings, SettingsError};

/// A settings file, and values that replace or complete those of the file.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SettingsSource {
    /// The file.
    pub path: PathBuf,
    /// Values as `TABLE.KEY=VALUE`. One without a value counts as not given: a platform may have
    /// nothing to fill in.
    pub values: Vec<String>,
}

impl SettingsSource {
    /// The settings of a file alone.
    #[must_use]
    pub fn file(path: &Path) -> Self {
        Self {
            path: path.to_owned(),
            values: Vec::new(),
        }
    }

    /// Reads and checks the settings.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read or parsed, or if a value is out of range or of another form.
    pub fn read(&self) -> Result<Settings, SettingsError> {
        let text = std::fs::read_to_string(&self.path)
            .map_err(|err| SettingsError::Unreadable(self.path.clone(), err))?;
        let invalid = |err| SettingsError::Invalid(self.path.clone(), err);
        let mut settings: Settings = toml::from_str(&text).map_err(invalid)?;
        let mut values = self.given()?.peekable();
        if values.peek().is_some() {
            let mut table: Table = toml::from_str(&text).map_err(invalid)?;
            for (name, key, value) in values {
                let inner = table
                    .entry(name)
                    .or_insert_with(|| Value::Table(Table::new()));
                if let Some(inner) = inner.as_table_mut() {
                    inner.insert(key.to_owned(), value);
                }
            }
            settings = table.try_into().map_err(invalid)?;
        }
        settings.check()?;
        Ok(settings)
    }

    /// Reads and checks the settings on a thread of its own, since the file may be slow. The result is
    /// dropped where nobody waits for it any more.
    ///
    /// # Errors
    ///
    /// Fails if the thread can't be started.
    pub(crate) fn read_in_background(&self) -> std::io::Result<Reading> {
        let (tx, rx) = oneshot::channel();
        let source = self.clone();
        std::thread::Builder::new()
            .name("settings".into())
            .spawn(move || {
                // The node may have been asked to stop or to read once more.
                let _ = tx.send(source.read());
            })?;
        Ok(rx)
    }

    /// The given values with their tables and keys.
    fn given(&self) -> Result<impl Iterator<Item = (&str, &str, Value)>, SettingsError> {
        let mut given = Vec::new();
        for text in &self.values {
            let parts = text.split_once('=').and_then(|(name, value)| {
                let (table, key) = name.split_once('.')?;
                Some((table, key, value))
            });
            let Some((table, key, value)) = parts else {
                return Err(SettingsError::Value("--set", "must be TABLE.KEY=VALUE"));
            };
            if !value.is_empty() {
                let parsed = value.parse().unwrap_or_else(|_| Value::from(value));
                given.push((table, key, parsed));
            }
        }
        Ok(given.into_iter())
    }
}
