//! The deployment of a scenario and the requests that it must bill.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use galenamast::coordination::ConfigObject;
use galenamast::state::{ConfigGeneration, SecretKey, SessionKeys};

use crate::caller::{Caller, CallerReply};
use crate::deployment::{Deployment, DeploymentOptions};
use crate::deployment_config::publish_config;
use crate::scenario_report::{ScenarioError, wait_for};

/// Key that signs session tokens in scenarios.
const SESSION_KEY: [u8; 32] = [7; 32];

/// State of a scenario: its deployment, its caller and the requests that must be billed.
#[derive(Debug)]
pub struct ScenarioContext {
    /// The deployment.
    pub deployment: Deployment,
    /// Workspace whose requests are sent.
    pub workspace: String,
    /// Identifiers of the requests that were answered and must be billed.
    pub answered: BTreeSet<String>,
    caller: Caller,
    generation: u64,
}

impl ScenarioContext {
    /// Starts a deployment for its first workspace and publishes a changed configuration.
    ///
    /// # Errors
    ///
    /// Returns an error if the deployment cannot start or does not adopt the configuration.
    pub async fn start(
        options: DeploymentOptions,
        change: impl FnOnce(&mut Vec<ConfigObject>),
    ) -> Result<Self, ScenarioError> {
        let workspace = options.workspaces.first().cloned();
        let workspace = workspace
            .ok_or_else(|| ScenarioError::new("the deployment options name no workspace"))?;
        let deployment = Deployment::start(options).await?;
        let mut context = Self {
            caller: Caller::new(&workspace),
            deployment,
            workspace,
            answered: BTreeSet::new(),
            generation: 1,
        };
        context.publish(change).await?;
        Ok(context)
    }

    /// Publishes a changed configuration and waits until every host has adopted it.
    ///
    /// # Errors
    ///
    /// Returns an error if a host does not adopt the configuration.
    pub async fn publish(
        &mut self,
        change: impl FnOnce(&mut Vec<ConfigObject>),
    ) -> Result<(), ScenarioError> {
        let mut documents = self.deployment.default_documents();
        documents.push(ConfigObject::SessionKeys(SessionKeys {
            current: SecretKey::from_bytes(SESSION_KEY),
            previous: None,
        }));
        change(&mut documents);
        self.generation += 1;
        let generation = ConfigGeneration(self.generation);
        publish_config(&self.deployment.objects, generation, &documents)
            .map_err(|error| ScenarioError::new(error.to_string()))?;
        let hosts = &self.deployment.hosts;
        let adopted = wait_for(|| {
            let mut images = hosts.values().map(|host| host.context().image.load());
            images.all(|image| image.generation >= generation)
        });
        if !adopted.await {
            return Err(ScenarioError::new("a host did not adopt the configuration"));
        }
        Ok(())
    }

    /// Returns an entry host's address for callers; the index wraps around after the last host.
    pub fn host(&self, index: usize) -> SocketAddr {
        let addresses = self.deployment.addresses();
        addresses[index % addresses.len()]
    }

    /// Sends a chat request that must be answered and billed.
    ///
    /// # Errors
    ///
    /// Returns an error if the request is not answered.
    pub async fn chat(
        &mut self,
        host: usize,
        headers: &[(&str, &str)],
    ) -> Result<CallerReply, ScenarioError> {
        let address = self.host(host);
        let content = "which boot size?";
        let reply = self.caller.chat(address, content, headers).await?;
        self.record_answer(reply)
    }

    /// Returns the caller that sends the scenario's requests.
    pub fn caller(&self) -> &Caller {
        &self.caller
    }

    /// Records an answer that must be billed.
    ///
    /// # Errors
    ///
    /// Returns an error if the status of the answer is not 200.
    pub fn record_answer(&mut self, reply: CallerReply) -> Result<CallerReply, ScenarioError> {
        if reply.status != 200 {
            let (status, body) = (reply.status, reply.json());
            return Err(ScenarioError::new(format!("status {status}: {body}")));
        }
        let id = reply.header("x-request-id").unwrap_or_default();
        self.answered.insert(id.to_owned());
        Ok(reply)
    }
}
