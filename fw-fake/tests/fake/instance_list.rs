//! Propagation lag of the instance list.

use std::time::Duration;

use fw_fake::instances;
use googletest::prelude::*;

async fn fetch(list: &instances::Instances) -> Vec<instances::Instance> {
    let uri = format!("http://{}/instances", list.endpoint());
    let answer = fw_http::Client::default().get(&uri).await.unwrap();
    serde_json::from_slice(&answer.body).unwrap()
}

#[gtest]
#[tokio::test]
async fn the_list_lags_behind_changes() {
    let list = instances::Instances::start().await.unwrap();
    list.put(instances::Instance {
        id: "w1".into(),
        service: "agent-llm".into(),
        place: "surat-hall-a".into(),
        side: "127.0.0.1:1".into(),
        http: "127.0.0.1:2".into(),
        state: instances::State::Live,
    });
    expect_that!(fetch(&list).await, len(eq(1)));
    list.set_lag(Duration::from_secs(3600));
    expect_that!(fetch(&list).await, is_empty());
    list.leave("w1");
    list.set_lag(Duration::ZERO);
    expect_eq!(fetch(&list).await[0].state, instances::State::Leaving);
}
