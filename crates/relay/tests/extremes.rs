//! Calls that state absurd sizes.

mod world;

use relay::envelope;
use world::{World, draft, runner};

/// Guards against a process that ends because of one call. The adapter bounds what callers state
/// to 32 bits.
#[test]
fn a_call_with_an_absurd_size_ends_no_process() {
    let sizes = [0, 1, 1 << 20, u64::from(u32::MAX) - 1, u64::from(u32::MAX)];
    for tokens in sizes {
        for other in sizes {
            let mut world = World::new(vec![runner("r-1", &["alpha"]), runner("r-2", &["alpha"])]);
            let mut envelope = draft("draft", "alpha", 100);
            let work = envelope.work.as_mut().expect("work");
            (work.prompt_tokens, work.output_tokens) = (tokens, other);
            work.output_estimate = Some(other);
            work.prompt = vec![
                envelope::Part { hash: 1, tokens },
                envelope::Part { hash: 2, tokens: other },
                envelope::Part { hash: 3, tokens: u64::from(u32::MAX) },
            ];
            for key in ["key-1", "key-2"] {
                envelope.key = Some(key.into());
                world.arrive(envelope.clone());
                world.wait(100);
            }
            world.arrive(draft("draft", "alpha", 100));
            world.wait(1_000);
        }
    }
}
