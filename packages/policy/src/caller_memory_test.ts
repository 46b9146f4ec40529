import * as tap from "tap";
import * as memory from "./caller_memory.ts";

const MIB = 1024 * 1024;
const BODY_BYTES = 4 * MIB;
const STALL_MS = 15_000;

function createAccount(budgetMb: number): memory.CallerMemory {
  return new memory.CallerMemory(budgetMb * MIB);
}

// Guards against bodies that take all memory, so that no ordinary request is served.
tap.t.test("large bodies leave a reserve for small requests", (t) => {
  const account = createAccount(16);
  const decisions = Array.from({ length: 4 }, () => {
    const holder = account.addHolder(500, 0);
    return account.acquireRoom(holder, "body", BODY_BYTES, 0);
  });
  t.same(decisions, ["granted", "granted", "waiting", "waiting"]);
  // Those that wait must not fill the reserve either.
  for (let i = 0; i < 100; i += 1) {
    const holder = account.addHolder(0, 0);
    const decision = account.acquireRoom(holder, "body", BODY_BYTES, 0);
    if (decision === "refused") account.removeHolder(holder);
  }
  const small = account.addHolder(500, 0);
  t.equal(account.acquireRoom(small, "body", 10_000, 0), "granted");
  t.equal(account.decideAdmission(0), "admitted");
  t.end();
});

// Guards against a limit that a single permitted request meets in a small process.
tap.t.test("a single request may hold an answer of the largest size", (t) => {
  const account = new memory.CallerMemory(memory.computeMemoryBudget(88));
  const holder = account.addHolder(500, 0);
  t.equal(account.acquireRoom(holder, "body", BODY_BYTES, 0), "granted");
  t.equal(account.acquireRoom(holder, "answer", 8 * MIB, 0), "granted");
  t.end();
});

tap.t.test("those that wait are granted room in order, or refused after a second", (t) => {
  const account = createAccount(16);
  const holders = Array.from({ length: 4 }, () => account.addHolder(500, 0));
  for (const holder of holders) account.acquireRoom(holder, "body", BODY_BYTES, 0);
  holders[0]!.setPhase("serving", 0);
  account.removeHolder(holders[0]!);
  t.same(account.sweep(500, STALL_MS).granted, [holders[2]]);
  holders[2]!.movedBytes = MIB;
  holders[1]!.movedBytes = MIB;
  const late = account.sweep(1_000, STALL_MS);
  t.same(late.granted, []);
  t.same(late.refused, [holders[3]]);
  t.equal(account.totals.unread, 0);
  t.end();
});

// Guards against callers that stop short of the end of a body and so keep all others out.
tap.t.test("while others wait, those that stand still with the most memory are closed", (t) => {
  const account = createAccount(18);
  const holders = Array.from({ length: 2 }, () => account.addHolder(500, 0));
  account.acquireRoom(holders[0]!, "body", BODY_BYTES, 0);
  account.acquireRoom(holders[1]!, "body", 2 * BODY_BYTES, 0);
  t.same(account.sweep(1_100, STALL_MS).closed, []);
  const waiting = account.addHolder(500, 1_100);
  t.equal(account.acquireRoom(waiting, "body", BODY_BYTES, 1_100), "waiting");
  holders[0]!.movedBytes = 64 * 1024;
  const { closed, granted } = account.sweep(1_200, STALL_MS);
  t.same(closed, [{ holder: holders[1], reason: "memory_pressure" }]);
  t.same(granted, [waiting]);
  t.end();
});

// A caller that reads from the operating system's buffers shows no progress for seconds. Answers of
// such callers were cut while others waited for room.
tap.t.test("an answer whose caller reads in large steps is not closed under pressure", (t) => {
  const account = createAccount(18);
  const reader = account.addHolder(500, 0);
  account.acquireRoom(reader, "answer", 8 * MIB, 0);
  reader.setPhase("sending", 0);
  const waiting = [100, 4_000].map((at) => {
    const holder = account.addHolder(500, at);
    return account.acquireRoom(holder, "body", 8 * MIB, at);
  });
  t.same(waiting, ["waiting", "waiting"]);
  t.same(account.sweep(4_500, STALL_MS).closed, []);
  const late = account.addHolder(500, 10_000);
  account.acquireRoom(late, "body", 8 * MIB, 10_000);
  t.same(account.sweep(10_100, STALL_MS).closed, [{ holder: reader, reason: "memory_pressure" }]);
  t.end();
});

tap.t.test("a caller that sends, or whose endpoint is at work, is not closed", (t) => {
  const account = createAccount(16);
  const holders = Array.from({ length: 3 }, () => account.addHolder(500, 0));
  for (const holder of holders) account.acquireRoom(holder, "body", BODY_BYTES, 0);
  holders[0]!.setPhase("serving", 0);
  for (let now = 0; now <= 2_000; now += 500) {
    holders[1]!.movedBytes += 64 * 1024;
    t.same(account.sweep(now, STALL_MS).closed, []);
  }
  t.end();
});

tap.t.test("bodies and answers without progress have a time limit without pressure, too", (t) => {
  const account = createAccount(16);
  const body = account.addHolder(500, 0);
  const answer = account.addHolder(500, 0);
  answer.setPhase("sending", 0);
  t.same(account.sweep(14_900, STALL_MS).closed, []);
  t.same(account.sweep(15_000, STALL_MS).closed, [{ holder: body, reason: "body_stalled" }]);
  t.same(account.sweep(30_000, STALL_MS).closed, [{ holder: answer, reason: "answer_not_read" }]);
  t.equal(account.totalBytes, 0);
  t.end();
});

tap.t.test("pipelined requests are limited on each connection and by the budget", (t) => {
  const account = createAccount(1);
  t.equal(account.decideAdmission(15), "admitted");
  t.equal(account.decideAdmission(16), "closed");
  for (let i = 0; i < 32; i += 1) account.addHolder(0, 0);
  t.equal(account.decideAdmission(1), "closed");
  t.equal(account.decideAdmission(0), "admitted");
  for (let i = 0; i < 96; i += 1) account.addHolder(0, 0);
  t.equal(account.decideAdmission(0), "refused");
  t.end();
});

// Guards against bodies in chunks of one byte that take all of the processor's time.
tap.t.test("small pieces are limited, and few bodies wait for their turn", (t) => {
  const account = createAccount(16);
  const holders = Array.from({ length: 18 }, () => account.addHolder(0, 0));
  for (let i = 0; i < 20_000; i += 1) account.recordSmallPiece(holders[0]!);
  const decisions = holders.slice(0, 17).map((holder) => account.recordSmallPiece(holder));
  t.same(decisions, [...Array(16).fill("waiting"), "refused"]);
  t.same(account.sweep(1_100, STALL_MS).resumed, [holders[0], holders[1]]);
  t.equal(account.recordSmallPiece(holders[17]!), "granted");
  t.end();
});
