//! Mean size of the answers of each class of calls.

use std::collections::HashMap;

/// Largest number of classes; the calls of further ones are not tracked and count as small.
const CLASSES_MAX: usize = 1_024;
/// Weight of a new sample.
const WEIGHT: f64 = 0.05;
/// Weight of a new sample while a class has few.
const INITIAL_WEIGHT: f64 = 0.3;
/// Number of samples of a class that have the initial weight.
const INITIAL_SAMPLES: u32 = 10;

#[derive(Debug, Clone, Copy)]
struct ClassSize {
    mean_bytes: f64,
    samples: u32,
}

/// Mean size of the answers of each class of calls.
///
/// *Load pattern*: classes with answers of a few bytes beside classes with answers of about 90 KB.
#[derive(Debug, Clone, Default)]
pub struct AnswerSizes {
    sizes: HashMap<u32, ClassSize>,
}

impl AnswerSizes {
    /// Adds the size of an answer.
    pub fn note(&mut self, class: u32, bytes: u64) {
        if self.sizes.len() >= CLASSES_MAX && !self.sizes.contains_key(&class) {
            return;
        }
        let bytes = bytes as f64;
        let size = self.sizes.entry(class).or_insert(ClassSize { mean_bytes: bytes, samples: 0 });
        size.samples = size.samples.saturating_add(1);
        let weight = if size.samples <= INITIAL_SAMPLES { INITIAL_WEIGHT } else { WEIGHT };
        size.mean_bytes += weight * (bytes - size.mean_bytes);
    }

    /// The mean size of a class in bytes; `None` before its first answer.
    pub fn mean_bytes(&self, class: u32) -> Option<u64> {
        self.sizes.get(&class).map(|size| size.mean_bytes as u64)
    }
}
