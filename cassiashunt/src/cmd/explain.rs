//! `cassiashunt explain`.

use std::{fmt::Write, fs, time::Duration};

use eyre::{Result, WrapErr, eyre};
use ureq::Agent;

use crate::{exit::Exit, flags};

/// How long a node may take to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// Prints where a request would go now, and why. The request itself is not sent.
pub fn run(flags: flags::Explain) -> Result<Exit> {
    let method = flags.method.as_deref().unwrap_or("GET");
    let parameters = [
        ("host", flags.host.as_str()),
        ("path", &flags.path),
        ("method", method),
    ];
    let parameters = parameters.map(|(name, value)| format!("{name}={}", encode(value)));
    let page = format!("http://{}/explain?{}", flags.node, parameters.join("&"));
    let cfg = Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(ANSWER_TIMEOUT));
    let mut req = cfg.build().new_agent().get(page);
    if let Some(file) = flags.key_file {
        let key = fs::read_to_string(&file).map_err(|err| {
            Exit::Usage.err(format!(
                "cannot read the key from {}: {err}",
                file.display()
            ))
        })?;
        req = req.header("Authorization", format!("Bearer {}", key.trim()));
    }
    let mut answer = req
        .call()
        .wrap_err_with(|| format!("no answer from the metrics address {}", flags.node))?;
    let text = answer.body_mut().read_to_string()?;
    match answer.status().as_u16() {
        200 => print!("{text}"),
        status => return Err(eyre!("the node answered {status}: {}", text.trim())),
    }
    Ok(Exit::Done)
}

/// Percent-encodes all but unreserved characters.
fn encode(text: &str) -> String {
    let mut encoded = String::new();
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || b"-._~/".contains(&byte) {
            encoded.push(char::from(byte));
        } else {
            write!(encoded, "%{byte:02X}").expect("writing to a string");
        }
    }
    encoded
}
