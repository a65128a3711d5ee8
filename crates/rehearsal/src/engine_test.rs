//! Tests of `engine`.
#![allow(clippy::unwrap_used, clippy::indexing_slicing)]
use super::*;

fn model() -> EngineModel {
    EngineModel {
        role: Role::Combined,
        slots: 2,
        queue: 2,
        memory: 10_000,
        prefill_per_s: 10_000.0,
        step_us: 10_000.0,
        per_answer_us: 0.0,
        capacity_per_s: 10.0,
    }
}

fn run(engine: &mut Engine, until: u64, warmth: f64) -> Vec<(u64, Progress)> {
    let mut out = Vec::new();
    while let Some(at) = engine.next_due().filter(|at| *at <= until) {
        out.extend(engine.step(at, warmth).into_iter().map(|p| (at, p)));
    }
    out
}

#[test]
fn cached_prompts_are_not_prefilled_again_and_cold_engines_are_slower() {
    let text = "x".repeat(4 * 1_000);
    let work = |id| Work { id, prompt: 1_000, blocks: blocks(&text), answer: None, state_arrives: None };
    let mut e = Engine::new(model(), 0, true);
    e.enqueue(0, work(1));
    let first = run(&mut e, 10_000_000, 1.0);
    assert_eq!(first.last().unwrap().1, Progress::PrefillDone { id: 1, cached: 0 });
    e.enqueue(10_000_000, work(2));
    let second = run(&mut e, 20_000_000, 1.0);
    assert_eq!(second.last().unwrap().1, Progress::PrefillDone { id: 2, cached: 960 });
    e.flush_cache();
    e.enqueue(20_000_000, work(3));
    let third = run(&mut e, 30_000_000, 0.5);
    assert_eq!(third.last().unwrap().1, Progress::PrefillDone { id: 3, cached: 0 });
    assert!(third.last().unwrap().0 - 20_000_000 > first.last().unwrap().0);
}

#[test]
fn slots_and_memory_bound_what_runs() {
    let mut e = Engine::new(model(), 0, false);
    for id in 0..3 {
        e.enqueue(0, Work { id, prompt: 4_000, blocks: vec![], answer: Some(3), state_arrives: None });
    }
    assert!(e.is_full());
    let began = |e: &[(u64, Progress)]| e.iter().filter(|(_, p)| matches!(p, Progress::Began { .. })).count();
    let all = run(&mut e, 100_000_000, 1.0);
    let third = all.iter().position(|(_, p)| *p == (Progress::Began { id: 2, cached: 0 })).unwrap();
    assert_eq!(began(&all[..third]), 2);
    assert!(all[..third].iter().any(|(_, p)| matches!(p, Progress::Token { last: true, .. })));
}
