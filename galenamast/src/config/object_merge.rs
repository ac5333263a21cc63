//! Merges declarative files with the configuration in force.

use std::collections::BTreeMap;

use crate::config::object_file::DeclaredObjects;
use crate::coordination::ConfigObject;
use crate::state::{
    ConfigImage, ModelName, ModelSpec, PoolSpec, RolloutSpec, VersionSpec, WorkspaceSpec,
};

impl DeclaredObjects {
    /// Returns the objects that differ from the configuration in force.
    ///
    /// State that has admin calls of its own is kept: keys of workspaces, progress of roll-outs
    /// and, where the files do not set them, stages of versions and drained servers. Versions that
    /// the files do not name stay in their model.
    ///
    /// ```
    /// use galenamast::config::parse_objects;
    /// use galenamast::state::ConfigImage;
    ///
    /// let objects = parse_objects("pools.ini", "[pool advice]\n").unwrap();
    /// assert_eq!(objects.changes(&ConfigImage::default())[0].entry_name(), "pool/advice");
    /// ```
    pub fn changes(&self, image: &ConfigImage) -> Vec<ConfigObject> {
        let mut objects = Vec::new();
        objects.extend(self.merged_pools(image).map(ConfigObject::Pool));
        objects.extend(
            self.merged_models(image)
                .into_values()
                .map(ConfigObject::Model),
        );
        let services = self.services.values().map(|service| service.spec.clone());
        objects.extend(services.map(ConfigObject::Service));
        objects.extend(self.merged_rollouts(image).map(ConfigObject::Rollout));
        objects.extend(self.merged_workspaces(image).map(ConfigObject::Workspace));
        objects.retain(|object| find_object(image, object).as_ref() != Some(object));
        objects
    }

    /// Returns the declared pools; a pool whose drained servers are not set keeps them.
    fn merged_pools(&self, image: &ConfigImage) -> impl Iterator<Item = PoolSpec> {
        self.pools.iter().map(|(name, declared)| {
            let mut spec = declared.spec.clone();
            if let Some(current) = image.pools.get(name)
                && !declared.has_key("drained_servers")
            {
                spec.drained_servers.clone_from(&current.drained_servers);
            }
            spec
        })
    }

    /// Returns the models of the declared versions; a version whose stage is not set keeps it.
    fn merged_models(&self, image: &ConfigImage) -> BTreeMap<ModelName, ModelSpec> {
        let mut models: BTreeMap<ModelName, ModelSpec> = BTreeMap::new();
        for (key, declared) in &self.versions {
            let mut spec: VersionSpec = declared.spec.clone();
            if let Some(current) = image.version(key)
                && !declared.has_key("stage")
            {
                spec.stage = current.stage;
            }
            let model = models.entry(key.model.clone()).or_insert_with(|| {
                let current = image.models.get(&key.model);
                current.map_or_else(
                    || ModelSpec {
                        name: key.model.clone(),
                        ..Default::default()
                    },
                    |current| current.as_ref().clone(),
                )
            });
            model.versions.insert(key.version.clone(), spec);
        }
        models
    }

    /// Returns the declared roll-outs, each with its current step and phase.
    fn merged_rollouts(&self, image: &ConfigImage) -> impl Iterator<Item = RolloutSpec> {
        self.rollouts.iter().map(|(name, declared)| {
            let mut spec = declared.spec.clone();
            if let Some(current) = image.rollouts.get(name) {
                spec.step = current.step;
                spec.phase = current.phase;
            }
            spec
        })
    }

    /// Returns the declared workspaces, each with its current bearer keys.
    fn merged_workspaces(&self, image: &ConfigImage) -> impl Iterator<Item = WorkspaceSpec> {
        self.workspaces.iter().map(|(name, declared)| {
            let mut spec = declared.spec.clone();
            if let Some(current) = image.workspaces.get(name) {
                spec.key_digests.clone_from(&current.key_digests);
            }
            spec
        })
    }
}

/// Returns the object of the same kind and name in a configuration, if there is one.
pub fn find_object(image: &ConfigImage, object: &ConfigObject) -> Option<ConfigObject> {
    match object {
        ConfigObject::Workspace(spec) => {
            let current = image.workspaces.get(&spec.name)?;
            Some(ConfigObject::Workspace(current.as_ref().clone()))
        }
        ConfigObject::Model(spec) => {
            let current = image.models.get(&spec.name)?;
            Some(ConfigObject::Model(current.as_ref().clone()))
        }
        ConfigObject::Pool(spec) => {
            let current = image.pools.get(&spec.name)?;
            Some(ConfigObject::Pool(current.as_ref().clone()))
        }
        ConfigObject::Service(spec) => {
            let current = image.services.get(&spec.name)?;
            Some(ConfigObject::Service(current.as_ref().clone()))
        }
        ConfigObject::Rollout(spec) => {
            let current = image.rollouts.get(&spec.name)?;
            Some(ConfigObject::Rollout(current.as_ref().clone()))
        }
        ConfigObject::SessionKeys(_) => {
            let current = image.session_keys.as_ref()?;
            Some(ConfigObject::SessionKeys(current.as_ref().clone()))
        }
    }
}
