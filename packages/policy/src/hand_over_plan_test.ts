import * as core from "@peridotvale/core";
import * as tap from "tap";
import * as plans from "./hand_over_plan.ts";

function createRun(id: string, changes: Partial<plans.LeavingRun>): plans.LeavingRun {
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

// The link copies only a few generations within the notice. It must not be spent on runs that
// cannot move, end without a move, or miss their deadline anyway.
tap.t.test("runs that cannot move or gain nothing from a move are not chosen", (t) => {
  const runs = [
    createRun("unread", { hasStarted: false }),
    createRun("moving", { isMoving: true }),
    createRun("ending", { tokensLeft: 40 }),
    createRun("failing", { failedMoves: 4 }),
    createRun("too late", { answerBy: 2_000 }),
  ];
  t.equal(plans.chooseNextMove(runs, 0), undefined);
  t.end();
});

tap.t.test("a run close to its end is moved only from a slow engine", (t) => {
  const run = createRun("nearly done", { tokensLeft: 120 });
  t.notOk(plans.canBenefitFromMove({ ...run, tokenMs: 7 }, 0));
  t.ok(plans.canBenefitFromMove({ ...run, tokenMs: 18 }, 0));
  t.end();
});

tap.t.test("the run with the most saved work per copied token moves first", (t) => {
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
  t.equal(plans.chooseNextMove(runs, 0)?.request, "short prompt");
  t.end();
});

// Only generations copied within the notice survive, so the order must hold across processes.
tap.t.test("processes copy runs one after another, the most valuable move first", (t) => {
  const instance = core.createId<core.InstanceId>("engine");
  // Runs of three processes; the engine copies 10 tokens per millisecond.
  const waitingRuns = [
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
  const movedRequests: string[] = [];
  while (waitingRuns.length > 0) {
    const claims = waitingRuns.map(({ process, run }) => ({
      process,
      run,
      value: plans.computeMoveValue(run, now),
    }));
    const firstClaim = claims.find((own) =>
      plans.isOwnTurn(own, instance, claims.filter((other) => other.process !== own.process))
    )!;
    const bestClaim = claims.filter((claim) => claim.process === firstClaim.process)
      .reduce((left, right) => right.value > left.value ? right : left);
    waitingRuns.splice(waitingRuns.findIndex((entry) => entry.run === bestClaim.run), 1);
    now += bestClaim.run.heldTokens / 10;
    if (now <= 1_000) movedRequests.push(bestClaim.run.request);
  }
  t.same(movedRequests, ["run-2", "run-3", "run-4"], "moves within one second of notice");
  t.end();
});

// If two processes copy at a time, the copies slow each other down; if none does, all wait.
tap.t.test("of several processes with equal claims, exactly one may copy next", (t) => {
  const claims = Array.from({ length: 7 }, (_, index) => ({
    process: core.createId<core.ProcessId>(`process-${index}`),
    value: 3,
  }));
  const firstProcesses = new Set<string>();
  for (let engine = 0; engine < 40; engine++) {
    const instance = core.createId<core.InstanceId>(`engine-${engine}`);
    const firstClaims = claims.filter((self) => {
      const others = claims.filter((other) => other !== self);
      return plans.isOwnTurn(self, instance, others);
    });
    t.equal(firstClaims.length, 1);
    firstProcesses.add(firstClaims[0]!.process);
  }
  t.ok(firstProcesses.size > 3, "the order differs from engine to engine");
  t.equal(plans.isOwnTurn(claims[0]!, core.createId("e"), []), true);
  t.end();
});
