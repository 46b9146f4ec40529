/** Plans the stop of a process: how long it accepts connections, answers requests and runs. */

/** Times of a planned stop, in milliseconds on the clock of the signal's time. */
export interface DrainSchedule {
  /** Until this time new connections are accepted. */
  readonly acceptUntil: number;
  /** By this time each request has its answer, which for a stream includes the last event. */
  readonly answerBy: number;
  /** At this time connections are closed, whatever their state. */
  readonly closeBy: number;
}

/** Schedule of a process that is not being stopped. */
export const NO_STOP: DrainSchedule = {
  acceptUntil: Infinity,
  answerBy: Infinity,
  closeBy: Infinity,
};

/** The load balancer sends new connections until its second check after the signal. */
const BALANCER_DETECTION_MS = 2_500;
/** Part of the grace period reserved for sending the answers that are due at its end. */
const SEND_MARGIN_MS = 600;
/** Part of the grace period reserved for the exit of the process. */
const EXIT_MARGIN_MS = 200;

/** Plans the stop of a process that received its signal at `now`. */
export function planDrain(gracePeriodMs: number, now: number): DrainSchedule {
  const answerBy = now + Math.max(0, gracePeriodMs - SEND_MARGIN_MS);
  return {
    acceptUntil: Math.min(now + BALANCER_DETECTION_MS, answerBy),
    answerBy,
    closeBy: now + Math.max(0, gracePeriodMs - EXIT_MARGIN_MS),
  };
}

/**
 * Whether a request that is due at `answerBy` can be answered in the time that a planned stop
 * leaves. A request with less time than its route's target would be cut off at an endpoint. A
 * generation may last any time, so that none is started once other processes take all new
 * connections.
 */
export function canAnswerBeforeStop(
  request: {
    readonly answerBy: number;
    readonly targetLatencyMs: number;
    readonly isGeneration: boolean;
  },
  stop: DrainSchedule,
  now: number,
): boolean {
  if (request.answerBy < stop.answerBy) return true;
  if (request.isGeneration && now >= stop.acceptUntil) return false;
  return stop.answerBy - now >= request.targetLatencyMs;
}
