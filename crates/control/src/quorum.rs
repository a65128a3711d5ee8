//! The number of replicas that have to agree on a decision.

/// The quorum for a given number of replicas.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Quorum {
    replicas: usize,
}

impl Quorum {
    /// Creates the quorum for this number of replicas.
    pub fn of(replicas: usize) -> Self {
        Self { replicas }
    }

    /// Returns how many replicas form a quorum: three of four; with three or fewer replicas, all of them.
    ///
    /// Any two quorums share two replicas (or are all replicas), where a majority guarantees only one. So a replica that
    /// restarts from an old disk without its last votes can't cause a number to be decided twice.
    pub fn size(self) -> usize {
        let majority = self.replicas / 2 + 1;
        let overlap_of_two = self.replicas.div_ceil(2) + 1;
        majority.max(overlap_of_two).min(self.replicas)
    }
}
