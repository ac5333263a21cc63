//! Plans which engine of a failure domain serves which versions.

use std::collections::{BTreeMap, BTreeSet};

use crate::coordination::placement_input::{
    MoveKind, MoveReason, PlacementMove, PlacementPlan, PlacementServer, PlacementSettings,
    ReplicaCount, VersionDemand,
};
use crate::coordination::placement_needs::required_replicas;
use crate::state::{ConfigImage, ServerLifecycle, ServerName, VersionKey};

/// Plans the placement with as few moves as possible.
///
/// Versions below their minimum come first. A version is loaded where there is room; where there is
/// none, a replica that others can spare makes room first. A replica is unloaded only while enough
/// others serve, so that a move loads before it unloads. If nothing else helps, a version is loaded
/// on a second engine, so that a later plan can unload it from the first.
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
    let under_way: usize = servers.iter().map(|server| server.loading().count()).sum();
    let mut loads_left = settings.max_loads.saturating_sub(under_way);
    for reason in [MoveReason::BelowMinimum, MoveReason::Demand] {
        while loads_left > 0 && draft.load_most_missing(reason) {
            loads_left -= 1;
        }
    }
    if under_way == 0 && loads_left == settings.max_loads {
        draft.relocate_for_stuck();
    }
    draft.finish()
}

/// A plan under way.
struct PlacementDraft<'a> {
    image: &'a ConfigImage,
    servers: BTreeMap<ServerName, &'a PlacementServer>,
    needs: BTreeMap<VersionKey, ReplicaCount>,
    plan: PlacementPlan,
    /// Versions for which no room was found.
    stuck: BTreeSet<VersionKey>,
}

impl<'a> PlacementDraft<'a> {
    /// Starts with what the engines serve or are loading.
    fn new(
        image: &'a ConfigImage,
        servers: &'a [PlacementServer],
        needs: BTreeMap<VersionKey, ReplicaCount>,
    ) -> Self {
        let live = servers
            .iter()
            .filter(|server| server.lifecycle == ServerLifecycle::Live);
        let servers: BTreeMap<_, _> = live.map(|server| (server.name.clone(), server)).collect();
        let kept = |server: &PlacementServer| &server.loaded | &server.ordered;
        let desired = servers
            .iter()
            .map(|(name, server)| (name.clone(), kept(server)))
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
            stuck: BTreeSet::new(),
        }
    }

    /// Unloads what takes no new work or is not configured.
    fn unload_withdrawn(&mut self) {
        for (name, versions) in self.plan.desired.clone() {
            for version in versions {
                if self.needs.get(&version).is_none_or(|need| need.needed == 0) {
                    self.unload(&name, &version, MoveReason::Withdrawn);
                }
            }
        }
    }

    /// Loads a replica of the version that lacks most; returns whether there was one to load.
    fn load_most_missing(&mut self, reason: MoveReason) -> bool {
        while let Some(version) = self.most_missing(reason) {
            if let Some(server) = self.find_room(&version) {
                self.load(&server, &version, reason);
                return true;
            }
            if self.make_room(&version, reason) {
                continue;
            }
            self.stuck.insert(version);
        }
        false
    }

    /// Returns the version that lacks most replicas.
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
            .filter(|(version, _)| !self.stuck.contains(*version))
            .map(|(version, need)| (missing(version, need), version))
            .filter(|(missing, _)| *missing > 0);
        candidates.max().map(|(_, version)| version.clone())
    }

    /// Finds the engine of the version's pool that has the most room for it.
    fn find_room(&self, version: &VersionKey) -> Option<ServerName> {
        let size = self.size_of(version);
        let hosts = self.hosts_without(version);
        let with_room = hosts.filter(|name| self.free_memory(name) >= size);
        with_room.max_by_key(|name| self.free_memory(name)).cloned()
    }

    /// Unloads replicas that can be spared, on the engine where that makes enough room.
    fn make_room(&mut self, version: &VersionKey, reason: MoveReason) -> bool {
        let size = self.size_of(version);
        let mut chosen = None;
        for name in self.hosts_without(version) {
            let mut free = self.free_memory(name);
            let mut spared = Vec::new();
            for other in &self.plan.desired[name] {
                if free >= size {
                    break;
                }
                if self.can_spare(name, other, reason) {
                    free += self.size_of(other);
                    spared.push(other.clone());
                }
            }
            let fewer = chosen
                .as_ref()
                .is_none_or(|(_, best): &(ServerName, Vec<VersionKey>)| spared.len() < best.len());
            if free >= size && fewer {
                chosen = Some((name.clone(), spared));
            }
        }
        let Some((name, spared)) = chosen else {
            return false;
        };
        for other in spared {
            self.unload(&name, &other, MoveReason::Surplus);
        }
        true
    }

    /// Loads a replica a second time where there is room, so that it can later make room elsewhere.
    fn relocate_for_stuck(&mut self) {
        for version in self.stuck.clone() {
            if let Some((target, other)) = self.find_relocation(&version) {
                self.load(&target, &other, MoveReason::Relocation);
                return;
            }
        }
    }

    /// Finds a version whose move to another engine makes enough room, and that engine.
    fn find_relocation(&self, version: &VersionKey) -> Option<(ServerName, VersionKey)> {
        let size = self.size_of(version);
        for name in self.hosts_without(version) {
            for other in &self.plan.desired[name] {
                let enough = self.free_memory(name) + self.size_of(other) >= size;
                let target = self.find_room(other).filter(|_| enough);
                if let Some(target) = target {
                    return Some((target, other.clone()));
                }
            }
        }
        None
    }

    /// Returns whether enough other replicas of a version serve now: as many as its demand needs,
    /// or the minimum if the room is for a version below its own minimum.
    fn can_spare(&self, server: &ServerName, version: &VersionKey, reason: MoveReason) -> bool {
        let needed = self.needs.get(version).map_or(0, |need| match reason {
            MoveReason::BelowMinimum => need.minimum.min(need.needed),
            _ => need.needed,
        });
        let serving = self.servers.values().filter(|other| {
            let kept = self.plan.desired[&other.name].contains(version);
            other.name != *server && kept && other.loaded.contains(version)
        });
        serving.count() >= needed
    }

    /// Returns the engines of the version's pool that are not to serve it.
    fn hosts_without(&self, version: &VersionKey) -> impl Iterator<Item = &ServerName> {
        let pool = self.image.version(version).map(|spec| &spec.pool);
        self.servers
            .values()
            .filter(move |server| Some(&server.pool) == pool)
            .map(|server| &server.name)
            .filter(|name| !self.plan.desired[*name].contains(version))
    }

    /// Returns the memory that is left on an engine, in mebibytes.
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

    /// Returns how many engines are to serve a version.
    fn planned(&self, version: &VersionKey) -> usize {
        let desired = self.plan.desired.values();
        desired
            .filter(|versions| versions.contains(version))
            .count()
    }

    /// Adds a load to the plan.
    fn load(&mut self, server: &ServerName, version: &VersionKey, reason: MoveReason) {
        let versions = self.plan.desired.entry(server.clone()).or_default();
        versions.insert(version.clone());
        self.note(server, version, MoveKind::Load, reason);
    }

    /// Adds an unload to the plan.
    fn unload(&mut self, server: &ServerName, version: &VersionKey, reason: MoveReason) {
        let versions = self.plan.desired.entry(server.clone()).or_default();
        versions.remove(version);
        self.note(server, version, MoveKind::Unload, reason);
    }

    /// Notes a move.
    fn note(
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

    /// Counts the replicas and returns the plan.
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
