/** Encodes messages between entry processes: a version byte, then msgpack. */

import * as msgpackr from "msgpackr";
import * as neverthrow from "neverthrow";
import type * as core from "@peridotvale/core";
import type * as policy from "@peridotvale/policy";
import type * as messages from "./messages.ts";

/** Version of the protocol; a link between different versions is refused. */
export const PROTOCOL_VERSION = 1;
/** Largest frame; a manifest may have up to a megabyte. */
export const MAX_FRAME_BYTES = 1_500_000;

const packr = new msgpackr.Packr({ useRecords: false });

const TYPES: ReadonlySet<string> = new Set<messages.PeerMessage["type"]>([
  "hello",
  "heartbeat",
  "updates",
  "manifest_wanted",
  "manifest",
  "endpoints",
  "capacity_events",
  "capacity_effects",
  "process_report",
  "config_wanted",
  "config",
  "explain",
  "explained",
]);

/** A heartbeat as it travels: without field names, since it is by far the most frequent. */
type WireHeartbeat = readonly [
  incarnation: number,
  draining: boolean,
  release: number,
  openRequests: number,
  ask: boolean,
  groups: readonly number[],
];

/** Capacity events as they travel: reports of tokens, which come first, as pairs. */
type WireEvents = readonly [
  reports: readonly (string | number)[],
  events: readonly policy.SchedulerEvent[],
];

/** A routing configuration as it travels: its maps as lists of pairs. */
interface WireConfig {
  readonly type: "config";
  readonly config: Omit<core.RoutingConfig, "services" | "keys">;
  readonly services: readonly (readonly [core.ServiceName, core.RoutedService])[];
  readonly keys: readonly (readonly [string, core.KeyOwner])[] | undefined;
}

type Wire =
  | Exclude<messages.PeerMessage, messages.ConfigMessage>
  | WireConfig
  | WireHeartbeat
  | WireEvents;

/** Encodes a message as one frame. */
export function encodeMessage(message: messages.PeerMessage): Uint8Array {
  const body = packr.pack(createWire(message));
  const frame = new Uint8Array(body.length + 1);
  frame[0] = PROTOCOL_VERSION;
  frame.set(body, 1);
  return frame;
}

/** Decodes a frame; the error says what is wrong with it. */
export function decodeMessage(
  frame: Uint8Array,
): neverthrow.Result<messages.PeerMessage, string> {
  if (frame.length > MAX_FRAME_BYTES) return neverthrow.err("frame too long");
  if (frame[0] !== PROTOCOL_VERSION) {
    return neverthrow.err(`protocol version ${frame[0]} instead of ${PROTOCOL_VERSION}`);
  }
  try {
    const message = readWire(packr.unpack(frame.subarray(1)) as Wire);
    if (!TYPES.has(message?.type)) return neverthrow.err("unknown type of message");
    return neverthrow.ok(message);
  } catch (error) {
    return neverthrow.err(`unreadable frame: ${(error as Error).message}`);
  }
}

function createWire(message: messages.PeerMessage): Wire {
  if (message.type === "heartbeat") return encodeHeartbeat(message);
  if (message.type === "capacity_events") return encodeEvents(message);
  if (message.type === "config") return encodeConfig(message);
  return message;
}

function readWire(wire: Wire): messages.PeerMessage {
  if (!Array.isArray(wire)) {
    const message = wire as Exclude<Wire, WireHeartbeat | WireEvents>;
    return message.type === "config" ? decodeConfig(message) : message;
  }
  const [first] = wire as readonly unknown[];
  if (Array.isArray(first)) return decodeEvents(wire as unknown as WireEvents);
  return decodeHeartbeat(wire as unknown as WireHeartbeat);
}

function encodeHeartbeat(message: messages.HeartbeatMessage): WireHeartbeat {
  const { incarnation, draining, release, openRequests, ask } = message;
  const groups: number[] = [];
  for (const group of message.groups) {
    groups.push(group.index, group.openStreams, group.queuedRequests);
  }
  return [incarnation, draining, release, openRequests, ask, groups];
}

function decodeHeartbeat(wire: WireHeartbeat): messages.HeartbeatMessage {
  const [incarnation, draining, release, openRequests, ask, numbers] = wire;
  const groups: messages.GroupLoad[] = [];
  for (let index = 0; index + 2 < numbers.length; index += 3) {
    groups.push({
      index: numbers[index]!,
      openStreams: numbers[index + 1]!,
      queuedRequests: numbers[index + 2]!,
    });
  }
  return { type: "heartbeat", incarnation, draining, release, openRequests, ask, groups };
}

function encodeConfig(message: messages.ConfigMessage): WireConfig {
  const { services, keys, ...config } = message.config;
  const pairs = keys === undefined ? undefined : [...keys];
  return { type: "config", config, services: [...services], keys: pairs };
}

function decodeConfig(wire: WireConfig): messages.ConfigMessage {
  const services = new Map(wire.services);
  const keys = wire.keys === undefined ? undefined : new Map(wire.keys);
  return { type: "config", config: { ...wire.config, services, keys } };
}

function encodeEvents(message: messages.CapacityEventsMessage): WireEvents {
  const reports: (string | number)[] = [];
  const events: policy.SchedulerEvent[] = [];
  for (const event of message.events) {
    if (event.type === "tokens_generated") reports.push(event.request, event.tokens);
    else events.push(event);
  }
  return [reports, events];
}

function decodeEvents([reports, others]: WireEvents): messages.CapacityEventsMessage {
  const events: policy.SchedulerEvent[] = [];
  for (let index = 0; index + 1 < reports.length; index += 2) {
    const request = reports[index] as core.RequestId;
    events.push({ type: "tokens_generated", request, tokens: Number(reports[index + 1]) });
  }
  return { type: "capacity_events", events: [...events, ...others] };
}
