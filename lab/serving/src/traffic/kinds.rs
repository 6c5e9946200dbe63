//! The kinds of requests and how single requests of them are drawn.

use crate::engine::PromptPart;
use crate::random::Random;

pub const MODEL_NAME: &str = "base";
pub const MODEL_SERVICE: &str = "assistant";
pub const LOOKUP_SERVICE: &str = "orders";

/// A kind of request, with its route.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestKind {
    pub name: &'static str,
    pub service: &'static str,
    pub path_prefix: &'static str,
    /// Share of all requests.
    pub share: f64,
    pub target_ms: u64,
    pub deadline_ms: u64,
    pub priority: u8,
    /// The most upstreams on which one try may run.
    pub most_upstreams: usize,
    pub home_regions: Vec<String>,
    pub body_bytes: usize,
    /// None: an unsafe lookup.
    pub stream: Option<StreamShape>,
}

/// What a streaming kind is made of.
#[derive(Clone, Debug, PartialEq)]
pub struct StreamShape {
    pub resumable: bool,
    pub gap_aim_ms: u64,
    pub shared: Vec<SharedPart>,
    pub own_tokens: f64,
    pub most_own_tokens: u64,
    pub events: f64,
    pub most_events: u64,
}

/// A part that the prompts of a kind share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SharedPart {
    pub tokens: u64,
    /// How many of them there are.
    pub count: usize,
}

/// One request.
#[derive(Clone, Debug, PartialEq)]
pub struct Draft {
    pub kind: usize,
    pub session: u64,
    pub prompt: Vec<PromptPart>,
    pub events: u64,
}

/// The kinds that the clients send: long reviews, short questions whose homes are the first two regions, lookups.
pub fn kinds(regions: &[String]) -> Vec<RequestKind> {
    let homes = if regions.len() > 2 { regions[..2].to_vec() } else { Vec::new() };
    vec![review(), question(homes), lookup()]
}

fn review() -> RequestKind {
    RequestKind {
        name: "review",
        service: MODEL_SERVICE,
        path_prefix: "/reviews/",
        share: 0.16,
        target_ms: 1_000,
        deadline_ms: 6_000,
        priority: 1,
        most_upstreams: 1,
        home_regions: Vec::new(),
        body_bytes: 18_000,
        stream: Some(StreamShape {
            resumable: false,
            gap_aim_ms: 300,
            shared: vec![SharedPart { tokens: 2_500, count: 4 }, SharedPart { tokens: 3_800, count: 10 }],
            own_tokens: 2_900.0,
            most_own_tokens: 18_000,
            events: 13.0,
            most_events: 52,
        }),
    }
}

fn question(home_regions: Vec<String>) -> RequestKind {
    RequestKind {
        name: "question",
        service: MODEL_SERVICE,
        path_prefix: "/questions/",
        share: 0.64,
        target_ms: 600,
        deadline_ms: 15_000,
        priority: 0,
        most_upstreams: 2,
        home_regions,
        body_bytes: 1_700,
        stream: Some(StreamShape {
            resumable: true,
            gap_aim_ms: 300,
            shared: vec![SharedPart { tokens: 120, count: 40 }, SharedPart { tokens: 80, count: 6 }],
            own_tokens: 630.0,
            most_own_tokens: 3_300,
            events: 73.0,
            most_events: 216,
        }),
    }
}

fn lookup() -> RequestKind {
    RequestKind {
        name: "lookup",
        service: LOOKUP_SERVICE,
        path_prefix: "/orders/",
        share: 0.2,
        target_ms: 200,
        deadline_ms: 1_200,
        priority: 2,
        most_upstreams: 1,
        home_regions: Vec::new(),
        body_bytes: 600,
        stream: None,
    }
}

impl RequestKind {
    /// Whether its requests may run more than once.
    pub fn is_repeatable(&self) -> bool {
        self.stream.as_ref().is_some_and(|stream| stream.resumable)
    }

    /// The path prefix of its route in one generation of the configuration.
    pub fn prefix_of(&self, generation: u64) -> String {
        format!("{}g{generation}/", self.path_prefix)
    }

    /// How long a client waits for a sign of life.
    pub fn most_silence_ms(&self) -> u64 {
        let pause = self.stream.as_ref().map_or(0, |stream| stream.gap_aim_ms);
        (8 * pause).max(4 * self.target_ms).max(2_000)
    }
}

impl Draft {
    /// Draws a request among these kinds.
    pub fn draw(random: &mut Random, kinds: &[RequestKind]) -> Draft {
        let kind = draw_kind(random, kinds);
        let session = random.bits();
        let Some(shape) = &kinds[kind].stream else {
            return Draft { kind, session, prompt: Vec::new(), events: 0 };
        };
        let mut prompt: Vec<PromptPart> = shape
            .shared
            .iter()
            .enumerate()
            .map(|(level, shared)| shared_part(random, kind, level, shared))
            .collect();
        let own_tokens = random.size(shape.own_tokens, shape.most_own_tokens);
        prompt.push(PromptPart { id: session, tokens: own_tokens });
        Draft { kind, session, prompt, events: random.size(shape.events, shape.most_events) }
    }
}

fn draw_kind(random: &mut Random, kinds: &[RequestKind]) -> usize {
    let mut left = random.fraction() * kinds.iter().map(|kind| kind.share).sum::<f64>();
    for (index, kind) in kinds.iter().enumerate() {
        left -= kind.share;
        if left < 0.0 {
            return index;
        }
    }
    kinds.len() - 1
}

fn shared_part(random: &mut Random, kind: usize, level: usize, shared: &SharedPart) -> PromptPart {
    let choice = random.index(shared.count);
    let id = ((kind as u64 + 1) << 40) | ((level as u64 + 1) << 32) | choice as u64;
    PromptPart { id, tokens: shared.tokens }
}
