import * as core from "@peridotvale/core";
import * as tap from "tap";
import * as evacuation from "./evacuation.ts";

function createRun(id: string, changes: Partial<evacuation.LeavingRun>): evacuation.LeavingRun {
  return {
    request: core.createId<core.RequestId>(id),
    hasStarted: true,
    heldTokens: 3_000,
    promptTokens: 2_700,
    tokensLeft: 600,
    tokenMs: 9,
    answerBy: 30_000,
    failedMoves: 0,
    isMoving: false,
    ...changes,
  };
}

tap.t.test("what has not started, moves already or ends by itself is not moved", (t) => {
  const runs = [
    createRun("unread", { hasStarted: false }),
    createRun("moving", { isMoving: true }),
    createRun("ending", { tokensLeft: 40 }),
    createRun("failing", { failedMoves: 4 }),
    createRun("too late", { answerBy: 2_000 }),
  ];
  t.equal(evacuation.chooseNextMove(runs, 0), undefined);
  t.end();
});

tap.t.test("on a slow engine a run that is nearly done is moved as well", (t) => {
  const run = createRun("nearly done", { tokensLeft: 120 });
  t.notOk(evacuation.isWorthMoving({ ...run, tokenMs: 7 }, 0));
  t.ok(evacuation.isWorthMoving({ ...run, tokenMs: 18 }, 0));
  t.end();
});

tap.t.test("most work kept for the memory to copy goes first", (t) => {
  const runs = [
    createRun("long prompt", { promptTokens: 6_000, heldTokens: 6_200, tokensLeft: 500 }),
    createRun("short prompt", { promptTokens: 2_000, heldTokens: 2_200, tokensLeft: 500 }),
    createRun("failed once", {
      promptTokens: 2_000,
      heldTokens: 2_200,
      tokensLeft: 500,
      failedMoves: 1,
    }),
  ];
  t.equal(evacuation.chooseNextMove(runs, 0)?.request, "short prompt");
  t.end();
});

tap.t.test("the most valuable copies of all processes go first", (t) => {
  const instance = core.createId<core.InstanceId>("engine");
  // Runs of three processes, each copied in the time of its tokens at 10 a millisecond.
  const waiting = [
    { process: "one", heldTokens: 6_000 },
    { process: "one", heldTokens: 6_000 },
    { process: "two", heldTokens: 2_000 },
    { process: "two", heldTokens: 2_000 },
    { process: "three", heldTokens: 3_000 },
  ].map(({ process, heldTokens }, index) => ({
    process: core.createId<core.ProcessId>(process),
    run: createRun(`run-${index}`, { heldTokens, promptTokens: heldTokens - 200 }),
  }));
  let now = 0;
  const moved: string[] = [];
  while (waiting.length > 0) {
    const claims = waiting.map(({ process, run }) => ({
      process,
      run,
      value: evacuation.computeMoveValue(run, now),
    }));
    const first = claims.find((own) =>
      evacuation.isOwnTurn(own, instance, claims.filter((other) => other.process !== own.process))
    )!;
    const best = claims.filter((claim) => claim.process === first.process)
      .reduce((left, right) => right.value > left.value ? right : left);
    waiting.splice(waiting.findIndex((one) => one.run === best.run), 1);
    now += best.run.heldTokens / 10;
    if (now <= 1_000) moved.push(best.run.request);
  }
  t.same(moved, ["run-2", "run-3", "run-4"], "within a second of notice");
  t.end();
});

tap.t.test("exactly one of the processes that want to move has its turn", (t) => {
  const claims = Array.from({ length: 7 }, (_, index) => ({
    process: core.createId<core.ProcessId>(`process-${index}`),
    value: 3,
  }));
  const firsts = new Set<string>();
  for (let engine = 0; engine < 40; engine++) {
    const instance = core.createId<core.InstanceId>(`engine-${engine}`);
    const turns = claims.filter((self) => {
      const others = claims.filter((other) => other !== self);
      return evacuation.isOwnTurn(self, instance, others);
    });
    t.equal(turns.length, 1);
    firsts.add(turns[0]!.process);
  }
  t.ok(firsts.size > 3, "the order differs from engine to engine");
  t.equal(evacuation.isOwnTurn(claims[0]!, core.createId("e"), []), true);
  t.end();
});
