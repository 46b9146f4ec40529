import * as core from "@peridotvale/core";
import * as fc from "fast-check";
import * as tap from "tap";
import * as queues from "./fair_queue.ts";
import * as schedulers from "./scheduler.ts";
import type * as types from "./scheduler_types.ts";

fc.configureGlobal({ seed: 20_261_204, numRuns: 300 });

const MODEL = core.createId<core.ModelName>("m");
const MAX_BATCH = 6;

const manifest = core.parseManifest(
  `release: 1
models: { m: { version: v, replicas: 2, max_output_tokens: 1000 } }
ranks:
  urgent: { order: 0, first_token_ms: 1000, between_tokens_ms: 35, deadline_ms: 10000 }
  patient: { order: 1, first_token_ms: 5000, between_tokens_ms: 70, deadline_ms: 60000, floor: 0.1 }
default_rank: urgent
workspaces: { a: {}, b: { weight: 3 } }
`,
  { source: "test" },
)._unsafeUnwrap();

type Step =
  | {
    readonly type: "arrive";
    readonly rank: string;
    readonly workspace: string;
    readonly prompt: number;
  }
  | { readonly type: "tokens"; readonly index: number; readonly count: number }
  | { readonly type: "end"; readonly index: number; readonly end: types.StreamEnd }
  | { readonly type: "leave"; readonly engine: number; readonly accepting: boolean }
  | { readonly type: "remove"; readonly engine: number }
  | { readonly type: "wait"; readonly ms: number };

const stepSequences = fc.array(
  fc.oneof(
    {
      weight: 6,
      arbitrary: fc.record({
        type: fc.constant("arrive" as const),
        rank: fc.constantFrom("urgent", "patient"),
        workspace: fc.constantFrom("a", "b"),
        prompt: fc.integer({ min: 1, max: 800 }),
      }),
    },
    {
      weight: 4,
      arbitrary: fc.record({
        type: fc.constant("tokens" as const),
        index: fc.nat(),
        count: fc.integer({ min: 1, max: 50 }),
      }),
    },
    {
      weight: 3,
      arbitrary: fc.record({
        type: fc.constant("end" as const),
        index: fc.nat(),
        end: fc.constantFrom<types.StreamEnd>("completed", "abandoned", "not_taken"),
      }),
    },
    {
      weight: 1,
      arbitrary: fc.record({
        type: fc.constant("leave" as const),
        engine: fc.integer({ min: 0, max: 1 }),
        accepting: fc.boolean(),
      }),
    },
    {
      weight: 1,
      arbitrary: fc.record({
        type: fc.constant("remove" as const),
        engine: fc.integer({ min: 0, max: 1 }),
      }),
    },
    {
      weight: 3,
      arbitrary: fc.record({
        type: fc.constant("wait" as const),
        ms: fc.integer({ min: 1, max: 1_500 }),
      }),
    },
  ),
  { maxLength: 120 },
) as fc.Arbitrary<Step[]>;

// Checks random sequences of events: lost answers would leave a request waiting forever, and
// grants beyond the batch limit or to an engine that accepts nothing would fail at the engine.
tap.t.test("every request gets one answer, and grants stay within the engines' limits", (t) => {
  let grantedCount = 0;
  let refusedCount = 0;
  fc.assert(fc.property(stepSequences, (steps) => {
    const scheduler = new schedulers.Scheduler();
    const waitingRequests = new Set<string>();
    const engineByOpenRequest = new Map<string, string>();
    const acceptingByEngine = new Map([["e0", true], ["e1", true]]);
    let now = 0;
    let hasOnlyValidEffects = true;
    const handleEvent = (event: types.SchedulerEvent) => {
      for (const effect of scheduler.handle(event, now)) {
        const { request } = effect;
        if (effect.type === "granted") {
          grantedCount += 1;
          hasOnlyValidEffects &&= waitingRequests.delete(request) &&
            acceptingByEngine.get(effect.endpoint) === true;
          engineByOpenRequest.set(request, effect.endpoint);
          const openStreamCount = [...engineByOpenRequest.values()].filter((engine) =>
            engine === effect.endpoint
          ).length;
          hasOnlyValidEffects &&= openStreamCount <= MAX_BATCH;
        } else if (effect.type === "refused") {
          refusedCount += 1;
          hasOnlyValidEffects &&= waitingRequests.delete(request);
        } else hasOnlyValidEffects &&= engineByOpenRequest.delete(request);
      }
    };
    const updateEngine = (index: number, isAccepting: boolean) => {
      const endpoint = core.createId<core.EndpointId>(`e${index}`);
      acceptingByEngine.set(endpoint, isAccepting);
      handleEvent({
        type: "engine_updated",
        engine: {
          endpoint,
          models: [MODEL],
          accepting: isAccepting,
          statusReadAt: now,
          memoryLimitTokens: 2_000,
          maxBatch: MAX_BATCH,
        },
      });
    };
    handleEvent({ type: "manifest_changed", manifest });
    updateEngine(0, true);
    updateEngine(1, true);
    for (const [index, step] of steps.entries()) {
      now += 5;
      const openRequests = [...engineByOpenRequest.keys()];
      const request = core.createId<core.RequestId>(
        openRequests[
          step.type === "tokens" || step.type === "end"
            ? step.index % Math.max(1, openRequests.length)
            : 0
        ] ?? "none",
      );
      if (step.type === "arrive") {
        const id = core.createId<core.RequestId>(`r${index}`);
        waitingRequests.add(id);
        handleEvent({ type: "request_arrived", capacity: createCapacity(id, step, now) });
      } else if (step.type === "tokens") {
        handleEvent({ type: "tokens_generated", request, tokens: step.count });
      } else if (step.type === "end") {
        const engine = engineByOpenRequest.get(request);
        engineByOpenRequest.delete(request);
        if (step.end === "not_taken" && engine !== undefined) acceptingByEngine.set(engine, false);
        handleEvent({ type: "request_ended", request, end: step.end });
      } else if (step.type === "leave") updateEngine(step.engine, step.accepting);
      else if (step.type === "remove") {
        const endpoint = core.createId<core.EndpointId>(`e${step.engine}`);
        handleEvent({ type: "engine_removed", endpoint });
        for (const [id, engine] of engineByOpenRequest) {
          if (engine === endpoint) engineByOpenRequest.delete(id);
        }
        acceptingByEngine.set(endpoint, false);
      } else now += step.ms;
      handleEvent({ type: "ticked" });
    }
    now += 10_000;
    handleEvent({ type: "ticked" });
    return hasOnlyValidEffects && waitingRequests.size === 0 && scheduler.queuedCount === 0;
  }));
  t.ok(grantedCount > 0 && refusedCount > 0, `${grantedCount} granted, ${refusedCount} refused`);
  t.end();
});

// An engine that did not take a request accepts none until its next update. Refusing all
// requests until then would fail them although capacity returns before their deadline.
tap.t.test("a request waits while its only engine accepts no streams", (t) => {
  const scheduler = new schedulers.Scheduler();
  const request = core.createId<core.RequestId>("r");
  const createEngine = (accepting: boolean): types.SchedulerEvent => ({
    type: "engine_updated",
    engine: {
      endpoint: core.createId<core.EndpointId>("e"),
      models: [MODEL],
      accepting,
      statusReadAt: 0,
      memoryLimitTokens: 2_000,
      maxBatch: MAX_BATCH,
    },
  });
  scheduler.handle({ type: "manifest_changed", manifest }, 0);
  scheduler.handle(createEngine(false), 0);
  const step = { rank: "urgent", workspace: "a", prompt: 1 };
  const capacity = createCapacity(request, step, 10);
  t.same(scheduler.handle({ type: "request_arrived", capacity }, 10), []);
  t.match(scheduler.handle(createEngine(true), 300), [{ type: "granted", request }]);
  t.end();
});

// The state of an engine is passed on again whenever the membership changes, each time with the
// status that was read last. It must not bring grants back to an engine that was just killed or has
// unloaded the model.
tap.t.test("only a status read after a request was not taken brings grants back", (t) => {
  const scheduler = new schedulers.Scheduler();
  const updateEngine = (statusReadAt: number, now: number) =>
    scheduler.handle({
      type: "engine_updated",
      engine: {
        endpoint: core.createId<core.EndpointId>("e"),
        models: [MODEL],
        accepting: true,
        statusReadAt,
        memoryLimitTokens: 2_000,
        maxBatch: MAX_BATCH,
      },
    }, now);
  const addRequest = (id: string, now: number) => {
    const request = core.createId<core.RequestId>(id);
    const step = { rank: "urgent", workspace: "a", prompt: 1 };
    const capacity = createCapacity(request, step, now);
    return scheduler.handle({ type: "request_arrived", capacity }, now);
  };
  scheduler.handle({ type: "manifest_changed", manifest }, 0);
  updateEngine(0, 10);
  t.match(addRequest("r1", 20), [{ type: "granted" }]);
  const request = core.createId<core.RequestId>("r1");
  scheduler.handle({ type: "request_ended", request, end: "not_taken" }, 30);
  updateEngine(0, 40);
  t.notMatch(addRequest("r2", 50), [{ type: "granted" }]);
  updateEngine(29, 60);
  t.notMatch(addRequest("r3", 70), [{ type: "granted" }], "the read was sent before");
  updateEngine(31, 80);
  t.match(addRequest("r4", 90), [{ type: "granted" }]);
  t.end();
});

// An engine without the cached prefixes would have to process the prompt again. If changes of the
// cache were lost, removals may be among them, so the older prefixes are no longer relied on.
tap.t.test("a request goes to the engine with its prefixes until cache reports are lost", (t) => {
  const scheduler = new schedulers.Scheduler();
  const engines = ["e0", "e1"].map((name) => core.createId<core.EndpointId>(name));
  const handleEvent = (event: types.SchedulerEvent) => scheduler.handle(event, 0);
  handleEvent({ type: "manifest_changed", manifest });
  for (const endpoint of engines) {
    const engine = {
      endpoint,
      models: [MODEL],
      accepting: true,
      statusReadAt: 0,
      memoryLimitTokens: 9_000,
      maxBatch: 6,
    };
    handleEvent({ type: "engine_updated", engine });
  }
  const placeRequest = (id: string) => {
    const request = core.createId<core.RequestId>(id);
    const step = { rank: "urgent", workspace: "a", prompt: 800 };
    const capacity = { ...createCapacity(request, step, 0), prefixes: [1, 2] };
    const [effect] = handleEvent({ type: "request_arrived", capacity });
    handleEvent({ type: "request_ended", request, end: "abandoned" });
    return effect?.type === "granted" ? effect.endpoint : undefined;
  };
  const change = { gap: false, added: [1, 2], removed: [] };
  handleEvent({ type: "cache_changed", endpoint: engines[1]!, change });
  t.equal(placeRequest("r1"), "e1");
  const gapChange = { gap: true, added: [], removed: [] };
  handleEvent({ type: "cache_changed", endpoint: engines[1]!, change: gapChange });
  t.equal(placeRequest("r2"), "e0");
  t.end();
});

// Credit for idle time would let a workspace with a sudden burst displace the others.
tap.t.test("workspaces are served by weight, without credit for idle time", (t) => {
  const queue = new queues.FairQueue<queues.QueueItem & { readonly id: number }>();
  const servedCounts = new Map<string, number>();
  const addItem = (name: string, weight: number, id: number) =>
    queue.addItem({
      workspace: core.createId<core.WorkspaceName>(name),
      startBy: Infinity,
      arrivedAt: 0,
      id,
    }, weight);
  const serveItems = (count: number) => {
    for (let index = 0; index < count; index++) {
      const item = queue.getNextItem(0)!;
      queue.removeItem(item);
      queue.chargeTokens(item.workspace, 100, item.workspace === "b" ? 3 : 1);
      servedCounts.set(item.workspace, (servedCounts.get(item.workspace) ?? 0) + 1);
    }
  };
  for (let id = 0; id < 1_000; id++) {
    addItem("a", 1, id);
    addItem("b", 3, id);
  }
  serveItems(400);
  t.equal(servedCounts.get("a"), 100);
  t.equal(servedCounts.get("b"), 300);
  for (let id = 0; id < 200; id++) addItem("late", 1, id);
  serveItems(250);
  t.ok(
    Math.abs((servedCounts.get("late") ?? 0) - 50) <= 2,
    `the late workspace got ${servedCounts.get("late")}`,
  );
  t.end();
});

function createCapacity(
  request: core.RequestId,
  step: { readonly rank: string; readonly workspace: string; readonly prompt: number },
  now: number,
): types.CapacityRequest {
  return {
    request,
    workspace: core.createId<core.WorkspaceName>(step.workspace),
    rank: core.createId<core.RankName>(step.rank),
    model: MODEL,
    promptTokens: step.prompt,
    maxTokens: 1_000,
    prefixes: [],
    startBy: now + (step.rank === "urgent" ? 1_000 : 5_000),
    mayQueue: step.prompt % 3 !== 0,
    avoid: [],
  };
}
