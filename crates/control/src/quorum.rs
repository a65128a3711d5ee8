//! How many replicas have to agree.

/// How many replicas decide.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Quorum {
    replicas: usize,
}

impl Quorum {
    /// Of so many replicas.
    pub fn of(replicas: usize) -> Self {
        Self { replicas }
    }

    /// So many that any two quorums share two replicas: one that comes back with an old disk, and so without its last
    /// votes, decides nothing twice. Three of four; of three or fewer all of them.
    pub fn size(self) -> usize {
        (self.replicas / 2 + 1).max(self.replicas.div_ceil(2) + 1).min(self.replicas)
    }
}
