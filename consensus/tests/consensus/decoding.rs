//! Bytes that a peer or a disk may hold.

use crate::support::{config, Cluster, SECOND};
use asterrill_consensus::{decode_records, fragment, Node, VersionLog};
use quickcheck::QuickCheck;

#[test]
fn arbitrary_bytes_never_panic_and_a_file_is_cut_after_its_last_valid_record() {
    fn holds(bytes: Vec<u8>, cut: usize) -> bool {
        let mut cluster = Cluster::new(1, 1, 9);
        cluster.run(SECOND);
        cluster.with_node(0, |node, at| node.receive(at, "n5", &bytes));
        let fragments = fragment(1, &bytes).unwrap();
        cluster
            .with_node(0, |node, at| fragments.iter().for_each(|fragment| node.receive(at, "n0", fragment)));
        let disk = cluster.disks[0].bytes.clone();
        let cut = cut % (disk.len() + 1);
        let decoded = decode_records(&disk[..cut]);
        let mut damaged = disk.clone();
        if let Some(byte) = damaged.get_mut(cut) {
            *byte ^= 1;
        }
        let started = Node::new(0, "n0", 1, config(1), &damaged, &bytes).is_ok();
        decoded.valid_len <= cut
            && decode_records(&disk[..decoded.valid_len]).records == decoded.records
            && started
            && VersionLog::from_snapshot(&bytes).map_or(true, |log| log.number() == 0)
    }
    QuickCheck::new().tests(300).quickcheck(holds as fn(Vec<u8>, usize) -> bool);
}
