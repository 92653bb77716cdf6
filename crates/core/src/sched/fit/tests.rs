use super::pick;
use crate::units::AcceleratorSet;

/// Number of blocks of `size` that the maximal runs of `mask` hold.
fn room(mask: u64, size: u8) -> u32 {
    let (mut room, mut run) = (0, 0);
    for position in 0..=8 {
        if mask >> position & 1 == 1 {
            run += 1;
        } else {
            room += run / u32::from(size);
            run = 0;
        }
    }
    room
}

#[test]
fn picks_use_all_of_the_room() {
    for mask in 0..256 {
        for size in 1..=8 {
            let mut left = AcceleratorSet(mask);
            let mut picked = 0;
            while let Some(set) = pick(left, size) {
                assert!(left.contains(set), "mask {mask:b}, size {size}");
                left = left.without(set);
                picked += 1;
            }
            assert_eq!(picked, room(mask, size), "mask {mask:b}, size {size}");
        }
    }
}
