use super::pick_run;
use crate::units::AcceleratorSet;

/// Returns the number of blocks of `size` that the maximal runs of `mask` hold.
fn capacity(mask: u64, size: u8) -> u32 {
    let (mut capacity, mut run) = (0, 0);
    for position in 0..=8 {
        if mask >> position & 1 == 1 {
            run += 1;
        } else {
            capacity += run / u32::from(size);
            run = 0;
        }
    }
    capacity
}

/// Guards against picks that split a run so that fewer blocks of the size fit than before.
#[test]
fn picked_runs_use_the_whole_capacity() {
    for mask in 0..256 {
        for size in 1..=8 {
            let mut left = AcceleratorSet(mask);
            let mut picked = 0;
            while let Some(set) = pick_run(left, size) {
                assert!(left.contains(set), "mask {mask:b}, size {size}");
                left = left.difference(set);
                picked += 1;
            }
            assert_eq!(picked, capacity(mask, size), "mask {mask:b}, size {size}");
        }
    }
}
