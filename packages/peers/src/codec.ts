/**
 * Encodes messages between entry processes. A frame is one byte of protocol version followed
 * by msgpack. Heartbeats and token reports, which are sent most often, have compact forms
 * without field names.
 */

import * as msgpackr from "msgpackr";
import * as neverthrow from "neverthrow";
import type * as core from "@peridotvale/core";
import type * as policy from "@peridotvale/policy";
import type * as messages from "./messages.ts";

/** Protocol version. A process closes a link on which it receives a frame of another version. */
export const PROTOCOL_VERSION = 1;
/** Largest accepted frame. A frame can contain a manifest, which has up to one megabyte. */
export const MAX_FRAME_BYTES = 1_500_000;

const packr = new msgpackr.Packr({ useRecords: false });

const MESSAGE_TYPES: ReadonlySet<string> = new Set<messages.PeerMessage["type"]>([
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

/**
 * Encoded heartbeat. It has no field names because it is by far the most frequent message.
 * `groups` holds three numbers per group: index, open streams, queued requests.
 */
type WireHeartbeat = readonly [
  incarnation: number,
  draining: boolean,
  release: number,
  openRequests: number,
  ask: boolean,
  groups: readonly number[],
];

/**
 * Encoded capacity events. `reports` holds a request id and a token count for each
 * `tokens_generated` event; `events` holds all other events.
 */
type WireEvents = readonly [
  reports: readonly (string | number)[],
  events: readonly policy.SchedulerEvent[],
];

/** Encoded routing configuration, with each map as a list of key-value pairs. */
interface WireConfig {
  readonly type: "config";
  readonly config: Omit<core.RoutingConfig, "services" | "keys">;
  readonly services: readonly (readonly [core.ServiceName, core.RoutedService])[];
  readonly keys: readonly (readonly [string, core.KeyOwner])[] | undefined;
}

/**
 * Encoded loads that a hub passes on, without field names because a hub sends them to its whole
 * zone. `loads` holds five values per engine: instance, runs, reserved tokens, unread prompt
 * tokens, value of the next move.
 */
type WireRelayedLoads = readonly [
  process: core.ProcessId,
  zone: core.ZoneName,
  incarnation: number,
  sentAt: number,
  isLost: boolean,
  loads: readonly (string | number)[],
];

type WireReport =
  & Omit<messages.ProcessReportMessage, "relayed" | "quarantine" | "limits" | "leaving">
  & {
    /** Missing if there is none, or if the sender runs a version without quarantine. */
    readonly quarantine?: policy.QuarantineNews;
    /** Missing if there are none, or if the sender runs a version that does not report them. */
    readonly limits?: readonly policy.LimitReport[];
    /** Missing if there are none, or if the sender runs a version that does not report them. */
    readonly leaving?: readonly policy.LeaveSignalReport[];
    /** Missing if the sender runs a version without hubs. */
    readonly relayed?: readonly WireRelayedLoads[];
  };

type WireMessage =
  | Exclude<messages.PeerMessage, messages.ConfigMessage | messages.ProcessReportMessage>
  | WireReport
  | WireConfig
  | WireHeartbeat
  | WireEvents;

/** Encodes a message as one frame. */
export function encodeMessage(message: messages.PeerMessage): Uint8Array {
  const body = packr.pack(encodeWire(message));
  const frame = new Uint8Array(body.length + 1);
  frame[0] = PROTOCOL_VERSION;
  frame.set(body, 1);
  return frame;
}

/** Decodes a frame. The error states why the frame is invalid. */
export function decodeMessage(
  frame: Uint8Array,
): neverthrow.Result<messages.PeerMessage, string> {
  if (frame.length > MAX_FRAME_BYTES) return neverthrow.err("frame exceeds the size limit");
  if (frame[0] !== PROTOCOL_VERSION) {
    return neverthrow.err(`protocol version is ${frame[0]}, expected ${PROTOCOL_VERSION}`);
  }
  try {
    const message = decodeWire(packr.unpack(frame.subarray(1)) as WireMessage);
    if (!MESSAGE_TYPES.has(message?.type)) return neverthrow.err("unknown message type");
    return neverthrow.ok(message);
  } catch (error) {
    return neverthrow.err(`frame cannot be decoded: ${(error as Error).message}`);
  }
}

function encodeWire(message: messages.PeerMessage): WireMessage {
  if (message.type === "heartbeat") return encodeHeartbeat(message);
  if (message.type === "capacity_events") return encodeEvents(message);
  if (message.type === "config") return encodeConfig(message);
  if (message.type === "process_report") return encodeReport(message);
  return message;
}

function decodeWire(wire: WireMessage): messages.PeerMessage {
  if (!Array.isArray(wire)) {
    const message = wire as Exclude<WireMessage, WireHeartbeat | WireEvents>;
    if (message.type === "process_report") return decodeReport(message);
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
  const [incarnation, draining, release, openRequests, ask, groupNumbers] = wire;
  const groups: messages.GroupLoad[] = [];
  for (let index = 0; index + 2 < groupNumbers.length; index += 3) {
    groups.push({
      index: groupNumbers[index]!,
      openStreams: groupNumbers[index + 1]!,
      queuedRequests: groupNumbers[index + 2]!,
    });
  }
  return { type: "heartbeat", incarnation, draining, release, openRequests, ask, groups };
}

function encodeConfig(message: messages.ConfigMessage): WireConfig {
  const { services, keys, ...config } = message.config;
  const keyPairs = keys === undefined ? undefined : [...keys];
  return { type: "config", config, services: [...services], keys: keyPairs };
}

function decodeConfig(wire: WireConfig): messages.ConfigMessage {
  const services = new Map(wire.services);
  const keys = wire.keys === undefined ? undefined : new Map(wire.keys);
  return { type: "config", config: { ...wire.config, services, keys } };
}

function encodeReport(message: messages.ProcessReportMessage): WireReport {
  const relayed = message.relayed.map((report): WireRelayedLoads => {
    const loads: (string | number)[] = [];
    for (const load of report.loads) {
      const { instance, runs, reservedTokens, unreadPromptTokens, moveValue } = load;
      loads.push(instance, runs, reservedTokens, unreadPromptTokens, moveValue);
    }
    const { process, zone, incarnation, sentAt, isLost } = report;
    return [process, zone, incarnation, sentAt, isLost, loads];
  });
  const { quarantine, limits, leaving, paces = [], ...report } = message;
  const hasNews = quarantine.crashes.length > 0 || quarantine.soundParts.length > 0;
  return {
    ...report,
    relayed,
    ...(hasNews ? { quarantine } : {}),
    ...(limits.length > 0 ? { limits } : {}),
    ...(leaving.length > 0 ? { leaving } : {}),
    ...(paces.length > 0 ? { paces } : {}),
  };
}

function decodeReport(wire: WireReport): messages.ProcessReportMessage {
  const relayed = (wire.relayed ?? []).map((report): policy.RelayedLoads => {
    const [process, zone, incarnation, sentAt, isLost, values] = report;
    const loads: policy.EngineLoad[] = [];
    for (let index = 0; index + 4 < values.length; index += 5) {
      loads.push({
        instance: values[index] as core.InstanceId,
        runs: Number(values[index + 1]),
        reservedTokens: Number(values[index + 2]),
        unreadPromptTokens: Number(values[index + 3]),
        moveValue: Number(values[index + 4]),
      });
    }
    return { process, zone, incarnation, sentAt, isLost, loads };
  });
  const quarantine = wire.quarantine ?? { crashes: [], soundParts: [] };
  return { ...wire, relayed, quarantine, limits: wire.limits ?? [], leaving: wire.leaving ?? [] };
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

/** Returns the token reports first, then the other events. */
function decodeEvents([reports, otherEvents]: WireEvents): messages.CapacityEventsMessage {
  const events: policy.SchedulerEvent[] = [];
  for (let index = 0; index + 1 < reports.length; index += 2) {
    const request = reports[index] as core.RequestId;
    events.push({ type: "tokens_generated", request, tokens: Number(reports[index + 1]) });
  }
  return { type: "capacity_events", events: [...events, ...otherEvents] };
}
