//! The platform's file of a small deployment.

/// A class of the settings.
#[derive(Clone)]
pub struct Class {
    pub name: &'static str,
    pub aim_ms: u64,
    pub deadline_ms: u64,
    pub effect: &'static str,
    pub window_ms: u64,
}

#[derive(Clone)]
pub struct Deployment {
    pub classes: Vec<Class>,
    /// Tenants with their quotas.
    pub tenants: Vec<(&'static str, u64)>,
    pub stop_ms: u64,
    pub cores: u64,
    pub stop_mode: &'static str,
    /// Time after the notice for which arrivals may be run.
    pub grace_ms: u64,
    pub late_worth: f64,
    pub ram_kb: u64,
    pub run_factor: u64,
    /// Address of the records service; none where no class calls the next tier.
    pub records: Option<String>,
    /// New with each start.
    pub seed: &'static str,
}

impl Deployment {
    pub fn new(classes: Vec<Class>) -> Deployment {
        Deployment {
            classes,
            tenants: Vec::new(),
            stop_ms: 3200,
            cores: 6,
            stop_mode: "abort",
            grace_ms: 1800,
            late_worth: 0.2,
            ram_kb: 90_000,
            run_factor: 4,
            records: None,
            seed: "8c1f30d27a5be964",
        }
    }

    /// Returns the file for a backend at `listen`.
    pub fn file(&self, listen: &str, agent: &str, naming: &str) -> String {
        let class = |c: &Class| {
            format!(
                r#"{{"Name":"{}","AimMs":{},"DeadlineMs":{},"Effect":"{}","WindowMs":{},"Worth":1,"LateWorth":{}}}"#,
                c.name, c.aim_ms, c.deadline_ms, c.effect, c.window_ms, self.late_worth
            )
        };
        let classes: Vec<String> = self.classes.iter().map(class).collect();
        let tenant = |(name, quota): &(&str, u64)| {
            format!(r#"{{"Name":"{name}","QuotaRps":{quota},"Fraction":{}}}"#, 1.0 / self.tenants.len() as f64)
        };
        let tenants: Vec<String> = self.tenants.iter().map(tenant).collect();
        let tenants = match self.tenants.is_empty() {
            true => String::new(),
            false => format!(r#""Tenants":[{}],"#, tenants.join(",")),
        };
        format!(
            r#"{{"name":"n1","listen":"{listen}","agent":"{agent}","naming":"{naming}",{}"seed":"{}",
"stop_ms":{},"limits":{{"cores":1.0,"memory_mb":64,"sockets":384}},
"settings":{{"Categories":[{}],{tenants}
"FamilyInfo":{{"NCores":{},"RamKb":{},"RunFactor":{},"Below":"{}","Say":"window","StopMode":"{}",
"Gauges":["core_use","on_cores","heap_share","links"],"IdleMs":30000,"KbPerKey":10,"Callers":4,
"PassesDeadline":true,"TellsGone":true,"Cold":false}},
"Limits":{{"RetryAfter":true,"MaxRetryAfterMs":1000}},"ReplicasOfMe":1,"OverShareWorth":0.1,"StepMs":4,
"Safety":{{"AnswerSlackMs":100,"TipMultiple":8,"TipAfterMs":2000,"ColdFrom":0.3,"RampTimeMs":9000,
"StopSendingWithinMs":{}}}}}}}
"#,
            self.records.as_ref().map_or(String::new(), |records| format!(r#""records":"{records}","#)),
            self.seed,
            self.stop_ms,
            classes.join(","),
            self.cores,
            self.ram_kb,
            self.run_factor,
            if self.records.is_some() { "tier" } else { "off" },
            self.stop_mode,
            self.grace_ms
        )
    }
}
