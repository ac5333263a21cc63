//! Runs the deployments of two organisations on embedded stand-ins and sends them requests.

use std::error::Error;

use galenamast_testbed::{Caller, Deployment, DeploymentOptions};

/// Requests that each workspace sends.
const REQUESTS_PER_WORKSPACE: usize = 5;

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    println!("{:<16} {:<8} {:<8} answer", "workspace", "model", "version");
    for options in [
        DeploymentOptions::nieve_alta(),
        DeploymentOptions::saurashtra(),
    ] {
        run_deployment(options).await?;
    }
    println!("quickstart: ok");
    Ok(())
}

/// Sends the requests of every workspace through every entry host of a deployment.
async fn run_deployment(options: DeploymentOptions) -> Result<(), Box<dyn Error>> {
    let deployment = Deployment::start(options).await?;
    let addresses = deployment.addresses();
    for workspace in &deployment.options.workspaces {
        let caller = Caller::new(workspace);
        for host in addresses.iter().cycle().take(REQUESTS_PER_WORKSPACE) {
            let reply = caller
                .chat(*host, "which boot size?", &[("x-task", "fit")])
                .await?;
            if reply.status != 200 {
                return Err(
                    format!("{workspace}: status {}: {}", reply.status, reply.json()).into(),
                );
            }
            let field = |name| reply.header(name).unwrap_or("-").to_owned();
            let (model, version) = (field("x-model"), field("x-version"));
            println!(
                "{workspace:<16} {model:<8} {version:<8} {}",
                reply.content()
            );
        }
    }
    deployment.stop().await;
    Ok(())
}
