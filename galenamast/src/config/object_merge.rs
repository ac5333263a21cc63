//! What declarative files ask for, given the configuration in force.

use std::collections::BTreeMap;

use crate::config::object_file::DeclaredObjects;
use crate::coordination::ConfigObject;
use crate::state::{
    ConfigImage, ModelName, ModelSpec, PoolSpec, RolloutSpec, VersionSpec, WorkspaceSpec,
};

impl DeclaredObjects {
    /// Returns the objects that differ from the configuration in force.
    ///
    /// What calls of their own change stays as it is: keys of workspaces, progress of roll-outs,
    /// and, where the files are silent, stages of versions and drained servers. Versions that the
    /// files do not name stay in their model.
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
        objects.extend(self.pools(image).map(ConfigObject::Pool));
        objects.extend(self.models(image).into_values().map(ConfigObject::Model));
        let services = self.services.values().map(|service| service.spec.clone());
        objects.extend(services.map(ConfigObject::Service));
        objects.extend(self.rollouts(image).map(ConfigObject::Rollout));
        objects.extend(self.workspaces(image).map(ConfigObject::Workspace));
        objects.retain(|object| find_object(image, object).as_ref() != Some(object));
        objects
    }

    /// Returns the pools that the files ask for.
    fn pools(&self, image: &ConfigImage) -> impl Iterator<Item = PoolSpec> {
        self.pools.iter().map(|(name, declared)| {
            let mut spec = declared.spec.clone();
            if let Some(known) = image.pools.get(name)
                && !declared.gives("drained_servers")
            {
                spec.drained_servers.clone_from(&known.drained_servers);
            }
            spec
        })
    }

    /// Returns the models that the files ask for.
    fn models(&self, image: &ConfigImage) -> BTreeMap<ModelName, ModelSpec> {
        let mut models: BTreeMap<ModelName, ModelSpec> = BTreeMap::new();
        for (key, declared) in &self.versions {
            let mut spec: VersionSpec = declared.spec.clone();
            if let Some(known) = image.version(key)
                && !declared.gives("stage")
            {
                spec.stage = known.stage;
            }
            let model = models.entry(key.model.clone()).or_insert_with(|| {
                let known = image.models.get(&key.model);
                known.map_or_else(
                    || ModelSpec {
                        name: key.model.clone(),
                        ..Default::default()
                    },
                    |known| known.as_ref().clone(),
                )
            });
            model.versions.insert(key.version.clone(), spec);
        }
        models
    }

    /// Returns the roll-outs that the files ask for.
    fn rollouts(&self, image: &ConfigImage) -> impl Iterator<Item = RolloutSpec> {
        self.rollouts.iter().map(|(name, declared)| {
            let mut spec = declared.spec.clone();
            if let Some(known) = image.rollouts.get(name) {
                spec.step = known.step;
                spec.phase = known.phase;
            }
            spec
        })
    }

    /// Returns the workspaces that the files ask for.
    fn workspaces(&self, image: &ConfigImage) -> impl Iterator<Item = WorkspaceSpec> {
        self.workspaces.iter().map(|(name, declared)| {
            let mut spec = declared.spec.clone();
            if let Some(known) = image.workspaces.get(name) {
                spec.key_digests.clone_from(&known.key_digests);
            }
            spec
        })
    }
}

/// Finds the object of the same kind and name in a configuration.
pub fn find_object(image: &ConfigImage, object: &ConfigObject) -> Option<ConfigObject> {
    match object {
        ConfigObject::Workspace(spec) => {
            let known = image.workspaces.get(&spec.name)?;
            Some(ConfigObject::Workspace(known.as_ref().clone()))
        }
        ConfigObject::Model(spec) => {
            let known = image.models.get(&spec.name)?;
            Some(ConfigObject::Model(known.as_ref().clone()))
        }
        ConfigObject::Pool(spec) => {
            let known = image.pools.get(&spec.name)?;
            Some(ConfigObject::Pool(known.as_ref().clone()))
        }
        ConfigObject::Service(spec) => {
            let known = image.services.get(&spec.name)?;
            Some(ConfigObject::Service(known.as_ref().clone()))
        }
        ConfigObject::Rollout(spec) => {
            let known = image.rollouts.get(&spec.name)?;
            Some(ConfigObject::Rollout(known.as_ref().clone()))
        }
        ConfigObject::SessionKeys(_) => {
            let known = image.session_keys.as_ref()?;
            Some(ConfigObject::SessionKeys(known.as_ref().clone()))
        }
    }
}
