//! Runs one entry host on embedded stand-ins and sends it the requests of two workspaces.

use std::collections::BTreeMap;
use std::error::Error;
use std::time::Duration;

use galenamast::config::{HostSettings, PlatformSettings, Settings};
use galenamast::coordination::{ConfigObject, HeadDocument};
use galenamast::event_loop::EntryHost;
use galenamast::state::{
    ConfigGeneration, KeyDigest, ModelSpec, PoolSpec, VersionSpec, WorkspaceSpec,
};
use galenamast::transport::HttpClient;
use galenamast::transport::http_client::json_request;
use galenamast_fakes::{EngineOptions, FakeEngine, FakeHosts, FakeObjects, ListedHost};
use http::{Method, header};
use http_body_util::BodyExt;
use serde_json::{Value, json};

/// Requests that each workspace sends.
const REQUESTS_PER_WORKSPACE: usize = 5;
/// Time in which the host must become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let versions: BTreeMap<String, f64> = [
        ("advice@small".to_owned(), 0.7),
        ("advice@large".to_owned(), 0.95),
    ]
    .into();
    let engine = FakeEngine::start(EngineOptions {
        versions,
        ..Default::default()
    })
    .await;
    let hosts = FakeHosts::start().await;
    hosts.publish(|list| {
        list.push(ListedHost {
            name: "consejero-1".into(),
            address: engine.address().to_string(),
            domain: "cumbre".into(),
            pool: "consejero".into(),
            incarnation: 1,
            state: "live".into(),
        });
    });
    let objects = FakeObjects::start().await;
    write_configuration(&objects)?;
    let settings = Settings {
        host: HostSettings {
            name: "host-1".into(),
            domain: "cumbre".into(),
            ..Default::default()
        },
        callers: galenamast::config::CallersSettings {
            listen: "127.0.0.1:0".parse()?,
            ..Default::default()
        },
        platform: PlatformSettings {
            objects: Some(objects.address()),
            host_list: Some(hosts.address()),
            ..Default::default()
        },
        ..Default::default()
    };
    let host = EntryHost::start(settings).await?;
    let client = HttpClient::new();
    let address = host.caller_address().to_string();
    wait_until_ready(&client, &address).await?;
    println!(
        "{:<12} {:<10} {:<8} answer",
        "workspace", "model", "version"
    );
    for workspace in ["nieve-alta", "saurashtra"] {
        for _ in 0..REQUESTS_PER_WORKSPACE {
            send_request(&client, &address, workspace).await?;
        }
    }
    host.stop().await;
    println!("quickstart: ok");
    Ok(())
}

/// Waits until the host has a configuration and a server.
async fn wait_until_ready(client: &HttpClient, address: &str) -> Result<(), Box<dyn Error>> {
    let ready = async {
        loop {
            let request = json_request(Method::GET, address, "/readyz", None::<&()>)?;
            if client.send(address, request).await?.status().is_success() {
                return Ok::<(), Box<dyn Error>>(());
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(READY_TIMEOUT, ready).await?
}

/// Sends one request and prints what answered.
async fn send_request(
    client: &HttpClient,
    address: &str,
    workspace: &str,
) -> Result<(), Box<dyn Error>> {
    let body =
        json!({ "model": "auto", "messages": [{ "role": "user", "content": "boot size?" }] });
    let mut request = json_request(Method::POST, address, "/v1/chat/completions", Some(&body))?;
    let key = format!("Bearer {workspace}-key").parse()?;
    request.headers_mut().insert(header::AUTHORIZATION, key);
    let response = client.send(address, request).await?;
    let status = response.status();
    let text = |name: &str| {
        let value = response
            .headers()
            .get(name)
            .and_then(|value| value.to_str().ok());
        value.unwrap_or("-").to_owned()
    };
    let (model, version) = (text("x-model"), text("x-version"));
    let answer: Value = serde_json::from_slice(&response.into_body().collect().await?.to_bytes())?;
    if !status.is_success() {
        return Err(format!("{workspace}: status {status}: {answer}").into());
    }
    let content = answer["choices"][0]["message"]["content"]
        .as_str()
        .unwrap_or_default();
    println!("{workspace:<12} {model:<10} {version:<8} {content}");
    Ok(())
}

/// Writes the configuration of both workspaces to the object API.
fn write_configuration(objects: &FakeObjects) -> Result<(), Box<dyn Error>> {
    let version = |price| VersionSpec {
        pool: "consejero".into(),
        input_price: price,
        output_price: price * 3,
        ..Default::default()
    };
    let model = ModelSpec {
        name: "advice".into(),
        versions: [
            ("small".into(), version(100)),
            ("large".into(), version(900)),
        ]
        .into(),
    };
    let mut documents = vec![
        ConfigObject::Pool(PoolSpec {
            name: "consejero".into(),
            ..Default::default()
        }),
        ConfigObject::Model(model),
    ];
    for name in ["nieve-alta", "saurashtra"] {
        documents.push(ConfigObject::Workspace(WorkspaceSpec {
            name: name.into(),
            key_digests: vec![KeyDigest::of_key(&format!("{name}-key"))],
            allowed: [("advice".into(), ["small".into(), "large".into()].into())].into(),
            ..Default::default()
        }));
    }
    let mut head = HeadDocument {
        generation: ConfigGeneration(1),
        ..Default::default()
    };
    for document in documents {
        let encoded = document.encode()?;
        head.entries
            .insert(document.entry_name(), encoded.digest.clone());
        objects.put("config", &encoded.digest.0, serde_json::to_value(&encoded)?);
    }
    objects.put("head", "config", serde_json::to_value(&head)?);
    Ok(())
}
