//! Fault injection of the stand-in for a plain service.

use fw_fake::plain;
use googletest::prelude::*;
use serde_json::json;

#[gtest]
#[tokio::test]
async fn a_crash_after_running_leaves_the_run_on_record() {
    let service = plain::Service::spawn(plain::Options::default()).unwrap();
    let uri = format!("http://{}/publish?page=1", service.addr());
    let client = fw_http::Client::default();
    service.fault(plain::Fault::CrashBefore);
    expect_true!(client.post_json(&uri, &json!({})).await.is_err());
    expect_that!(service.runs(), is_empty());
    service.restart().unwrap();
    service.fault(plain::Fault::CrashAfter);
    expect_true!(client.post_json(&uri, &json!({})).await.is_err());
    expect_that!(service.runs().len(), eq(1));
    expect_that!(service.runs()[0].path, eq("/publish?page=1"));
}
