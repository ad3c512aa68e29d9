//! Calls from the client through a VM to each kind of target, and the errors of
//! invalid requests.

use proofs::{caller, fleet};

fn header<'a>(answer: &'a caller::Answer, name: &str) -> &'a str {
    answer.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
}

#[tokio::test(flavor = "multi_thread")]
async fn draft_lookup_and_booking_are_answered_by_their_targets() -> proofs::Result<()> {
    let fleet = fleet::Fleet::start(fleet::Config::default()).await?;
    let caller = fleet.caller();

    let prompt = "Draft a welcome letter";
    let stream =
        caller.stream(fleet.caller_address(0), &[], &fleet::chat_body(40, true, prompt)).await?;
    assert_eq!(stream.status(), 200);
    assert!(!stream.header("primroseplank-stream").is_empty());
    let whole = stream.read_to_end().await?;
    assert_eq!(whole.seqs, (0..40).collect::<Vec<u64>>());
    assert_eq!(whole.text, fleet::expected_answer(40, prompt));
    assert!(whole.is_done && whole.error.is_none(), "{whole:?}");

    let body = fleet::chat_body(3, false, prompt);
    let path = "/v1/chat/completions";
    let answer = caller.send(fleet.caller_address(1), "POST", path, &[], &body).await?;
    assert_eq!(header(&answer, "primroseplank-outcome"), "answered");
    let completion: serde_json::Value = answer.json().expect("a completion");
    assert_eq!(completion["choices"][0]["message"]["content"], fleet::expected_answer(3, prompt));
    assert_eq!(completion["usage"]["completion_tokens"], 3);

    let answer = caller.send(fleet.caller_address(0), "GET", "/v1/models", &[], "").await?;
    assert!(answer.text().contains(r#""id":"draft""#), "{}", answer.text());

    let answer = caller.send(fleet.caller_address(0), "GET", "/svc/desk/lookup/7", &[], "").await?;
    assert_eq!(answer.status, 200, "{}", answer.text());
    assert!(answer.text().contains("/lookup/7"), "{}", answer.text());

    let path = "/svc/desk/booking";
    let headers = [("idempotency-key", "stay-1")];
    let first = caller.send(fleet.caller_address(0), "POST", path, &headers, "{}").await?;
    assert_eq!(first.status, 201, "{}", first.text());
    let again = caller.send(fleet.caller_address(1), "POST", path, &headers, "{}").await?;
    assert_eq!(again.status, 201, "{}", again.text());
    assert_eq!(again.body, first.body);
    assert_eq!(header(&again, "idempotent-replayed"), "true");
    let bookings = fleet::Fleet::calls(&fleet.desk).await?;
    let bookings = bookings.iter().filter(|call| call.path == "/booking").count();
    assert_eq!(bookings, 1, "booked once for two requests with one key");

    let other = caller.send(fleet.caller_address(1), "POST", path, &headers, "{\"n\":2}").await?;
    assert_eq!(other.status, 422, "{}", other.text());
    let no_key = caller.send(fleet.caller_address(1), "POST", path, &[], "{}").await?;
    assert_eq!(no_key.status, 400, "{}", no_key.text());
    assert!(no_key.text().contains("missing-idempotency-key"), "{}", no_key.text());
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_requests_and_bundles_get_specific_errors() -> proofs::Result<()> {
    let mut fleet =
        fleet::Fleet::start(fleet::Config { vms: 1, runners: 1, ..fleet::Config::default() })
            .await?;
    let address = fleet.caller_address(0);
    let body = fleet::chat_body(3, false, "hello");
    let path = "/v1/chat/completions";
    let large = "x".repeat(100_000);
    let unknown = body.replace("draft", "poem");
    let (own, none) = (fleet.caller(), caller::Caller::new(None));
    let wrong = caller::Caller::new(Some("pp.mayors-1.0000"));
    for (who, path, body, status, code) in [
        (&wrong, path, body.as_str(), 401, "invalid-key"),
        (&none, path, &body, 401, "missing-key"),
        (&own, path, &large, 413, "too-large"),
        (&own, path, &unknown, 404, "unknown-model"),
        (&own, "/svc/nothing/a", "{}", 404, "unknown-service"),
        (&own, "/svc/desk/nothing", "{}", 404, "unknown-route"),
        (&own, "/v9", "{}", 404, "not-found"),
    ] {
        let answer = who.send(address, "POST", path, &[], body).await?;
        assert_eq!(answer.status, status, "{path}: {}", answer.text());
        assert_eq!(header(&answer, "primroseplank-outcome"), "not-run", "{path}");
        let error: serde_json::Value = answer.json().expect("JSON");
        assert_eq!(error["error"]["code"], code, "{path}");
    }
    let public = none.send(address, "GET", "/svc/desk/lookup/public/1", &[], "").await?;
    assert_eq!(public.status, 200, "{}", public.text());

    let broken = fleet.sign(&fleet.bundle().replace("rate: 100000", "rate: many"));
    let answer = fleet.send_to_operator(0, "POST", "/v1/accept", &broken).await?;
    assert_eq!(answer.status, 409, "{}", answer.text());
    assert!(answer.text().contains("line"), "{}", answer.text());
    let altered = fleet.sign(&fleet.bundle()).replace("mayors-1", "mayors-2");
    let answer = fleet.send_to_operator(0, "POST", "/v1/accept", &altered).await?;
    assert_eq!(answer.status, 409, "{}", answer.text());
    fleet.accept(&fleet.bundle()).await?;
    Ok(())
}
