//! Checks a whole configuration before it is accepted or adopted.

use crate::state::{
    ConfigImage, ModelName, ModelSpec, PoolName, PoolSpec, RolloutSpec, ServiceSpec, StateError,
    VersionName, WorkspaceSpec,
};

/// Values that shares and ratings may take.
const UNIT_RANGE: &str = "0 to 1";

/// Finds everything that is wrong with a configuration.
///
/// ```
/// use galenamast::coordination::check_image;
/// use galenamast::state::ConfigImage;
///
/// assert!(check_image(&ConfigImage::default()).is_empty());
/// ```
pub fn check_image(image: &ConfigImage) -> Vec<StateError> {
    let mut check = ImageCheck {
        image,
        errors: Vec::new(),
    };
    image.pools.values().for_each(|pool| check.pool(pool));
    image.models.values().for_each(|model| check.model(model));
    image
        .services
        .values()
        .for_each(|service| check.service(service));
    image
        .rollouts
        .values()
        .for_each(|rollout| check.rollout(rollout));
    image
        .workspaces
        .values()
        .for_each(|workspace| check.workspace(workspace));
    check.errors
}

/// A check under way.
struct ImageCheck<'a> {
    image: &'a ConfigImage,
    errors: Vec<StateError>,
}

impl ImageCheck<'_> {
    /// Checks a pool.
    fn pool(&mut self, pool: &PoolSpec) {
        let subject = format!("pool {}", pool.name);
        let slots = pool.slots_per_server;
        self.require(
            slots >= 1,
            &subject,
            "slots_per_server",
            &slots,
            "at least 1",
        );
        let positive = !pool.attempt_timeout.is_zero();
        let timeout = format!("{:?}", pool.attempt_timeout);
        self.require(positive, &subject, "attempt_timeout", &timeout, "above 0");
    }

    /// Checks a model.
    fn model(&mut self, model: &ModelSpec) {
        for (name, version) in &model.versions {
            let subject = format!("version {}@{name}", model.name);
            self.pool_exists(&subject, &version.pool);
            self.unit(&subject, "prior_quality", version.prior_quality);
            for prior in version.task_priors.values() {
                self.unit(&subject, "task_priors", *prior);
            }
        }
    }

    /// Checks a plain service.
    fn service(&mut self, service: &ServiceSpec) {
        self.pool_exists(&format!("service {}", service.name), &service.pool);
    }

    /// Checks a roll-out.
    fn rollout(&mut self, rollout: &RolloutSpec) {
        let subject = format!("rollout {}", rollout.name);
        self.version_exists(&subject, &rollout.model, &rollout.candidate);
        self.version_exists(&subject, &rollout.model, &rollout.baseline);
        let distinct = rollout.candidate != rollout.baseline;
        let candidate = rollout.candidate.as_str();
        self.require(
            distinct,
            &subject,
            "candidate",
            &candidate,
            "not the baseline",
        );
        let shares = &rollout.step_shares;
        let ascending = shares.is_sorted() && shares.last().is_some_and(|last| *last <= 1_000);
        let allowed = "ascending thousandths up to 1000, at least one";
        self.require(
            ascending,
            &subject,
            "step_shares",
            &format!("{shares:?}"),
            allowed,
        );
        let exists = (rollout.step as usize) < shares.len();
        self.require(
            exists,
            &subject,
            "step",
            &rollout.step,
            "an index of step_shares",
        );
        self.unit(&subject, "tolerated_loss", rollout.tolerated_loss);
        let rate = rollout.false_alarm_rate;
        let open = rate > 0.0 && rate < 1.0;
        self.require(open, &subject, "false_alarm_rate", &rate, "between 0 and 1");
    }

    /// Checks a workspace.
    fn workspace(&mut self, workspace: &WorkspaceSpec) {
        let subject = format!("workspace {}", workspace.name);
        for (model, versions) in &workspace.allowed {
            for version in versions {
                self.version_exists(&subject, model, version);
            }
        }
        for service in &workspace.services {
            if !self.image.services.contains_key(service) {
                self.dangling(&subject, "service", service);
            }
        }
        self.unit(&subject, "quality_target", workspace.quality_target);
        self.unit(&subject, "mixing_shortfall", workspace.mixing_shortfall);
        for target in workspace.task_targets.values() {
            self.unit(&subject, "task_targets", *target);
        }
        let weights = workspace.weights;
        self.positive(&subject, "weights.cost", weights.cost, true);
        self.positive(&subject, "weights.latency", weights.latency, true);
        self.positive(&subject, "weights.exposure", weights.exposure, true);
        let limits = workspace.limits;
        let rate = limits.requests_per_second;
        self.positive(&subject, "limits.requests_per_second", rate, false);
        self.positive(&subject, "limits.share_weight", limits.share_weight, false);
        self.positive(&subject, "limits.retry_ratio", limits.retry_ratio, true);
    }

    /// Requires a pool of this name.
    fn pool_exists(&mut self, subject: &str, name: &PoolName) {
        if !self.image.pools.contains_key(name) {
            self.dangling(subject, "pool", name);
        }
    }

    /// Requires a version of this name.
    fn version_exists(&mut self, subject: &str, model: &ModelName, version: &VersionName) {
        let found = self.image.models.get(model);
        if !found.is_some_and(|model| model.versions.contains_key(version)) {
            self.dangling(subject, "version", &format!("{model}@{version}"));
        }
    }

    /// Requires a number from 0 to 1.
    fn unit(&mut self, subject: &str, field: &'static str, value: f64) {
        let inside = (0.0..=1.0).contains(&value);
        self.require(inside, subject, field, &value, UNIT_RANGE);
    }

    /// Requires a finite number above zero, or at zero where that is allowed.
    fn positive(&mut self, subject: &str, field: &'static str, value: f64, zero: bool) {
        let inside = value.is_finite() && (value > 0.0 || (zero && value == 0.0));
        let allowed = if zero { "0 or above" } else { "above 0" };
        self.require(inside, subject, field, &value, allowed);
    }

    /// Records a value that is out of range.
    fn require(
        &mut self,
        holds: bool,
        subject: &str,
        field: &'static str,
        value: &impl ToString,
        allowed: &'static str,
    ) {
        if holds {
            return;
        }
        self.errors.push(StateError::OutOfRange {
            subject: subject.into(),
            field,
            value: value.to_string(),
            allowed,
        });
    }

    /// Records a reference to something that does not exist.
    fn dangling(&mut self, referrer: &str, kind: &'static str, name: &impl ToString) {
        self.errors.push(StateError::DanglingReference {
            referrer: referrer.into(),
            kind,
            name: name.to_string(),
        });
    }
}
