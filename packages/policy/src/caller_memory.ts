/**
 * Account of the memory that callers and endpoints make a process hold, and the decision who gets
 * more of it, who waits, and who is refused or closed when it is short.
 *
 * Addresses callers without control: many large bodies at once that stop short of their end, bodies
 * in tiny chunks, and callers that do not read their answers. A body or answer above a small size
 * gets memory for all of it before it is read on, so that those that were admitted can always be
 * completed and never wait for each other. Requests below that size are admitted up to the last
 * reserve.
 */

/** What holds the memory: open requests, their bodies, answers, and paused connections. */
export type MemoryKind = "request" | "body" | "answer" | "unread";

export const MEMORY_KINDS: readonly MemoryKind[] = ["request", "body", "answer", "unread"];

/** Who the holder waits for: its caller, which sends or reads, or the endpoint. */
export type MemoryPhase = "receiving" | "serving" | "sending";

export type RoomDecision = "granted" | "waiting" | "refused";

export type CloseReason = "body_stalled" | "answer_not_read" | "memory_pressure";

const MIB = 1024 * 1024;
/** Budget if the memory of the VM is not known. */
const DEFAULT_BUDGET_BYTES = 48 * MIB;
/** The largest answer that is collected; the smallest budget has room for it. */
const MIN_BUDGET_BYTES = 8 * MIB;
/** Share of the memory of the VM for callers, less what the process itself needs of it. */
const BUDGET_SHARE = 0.2;
const PROCESS_BYTES = 16 * MIB;
/** Up to this size a body or answer is small: it may use the last reserve. */
export const SMALL_BYTES = 64 * 1024;
/** Share of the budget that large bodies and answers may fill. */
const LARGE_SHARE = 0.75;
/** Share of the budget that paused connections may fill, too; the rest is for small requests. */
const WAITING_SHARE = 0.9;
/** Objects of an open request and its response, besides its head. */
export const REQUEST_COST_BYTES = 8 * 1024;
/** Objects of a piece of a body, which are garbage once the piece is merged with others. */
export const PIECE_COST_BYTES = 512;
/** Smaller pieces of a body, which cost more time than memory, are limited in number. */
export const SMALL_PIECE_BYTES = 1024;
/** Small pieces that are taken between two sweeps: about 20 ms of work in 50. */
const MAX_SMALL_PIECES = 20_000;
/** Bodies in small pieces that are read on after a sweep; one read delivers up to 10,000 pieces. */
const RESUMED_BODIES = 2;
/** Bodies in small pieces that may wait for their turn. */
const MAX_THROTTLED_BODIES = 16;
/** What a paused connection keeps in the kernel, by its default receive buffer. */
const PAUSED_COST_BYTES = 128 * 1024;
/** Longest wait for room. A caller that is refused then still has time for another attempt. */
const MAX_WAIT_MS = 1_000;
/** Time without progress after which a body is closed while others wait for room. */
const PRESSURE_STALL_MS = 1_000;
/**
 * The same for an answer. Its caller reads from a buffer of megabytes in the operating system, so
 * that progress shows in steps of seconds; 1 s cut answers of callers that read steadily.
 */
const SENDING_PRESSURE_STALL_MS = 10_000;
/** Bytes that count as progress; a caller that sends fewer in the time limit is stalled. */
const PROGRESS_BYTES = 16 * 1024;
/** Time in which a caller has to read something of its answer; requests end within 39 s. */
const UNREAD_TIMEOUT_MS = 30_000;
/** Share of the budget above which a connection with several open requests is closed. */
const PIPELINE_SHARE = 0.25;
/**
 * Unanswered requests of one connection; HTTP clients rarely send a second one. Those of one read
 * are all created before the first is counted, on each of hundreds of connections.
 */
const MAX_PIPELINED_REQUESTS = 16;

/** Computes the budget in bytes from the memory of the VM in MB, if it is known. */
export function computeMemoryBudget(memoryMb: number | undefined): number {
  if (memoryMb === undefined) return DEFAULT_BUDGET_BYTES;
  const budgetBytes = memoryMb * MIB * BUDGET_SHARE - PROCESS_BYTES;
  return Math.min(Math.max(budgetBytes, MIN_BUDGET_BYTES), DEFAULT_BUDGET_BYTES);
}

/** The memory that one request holds. */
export class MemoryHolder {
  readonly bytes: Record<MemoryKind, number> = { request: 0, body: 0, answer: 0, unread: 0 };
  phase: MemoryPhase = "receiving";
  /** Bytes received from or sent to the caller so far; set by the adapter. */
  movedBytes = 0;
  #progressBytes = 0;
  #progressAt: number;

  constructor(now: number) {
    this.#progressAt = now;
  }

  get totalBytes(): number {
    const { request, body, answer, unread } = this.bytes;
    return request + body + answer + unread;
  }

  /** Starts a phase; the time without progress counts from `now`. */
  setPhase(phase: MemoryPhase, now: number): void {
    this.phase = phase;
    this.#progressAt = now;
    this.#progressBytes = this.movedBytes;
  }

  /** Returns the time since the caller has moved at least `PROGRESS_BYTES`. */
  measureStallMs(now: number): number {
    if (this.phase === "serving") return 0;
    if (this.movedBytes - this.#progressBytes >= PROGRESS_BYTES) {
      this.#progressBytes = this.movedBytes;
      this.#progressAt = now;
    }
    return now - this.#progressAt;
  }
}

interface RoomRequest {
  readonly kind: MemoryKind;
  readonly bytes: number;
  readonly since: number;
}

/** What a sweep has decided. */
export interface MemorySweep {
  readonly granted: readonly MemoryHolder[];
  readonly refused: readonly MemoryHolder[];
  /** Holders whose small pieces are taken again. */
  readonly resumed: readonly MemoryHolder[];
  readonly closed: readonly { readonly holder: MemoryHolder; readonly reason: CloseReason }[];
}

/** The account of one process. */
export class CallerMemory {
  readonly totals: Record<MemoryKind, number> = { request: 0, body: 0, answer: 0, unread: 0 };
  readonly #holders = new Set<MemoryHolder>();
  /** Holders that wait for room, the longest wait first. */
  readonly #waiting = new Map<MemoryHolder, RoomRequest>();
  /** Holders whose bodies come in too many small pieces, in the order of their turns. */
  readonly #throttled = new Set<MemoryHolder>();
  #smallPieces = 0;
  /**
   * Bytes that were given back and still take memory, because they have not been collected yet; set
   * by the adapter.
   */
  uncollectedBytes = 0;
  #budgetBytes: number;

  constructor(budgetBytes: number) {
    this.#budgetBytes = budgetBytes;
  }

  get budgetBytes(): number {
    return this.#budgetBytes;
  }

  get totalBytes(): number {
    const { request, body, answer, unread } = this.totals;
    return request + body + answer + unread;
  }

  get waitingCount(): number {
    return this.#waiting.size;
  }

  get holderCount(): number {
    return this.#holders.size;
  }

  updateBudget(budgetBytes: number): void {
    this.#budgetBytes = budgetBytes;
  }

  /** Decides on a request that arrives on a connection with `openRequests` unanswered ones. */
  decideAdmission(openRequests: number): "admitted" | "refused" | "closed" {
    const bytes = this.totalBytes + REQUEST_COST_BYTES;
    if (openRequests >= MAX_PIPELINED_REQUESTS) return "closed";
    if (openRequests > 0 && bytes > this.#budgetBytes * PIPELINE_SHARE) return "closed";
    return bytes > this.#budgetBytes ? "refused" : "admitted";
  }

  addHolder(headBytes: number, now: number): MemoryHolder {
    const holder = new MemoryHolder(now);
    this.#holders.add(holder);
    this.charge(holder, "request", REQUEST_COST_BYTES + headBytes);
    return holder;
  }

  removeHolder(holder: MemoryHolder): void {
    if (!this.#holders.delete(holder)) return;
    this.#waiting.delete(holder);
    this.#throttled.delete(holder);
    for (const kind of MEMORY_KINDS) this.totals[kind] -= holder.bytes[kind];
  }

  /** Adds memory that is held already; negative numbers give it back. */
  charge(holder: MemoryHolder, kind: MemoryKind, bytes: number): void {
    if (!this.#holders.has(holder)) return;
    holder.bytes[kind] += bytes;
    this.totals[kind] += bytes;
  }

  /**
   * Asks for `bytes` more. If they are granted, they are charged. If the holder has to wait, it
   * must not be read on until a sweep grants or refuses its request.
   */
  acquireRoom(
    holder: MemoryHolder,
    kind: MemoryKind,
    bytes: number,
    now: number,
  ): RoomDecision {
    if (this.#hasRoom(holder, bytes) && this.#isFirst(holder, bytes)) {
      this.charge(holder, kind, bytes);
      return "granted";
    }
    // An attempt that was given up may still wait.
    if (this.#waiting.delete(holder)) this.charge(holder, "unread", -PAUSED_COST_BYTES);
    const waitingBytes = this.totalBytes + PAUSED_COST_BYTES;
    if (waitingBytes > this.#budgetBytes * WAITING_SHARE) return "refused";
    this.#waiting.set(holder, { kind, bytes, since: now });
    this.charge(holder, "unread", PAUSED_COST_BYTES);
    return "waiting";
  }

  /**
   * Counts a small piece of a body. If the holder has to wait, its body must not be read on until
   * a sweep lists it as resumed.
   */
  recordSmallPiece(holder: MemoryHolder): RoomDecision {
    this.#smallPieces += 1;
    if (this.#smallPieces <= MAX_SMALL_PIECES) return "granted";
    if (this.#throttled.size >= MAX_THROTTLED_BODIES) return "refused";
    this.#throttled.add(holder);
    return "waiting";
  }

  /**
   * Grants room to those that wait, as far as there is any; refuses those that have waited too
   * long; and chooses the callers to close. `bodyStallMs` is the longest time without progress of
   * a body while there is room.
   */
  sweep(now: number, bodyStallMs: number): MemorySweep {
    const granted: MemoryHolder[] = [];
    const refused: MemoryHolder[] = [];
    const closed = this.#chooseStalled(now, bodyStallMs);
    this.#smallPieces = 0;
    const resumed = [...this.#throttled].slice(0, RESUMED_BODIES);
    for (const holder of resumed) {
      this.#throttled.delete(holder);
      holder.setPhase(holder.phase, now);
    }
    for (const { holder } of closed) this.removeHolder(holder);
    for (const [holder, request] of [...this.#waiting]) {
      this.charge(holder, "unread", -PAUSED_COST_BYTES);
      this.#waiting.delete(holder);
      if (this.#hasRoom(holder, request.bytes)) {
        this.charge(holder, request.kind, request.bytes);
        holder.setPhase(holder.phase, now);
        granted.push(holder);
      } else if (now - request.since >= MAX_WAIT_MS) {
        refused.push(holder);
      } else {
        this.#waiting.set(holder, request);
        this.charge(holder, "unread", PAUSED_COST_BYTES);
      }
    }
    return { granted, refused, resumed, closed };
  }

  /** Chooses who is closed: first those that have held the most for the longest time. */
  #chooseStalled(now: number, bodyStallMs: number): MemorySweep["closed"] {
    const isShort = this.#waiting.size > 0;
    const stalled: { holder: MemoryHolder; reason: CloseReason; weight: number }[] = [];
    for (const holder of this.#holders) {
      if (this.#waiting.has(holder) || this.#throttled.has(holder)) continue;
      const stallMs = holder.measureStallMs(now);
      const isReceiving = holder.phase === "receiving";
      const weight = holder.totalBytes * stallMs;
      const pressureStallMs = isReceiving ? PRESSURE_STALL_MS : SENDING_PRESSURE_STALL_MS;
      if (stallMs >= (isReceiving ? bodyStallMs : UNREAD_TIMEOUT_MS)) {
        const reason = isReceiving ? "body_stalled" : "answer_not_read";
        stalled.push({ holder, reason, weight: Infinity });
      } else if (isShort && stallMs >= pressureStallMs && isLarge(holder)) {
        stalled.push({ holder, reason: "memory_pressure", weight });
      }
    }
    stalled.sort((a, b) => b.weight - a.weight);
    let neededBytes = 0;
    for (const { bytes } of this.#waiting.values()) neededBytes += bytes;
    const chosen = stalled.filter(({ holder, weight }) => {
      if (weight === Infinity) return true;
      if (neededBytes <= 0) return false;
      neededBytes -= holder.totalBytes;
      return true;
    });
    return chosen.map(({ holder, reason }) => ({ holder, reason }));
  }

  #hasRoom(holder: MemoryHolder, bytes: number): boolean {
    const totalBytes = this.totalBytes + bytes;
    if (holder.bytes.body + holder.bytes.answer + bytes <= SMALL_BYTES) {
      return totalBytes <= this.#budgetBytes;
    }
    if (totalBytes + this.uncollectedBytes <= this.#budgetBytes * LARGE_SHARE) return true;
    // A single request within the limits is served in the smallest process, too.
    return !this.#hasOtherLarge(holder);
  }

  /** Whether no one waits for room that the large request of `holder` would take first. */
  #isFirst(holder: MemoryHolder, bytes: number): boolean {
    const isSmall = holder.bytes.body + holder.bytes.answer + bytes <= SMALL_BYTES;
    return isSmall || this.#waiting.size === 0;
  }

  #hasOtherLarge(holder: MemoryHolder): boolean {
    for (const other of this.#holders) if (other !== holder && isLarge(other)) return true;
    return false;
  }
}

function isLarge(holder: MemoryHolder): boolean {
  return holder.bytes.body + holder.bytes.answer > SMALL_BYTES;
}
