//! Tests of decoders with arbitrary bytes from a peer or a file.

use crate::support::{config, Cluster, SECOND};
use asterrill_consensus::{decode_records, fragment, Node, VersionLog};
use quickcheck::QuickCheck;

#[test]
fn arbitrary_bytes_never_panic_and_a_file_is_truncated_after_its_last_valid_record() {
    fn decodes_safely(bytes: Vec<u8>, offset: usize) -> bool {
        let mut cluster = Cluster::new(1, 1, 9);
        cluster.run_for(SECOND);
        cluster.with_node(0, |node, clock| node.receive(clock, "n5", &bytes));
        let fragments = fragment(1, &bytes).unwrap();
        cluster.with_node(0, |node, clock| {
            fragments.iter().for_each(|fragment| node.receive(clock, "n0", fragment))
        });
        let file = cluster.disks[0].bytes.clone();
        let offset = offset % (file.len() + 1);
        let decoded = decode_records(&file[..offset]);
        let mut damaged = file.clone();
        if let Some(byte) = damaged.get_mut(offset) {
            *byte ^= 1;
        }
        let started = Node::new(0, "n0", 1, config(1), &damaged, &bytes).is_ok();
        decoded.valid_len <= offset
            && decode_records(&file[..decoded.valid_len]).records == decoded.records
            && started
            && VersionLog::from_snapshot(&bytes).map_or(true, |log| log.number() == 0)
    }
    QuickCheck::new().tests(300).quickcheck(decodes_safely as fn(Vec<u8>, usize) -> bool);
}
