/** Encodes messages between entry processes: a version byte, then msgpack. */

import * as msgpackr from "msgpackr";
import * as neverthrow from "neverthrow";
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
  "manifest",
  "endpoints",
  "capacity_events",
  "capacity_effects",
  "explain",
  "explained",
]);

/** Encodes a message as one frame. */
export function encodeMessage(message: messages.PeerMessage): Uint8Array {
  const body = packr.pack(message);
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
    const message = packr.unpack(frame.subarray(1)) as messages.PeerMessage;
    if (!TYPES.has(message?.type)) return neverthrow.err("unknown type of message");
    return neverthrow.ok(message);
  } catch (error) {
    return neverthrow.err(`unreadable frame: ${(error as Error).message}`);
  }
}
