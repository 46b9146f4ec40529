import * as core from "@peridotvale/core";
import * as tap from "tap";
import * as evacuation from "./evacuation.ts";

function createRun(id: string, changes: Partial<evacuation.LeavingRun>): evacuation.LeavingRun {
  return {
    request: core.createId<core.RequestId>(id),
    hasStarted: true,
    heldTokens: 3_000,
    tokensLeft: 600,
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
  ];
  t.equal(evacuation.chooseNextMove(runs), undefined);
  t.end();
});

tap.t.test("most output left for the memory to copy goes first", (t) => {
  const runs = [
    createRun("long prompt", { heldTokens: 6_000, tokensLeft: 700 }),
    createRun("short prompt", { heldTokens: 2_000, tokensLeft: 500 }),
    createRun("nearly done", { heldTokens: 4_000, tokensLeft: 200 }),
  ];
  t.equal(evacuation.chooseNextMove(runs)?.request, "short prompt");
  t.end();
});

tap.t.test("exactly one of the processes that want to move has its turn", (t) => {
  const processes = Array.from(
    { length: 7 },
    (_, index) => core.createId<core.ProcessId>(`process-${index}`),
  );
  const firsts = new Set<string>();
  for (let engine = 0; engine < 40; engine++) {
    const instance = core.createId<core.InstanceId>(`engine-${engine}`);
    const turns = processes.filter((self) => {
      const others = processes.filter((other) => other !== self);
      return evacuation.isOwnTurn(self, instance, others);
    });
    t.equal(turns.length, 1);
    firsts.add(turns[0]!);
  }
  t.ok(firsts.size > 3, "the order differs from engine to engine");
  t.equal(evacuation.isOwnTurn(processes[0]!, core.createId("e"), []), true);
  t.end();
});
