/**
 * Times of capacity requests on the wire: clocks of two processes have
 * nothing in common, so deadlines travel as time left.
 */

import type * as policy from "@peridotvale/policy";

/** Turns deadlines of this process into time left. */
export function encodeEvent(event: policy.SchedulerEvent, now: number): policy.SchedulerEvent {
  return shiftEvent(event, -now);
}

/** Turns time left into deadlines of this process. */
export function decodeEvent(event: policy.SchedulerEvent, now: number): policy.SchedulerEvent {
  return shiftEvent(event, now);
}

/** Whether peers may send events of this type. */
export function isRequestEvent(event: policy.SchedulerEvent): boolean {
  return event.type === "request_arrived" || event.type === "stream_adopted" ||
    event.type === "tokens_generated" || event.type === "request_ended";
}

function shiftEvent(event: policy.SchedulerEvent, byMs: number): policy.SchedulerEvent {
  if (event.type === "request_arrived") {
    return { ...event, capacity: shiftCapacity(event.capacity, byMs) };
  }
  if (event.type !== "stream_adopted") return event;
  const capacity = shiftCapacity(event.stream.capacity, byMs);
  return { ...event, stream: { ...event.stream, capacity } };
}

function shiftCapacity(
  capacity: policy.CapacityRequest,
  byMs: number,
): policy.CapacityRequest {
  return { ...capacity, startBy: capacity.startBy + byMs };
}
