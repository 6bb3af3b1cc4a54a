//! Answers that the system makes itself: problem documents (RFC 9457).

use cassiashunt_http::Answer;
use cassiashunt_types::prelude::*;
use serde::Serialize;

use crate::headers;

/// A problem document.
#[derive(Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
struct Problem {
    title: &'static str,
    status: u16,
    code: &'static str,
    verdict: Verdict,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

/// The answer that tells a refusal.
pub(super) fn refusal(refusal: Refusal) -> Answer {
    let reason = refusal.reason;
    let retry_after_ms = refusal.retry_after.map(|span| span.as_millis() as u64);
    let problem = Problem {
        title: title(refusal.verdict),
        status: reason.status(),
        code: reason.code(),
        verdict: refusal.verdict,
        retry_after_ms,
    };
    let mut answer = Answer::new(reason.status());
    answer
        .headers
        .push(headers::VERDICT, refusal.verdict.as_str());
    answer
        .headers
        .push("Content-Type", "application/problem+json");
    if let Some(span) = refusal.retry_after {
        answer
            .headers
            .push("Retry-After", whole_seconds(span).to_string());
    }
    answer.body = serde_json::to_vec(&problem)
        .expect("a problem is plain JSON")
        .into();
    answer
}

const fn title(verdict: Verdict) -> &'static str {
    match verdict {
        Verdict::NotRun => "The request was not run.",
        Verdict::MayHaveRun => "The request may have run.",
    }
}

/// Seconds, rounded up, since the header holds whole ones (RFC 9110, section 10.2.3).
fn whole_seconds(span: Duration) -> u64 {
    span.as_millis().div_ceil(1_000) as u64
}
