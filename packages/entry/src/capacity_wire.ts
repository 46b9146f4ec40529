/**
 * Converts the deadlines in scheduler events that processes send to each other. The
 * clocks of two processes are not comparable, so messages carry the remaining time.
 */

import type * as policy from "@peridotvale/policy";

/** Converts deadlines on this process's clock to remaining time. */
export function encodeEvent(event: policy.SchedulerEvent, now: number): policy.SchedulerEvent {
  return shiftEvent(event, -now);
}

/** Converts remaining time to deadlines on this process's clock. */
export function decodeEvent(event: policy.SchedulerEvent, now: number): policy.SchedulerEvent {
  return shiftEvent(event, now);
}

/** Whether peers may send events of this type. */
export function isRequestEvent(event: policy.SchedulerEvent): boolean {
  return event.type === "request_arrived" || event.type === "stream_adopted" ||
    event.type === "tokens_generated" || event.type === "request_ended";
}

function shiftEvent(event: policy.SchedulerEvent, offsetMs: number): policy.SchedulerEvent {
  if (event.type === "request_arrived") {
    return { ...event, capacity: shiftCapacity(event.capacity, offsetMs) };
  }
  if (event.type !== "stream_adopted") return event;
  const capacity = shiftCapacity(event.stream.capacity, offsetMs);
  return { ...event, stream: { ...event.stream, capacity } };
}

function shiftCapacity(
  capacity: policy.CapacityRequest,
  offsetMs: number,
): policy.CapacityRequest {
  return { ...capacity, startBy: capacity.startBy + offsetMs };
}
