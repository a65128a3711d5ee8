//! How many replicas have to agree.

/// The quorum of a number of replicas.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Quorum {
    replicas: usize,
}

impl Quorum {
    /// The quorum of so many replicas.
    pub fn of(replicas: usize) -> Self {
        Self { replicas }
    }

    /// How many replicas form a quorum: three of four; of three or fewer, all of them.
    ///
    /// Any two quorums share two replicas, not just one. A replica that restarts from an old disk, and so without its last
    /// votes, can therefore not cause a number to be decided twice.
    pub fn size(self) -> usize {
        let majority = self.replicas / 2 + 1;
        let sharing_two = self.replicas.div_ceil(2) + 1;
        majority.max(sharing_two).min(self.replicas)
    }
}
