//! Plans which engines of a failure domain serve which versions.

use std::collections::{BTreeMap, BTreeSet};

use crate::coordination::placement_input::{
    MoveKind, MoveReason, PlacementMove, PlacementPlan, PlacementServer, PlacementSettings,
    ReplicaCount, VersionDemand,
};
use crate::coordination::placement_needs::required_replicas;
use crate::state::{ConfigImage, ServerLifecycle, ServerName, VersionKey};

/// Plans the placement of versions with as few moves as possible.
///
/// Versions below their minimum come first. A version is loaded on an engine with enough free
/// memory; if there is none, surplus replicas of other versions are unloaded first. A replica is
/// unloaded only while enough others serve, so a move loads before it unloads. If no surplus frees
/// enough memory and no load is planned or under way, another version is loaded on a second engine,
/// so that a later plan can unload it from the first.
///
/// ```
/// use galenamast::coordination::placement_planner::plan_placement;
/// use galenamast::coordination::{PlacementPlan, PlacementSettings};
/// use galenamast::state::ConfigImage;
///
/// let settings = PlacementSettings::default();
/// let plan = plan_placement(&ConfigImage::default(), &[], &Default::default(), &settings);
/// assert_eq!(plan, PlacementPlan::default());
/// ```
pub fn plan_placement(
    image: &ConfigImage,
    servers: &[PlacementServer],
    demand: &VersionDemand,
    settings: &PlacementSettings,
) -> PlacementPlan {
    let mut draft = PlacementDraft::new(image, servers, required_replicas(image, demand, settings));
    draft.unload_withdrawn();
    let loading: usize = servers.iter().map(|server| server.loading().count()).sum();
    let mut loads_left = settings.max_loads.saturating_sub(loading);
    for reason in [MoveReason::BelowMinimum, MoveReason::Demand] {
        while loads_left > 0 && draft.load_most_missing(reason) {
            loads_left -= 1;
        }
    }
    if loading == 0 && loads_left == settings.max_loads {
        draft.relocate_for_unplaced();
    }
    draft.finish()
}

/// Plan under construction.
struct PlacementDraft<'a> {
    image: &'a ConfigImage,
    servers: BTreeMap<ServerName, &'a PlacementServer>,
    needs: BTreeMap<VersionKey, ReplicaCount>,
    plan: PlacementPlan,
    /// Versions for which no engine has or can free enough memory.
    unplaced: BTreeSet<VersionKey>,
}

impl<'a> PlacementDraft<'a> {
    /// Creates a draft in which each live engine keeps what it serves or is loading.
    fn new(
        image: &'a ConfigImage,
        servers: &'a [PlacementServer],
        needs: BTreeMap<VersionKey, ReplicaCount>,
    ) -> Self {
        let live = servers
            .iter()
            .filter(|server| server.lifecycle == ServerLifecycle::Live);
        let servers: BTreeMap<_, _> = live.map(|server| (server.name.clone(), server)).collect();
        let current = |server: &PlacementServer| &server.loaded | &server.ordered;
        let desired = servers
            .iter()
            .map(|(name, server)| (name.clone(), current(server)))
            .collect();
        let plan = PlacementPlan {
            desired,
            ..Default::default()
        };
        Self {
            image,
            servers,
            needs,
            plan,
            unplaced: BTreeSet::new(),
        }
    }

    /// Unloads versions that need no replicas or are not configured.
    fn unload_withdrawn(&mut self) {
        for (name, versions) in self.plan.desired.clone() {
            for version in versions {
                if self.needs.get(&version).is_none_or(|need| need.needed == 0) {
                    self.unload(&name, &version, MoveReason::Withdrawn);
                }
            }
        }
    }

    /// Loads a replica of the version that lacks the most; returns whether one was loaded.
    fn load_most_missing(&mut self, reason: MoveReason) -> bool {
        while let Some(version) = self.most_missing(reason) {
            if let Some(server) = self.find_engine(&version) {
                self.load(&server, &version, reason);
                return true;
            }
            if self.free_surplus(&version, reason) {
                continue;
            }
            self.unplaced.insert(version);
        }
        false
    }

    /// Returns the version that lacks the most replicas, if any lacks some.
    fn most_missing(&self, reason: MoveReason) -> Option<VersionKey> {
        let missing = |version: &VersionKey, need: &ReplicaCount| {
            let wanted = match reason {
                MoveReason::BelowMinimum => need.minimum.min(need.needed),
                _ => need.needed,
            };
            wanted.saturating_sub(self.planned(version))
        };
        let candidates = self
            .needs
            .iter()
            .filter(|(version, _)| !self.unplaced.contains(*version))
            .map(|(version, need)| (missing(version, need), version))
            .filter(|(missing, _)| *missing > 0);
        candidates.max().map(|(_, version)| version.clone())
    }

    /// Returns the engine of the version's pool with the most free memory, if the version fits
    /// there.
    fn find_engine(&self, version: &VersionKey) -> Option<ServerName> {
        let size = self.size_of(version);
        let engines = self.engines_without(version);
        let fitting = engines.filter(|name| self.free_memory(name) >= size);
        fitting.max_by_key(|name| self.free_memory(name)).cloned()
    }

    /// Unloads surplus replicas on the engine where the fewest free enough memory for a version;
    /// returns whether there is one.
    fn free_surplus(&mut self, version: &VersionKey, reason: MoveReason) -> bool {
        let size = self.size_of(version);
        let mut chosen = None;
        for name in self.engines_without(version) {
            let mut free = self.free_memory(name);
            let mut surplus = Vec::new();
            for other in &self.plan.desired[name] {
                if free >= size {
                    break;
                }
                if self.is_surplus(name, other, reason) {
                    free += self.size_of(other);
                    surplus.push(other.clone());
                }
            }
            let fewer = chosen
                .as_ref()
                .is_none_or(|(_, best): &(ServerName, Vec<VersionKey>)| surplus.len() < best.len());
            if free >= size && fewer {
                chosen = Some((name.clone(), surplus));
            }
        }
        let Some((name, surplus)) = chosen else {
            return false;
        };
        for other in surplus {
            self.unload(&name, &other, MoveReason::Surplus);
        }
        true
    }

    /// Loads one version on a second engine, so that a later plan can unload it from the first and
    /// place an unplaced version there.
    fn relocate_for_unplaced(&mut self) {
        for version in self.unplaced.clone() {
            if let Some((target, other)) = self.find_relocation(&version) {
                self.load(&target, &other, MoveReason::Relocation);
                return;
            }
        }
    }

    /// Returns a version whose move to another engine frees enough memory, and that engine.
    fn find_relocation(&self, version: &VersionKey) -> Option<(ServerName, VersionKey)> {
        let size = self.size_of(version);
        for name in self.engines_without(version) {
            for other in &self.plan.desired[name] {
                let enough = self.free_memory(name) + self.size_of(other) >= size;
                let target = self.find_engine(other).filter(|_| enough);
                if let Some(target) = target {
                    return Some((target, other.clone()));
                }
            }
        }
        None
    }

    /// Returns whether a version keeps enough serving replicas without the one on `server`: as many
    /// as its demand needs, or its minimum if the memory is for a version below its own minimum.
    fn is_surplus(&self, server: &ServerName, version: &VersionKey, reason: MoveReason) -> bool {
        let needed = self.needs.get(version).map_or(0, |need| match reason {
            MoveReason::BelowMinimum => need.minimum.min(need.needed),
            _ => need.needed,
        });
        let serving = self.servers.values().filter(|other| {
            let desired = self.plan.desired[&other.name].contains(version);
            other.name != *server && desired && other.loaded.contains(version)
        });
        serving.count() >= needed
    }

    /// Returns the engines of the version's pool that are not planned to serve it.
    fn engines_without(&self, version: &VersionKey) -> impl Iterator<Item = &ServerName> {
        let pool = self.image.version(version).map(|spec| &spec.pool);
        self.servers
            .values()
            .filter(move |server| Some(&server.pool) == pool)
            .map(|server| &server.name)
            .filter(|name| !self.plan.desired[*name].contains(version))
    }

    /// Returns the free memory of an engine under the plan, in mebibytes.
    fn free_memory(&self, server: &ServerName) -> u64 {
        let pool = self.image.pools.get(&self.servers[server].pool);
        let memory = pool.map_or(0, |pool| pool.memory_mib);
        let used: u64 = self.plan.desired[server]
            .iter()
            .map(|version| self.size_of(version))
            .sum();
        memory.saturating_sub(used)
    }

    /// Returns the size of a version's weights, in mebibytes.
    fn size_of(&self, version: &VersionKey) -> u64 {
        let spec = self.image.version(version);
        spec.map_or(0, |spec| spec.weights_mib)
    }

    /// Returns the number of engines that are planned to serve a version.
    fn planned(&self, version: &VersionKey) -> usize {
        let desired = self.plan.desired.values();
        desired
            .filter(|versions| versions.contains(version))
            .count()
    }

    /// Plans to load a version on an engine.
    fn load(&mut self, server: &ServerName, version: &VersionKey, reason: MoveReason) {
        let versions = self.plan.desired.entry(server.clone()).or_default();
        versions.insert(version.clone());
        self.add_move(server, version, MoveKind::Load, reason);
    }

    /// Plans to unload a version from an engine.
    fn unload(&mut self, server: &ServerName, version: &VersionKey, reason: MoveReason) {
        let versions = self.plan.desired.entry(server.clone()).or_default();
        versions.remove(version);
        self.add_move(server, version, MoveKind::Unload, reason);
    }

    /// Adds a move to the plan.
    fn add_move(
        &mut self,
        server: &ServerName,
        version: &VersionKey,
        kind: MoveKind,
        reason: MoveReason,
    ) {
        self.plan.moves.push(PlacementMove {
            server: server.clone(),
            version: version.clone(),
            kind,
            reason,
        });
    }

    /// Counts the loaded and planned replicas and returns the plan.
    fn finish(mut self) -> PlacementPlan {
        let mut replicas = std::mem::take(&mut self.needs);
        for (version, count) in &mut replicas {
            let serving = self
                .servers
                .values()
                .filter(|server| server.loaded.contains(version));
            count.loaded = serving.count();
            count.planned = self.planned(version);
        }
        self.plan.replicas = replicas;
        self.plan
    }
}
