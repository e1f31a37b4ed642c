//! Packs crash reports for a message, with each service and each crash written once.
//!
//! A crash leaves a report on each request that was running, and targets that crash at one instant leave hundreds. They share
//! few services and crashes, which are most of the bytes of a report.

use crate::{
    crash_record::{CrashReport, ReportedCrash},
    request_digest::RequestDigest,
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};

/// Crash reports as they travel between nodes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReportBatch {
    /// Full names of the services.
    services: Vec<String>,
    /// All crashes, with the age in ms of the one that was noticed first.
    crashes: Vec<(u64, u64)>,
    requests: Vec<PackedReport>,
}

/// The report on one request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct PackedReport {
    digest: RequestDigest,
    /// Index of the service.
    service: u32,
    /// For each crash, twice its index, plus one if it is cleared.
    crashes: Vec<u32>,
    good_run_age_ms: Option<u64>,
    release_age_ms: Option<u64>,
}

impl CrashReportBatch {
    /// Packs reports.
    pub fn pack(reports: &[CrashReport]) -> Self {
        let mut batch = Self::default();
        let mut services = HashMap::new();
        let mut crashes = BTreeMap::new();
        for report in reports {
            let service = *services.entry(report.service.as_str()).or_insert_with(|| {
                batch.services.push(report.service.clone());
                batch.services.len() as u32 - 1
            });
            let mut packed = Vec::with_capacity(report.ends.len());
            for crash in &report.ends {
                let index = *crashes.entry(crash.id).or_insert_with(|| {
                    batch.crashes.push((crash.id, crash.age_ms));
                    batch.crashes.len() as u32 - 1
                });
                let age_ms = &mut batch.crashes[index as usize].1;
                *age_ms = crash.age_ms.max(*age_ms);
                packed.push(index * 2 + u32::from(crash.is_cleared));
            }
            batch.requests.push(PackedReport {
                digest: report.digest,
                service,
                crashes: packed,
                good_run_age_ms: report.good_run_age_ms,
                release_age_ms: report.release_age_ms,
            });
        }
        batch
    }

    /// The reports. Those that name a service or crash that the batch lacks are left out.
    pub fn unpack(&self) -> Vec<CrashReport> {
        self.requests.iter().filter_map(|request| self.unpack_one(request)).collect()
    }

    /// The number of reports.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether there is no report.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    fn unpack_one(&self, request: &PackedReport) -> Option<CrashReport> {
        let crash = |packed: &u32| {
            let (id, age_ms) = *self.crashes.get(*packed as usize / 2)?;
            Some(ReportedCrash { id, age_ms, is_cleared: packed % 2 == 1 })
        };
        Some(CrashReport {
            digest: request.digest,
            service: self.services.get(request.service as usize)?.clone(),
            ends: request.crashes.iter().map(crash).collect::<Option<Vec<_>>>()?,
            good_run_age_ms: request.good_run_age_ms,
            release_age_ms: request.release_age_ms,
        })
    }
}
